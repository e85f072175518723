package targetclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/gen/tamarack/v1/tamarackv1connect"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
)

func TestTargetClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "targetclient")
}

// serve answers the first requests of a raw HTTP/1 server and cuts the
// connection after reading each later one. It returns the address and the count
// of requests read.
func serve(answered int32) (string, *atomic.Int32) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	read := new(atomic.Int32)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConn(conn, read, answered)
		}
	}()
	return listener.Addr().String(), read
}

func serveConn(conn net.Conn, read *atomic.Int32, answered int32) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if read.Add(1) > answered {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length: 0\r\n\r\n")
	}
}

type refusing struct {
	tamarackv1connect.UnimplementedPlainServiceHandler
	code connect.Code
}

func (r refusing) Invoke(context.Context, *connect.Request[tamarackv1.InvokeRequest]) (*connect.Response[tamarackv1.InvokeResponse], error) {
	return nil, connect.NewError(r.code, errors.New("refused"))
}

var _ = Describe("a call that may not be repeated", func() {
	var now atomic.Int64
	client := New(func(event.Event) {}, func() model.Instant { return model.Instant(now.Load()) })
	call := func(address string) event.Event {
		return client.call(event.SendCall{Request: "r", Address: address, Method: "m", Deadline: model.Instant(time.Minute), Once: true})
	}
	BeforeEach(func() { now.Store(0) })

	It("is sent once when the connection is cut after it was read", func() {
		address, read := serve(0)
		Expect(call(address)).To(HaveField("BytesLeft", true))
		Expect(read.Load()).To(BeEquivalentTo(1))
	})

	It("is sent once when an earlier call left a connection behind", func() {
		address, read := serve(1)
		Expect(call(address)).To(BeAssignableToTypeOf(event.CallAnswered{}))
		Expect(call(address)).To(HaveField("BytesLeft", true))
		Expect(read.Load()).To(BeEquivalentTo(2))
	})

	It("lets no byte leave when the process was paused past the deadline", func() {
		ours, theirs := net.Pipe()
		Expect(theirs.Close()).To(Succeed())
		gate := &sendGate{now: client.now, deadline: model.Instant(time.Minute)}
		guarded := &guardedConn{Conn: ours, gate: gate}
		now.Store(int64(time.Hour))
		_, err := guarded.Write([]byte("POST"))
		Expect(err).To(MatchError(errTooLate))
		Expect(gate.close()).To(BeFalse())
	})

	It("lets no byte leave after it was said that none left", func() {
		ours, theirs := net.Pipe()
		Expect(theirs.Close()).To(Succeed())
		gate := &sendGate{now: client.now, deadline: model.Instant(time.Minute)}
		Expect(gate.close()).To(BeFalse())
		_, err := (&guardedConn{Conn: ours, gate: gate}).Write([]byte("POST"))
		Expect(err).To(MatchError(errGivenUp))
	})

	It("is not sent again when the service redirects it", func() {
		var served atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			served.Add(1)
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}))
		defer server.Close()
		Expect(call(server.Listener.Addr().String())).To(HaveField("BytesLeft", true))
		Expect(served.Load()).To(BeEquivalentTo(1))
	})

	It("is not run when nothing listens", func() {
		Expect(call("127.0.0.1:1")).To(HaveField("BytesLeft", false))
	})

	DescribeTable("is refused for good only by a code that says so", func(code connect.Code, final bool) {
		mux := http.NewServeMux()
		mux.Handle(tamarackv1connect.NewPlainServiceHandler(refusing{code: code}))
		server := httptest.NewServer(mux)
		defer server.Close()
		_, answered := call(server.Listener.Addr().String()).(event.CallAnswered)
		Expect(answered).To(Equal(final))
	},
		Entry(nil, connect.CodeInvalidArgument, true),
		Entry(nil, connect.CodeFailedPrecondition, true),
		Entry(nil, connect.CodeInternal, false),
		Entry(nil, connect.CodeDeadlineExceeded, false),
	)
})
