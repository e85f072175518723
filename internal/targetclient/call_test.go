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

// startRawServer starts a raw HTTP/1 server that answers the first requests and
// closes the connection after reading each later one. It returns its address and
// the number of requests read.
func startRawServer(answered int32) (string, *atomic.Int32) {
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

// startCutServer starts a raw HTTP/1 server that writes the start of a response to
// each request and closes the connection. It returns its address.
func startCutServer(start string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, start)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

type refusing struct {
	tamarackv1connect.UnimplementedPlainServiceHandler
	code connect.Code
}

func (r refusing) Invoke(context.Context, *connect.Request[tamarackv1.InvokeRequest]) (*connect.Response[tamarackv1.InvokeResponse], error) {
	return nil, connect.NewError(r.code, errors.New("refused"))
}

var _ = Describe("a non-idempotent call", func() {
	var now atomic.Int64
	client := New(func(event.Event) {}, func() model.Instant { return model.Instant(now.Load()) })
	call := func(address string) event.Event {
		return client.call(event.SendCall{Request: "r", Address: address, Method: "m", Deadline: model.Instant(time.Minute), AtMostOnce: true})
	}
	BeforeEach(func() { now.Store(0) })

	It("is sent once when the connection closes after the request was read", func() {
		address, read := startRawServer(0)
		Expect(call(address)).To(HaveField("MaybeSent", true))
		Expect(read.Load()).To(BeEquivalentTo(1))
	})

	It("is sent once when an earlier call left an idle connection", func() {
		address, read := startRawServer(1)
		Expect(call(address)).To(BeAssignableToTypeOf(event.CallAnswered{}))
		Expect(call(address)).To(HaveField("MaybeSent", true))
		Expect(read.Load()).To(BeEquivalentTo(2))
	})

	It("sends no byte when the process was paused past the deadline", func() {
		ours, theirs := net.Pipe()
		Expect(theirs.Close()).To(Succeed())
		gate := &sendGate{now: client.now, deadline: model.Instant(time.Minute)}
		gated := &gatedConn{Conn: ours, gate: gate}
		now.Store(int64(time.Hour))
		_, err := gated.Write([]byte("POST"))
		Expect(err).To(MatchError(errDeadlinePassed))
		Expect(gate.close()).To(BeFalse())
	})

	It("sends no byte after it was reported as not sent", func() {
		ours, theirs := net.Pipe()
		Expect(theirs.Close()).To(Succeed())
		gate := &sendGate{now: client.now, deadline: model.Instant(time.Minute)}
		Expect(gate.close()).To(BeFalse())
		_, err := (&gatedConn{Conn: ours, gate: gate}).Write([]byte("POST"))
		Expect(err).To(MatchError(errAbandoned))
	})

	It("is not sent again on a redirect", func() {
		var served atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			served.Add(1)
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}))
		defer server.Close()
		Expect(call(server.Listener.Addr().String())).To(HaveField("MaybeSent", true))
		Expect(served.Load()).To(BeEquivalentTo(1))
	})

	// Guards against an empty answer that is recorded as the outcome of a call: without
	// a length, the end of a response that is cut off after its head looks complete.
	DescribeTable("is in doubt when its response is cut off", func(head string) {
		address := startCutServer("HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n" + head + "\r\n")
		Expect(call(address)).To(HaveField("MaybeSent", true))
	},
		Entry("without a length", ""),
		Entry("without a length, on a connection that closes", "Connection: close\r\n"),
		Entry("short of its length", "Content-Length: 12\r\n"),
		Entry("before its last chunk", "Transfer-Encoding: chunked\r\n"),
	)

	It("is not run when nothing listens", func() {
		Expect(call("127.0.0.1:1")).To(HaveField("MaybeSent", false))
	})

	DescribeTable("is rejected only by a final code", func(code connect.Code, final bool) {
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
