package relay_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/model"
	"tamarackreach/internal/relay"
	"tamarackreach/internal/upstream"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

func listen() net.Listener {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	return listener
}

// startTarget passes each connection to a handler.
func startTarget(handle func(net.Conn)) (address string) {
	listener := listen()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	return listener.Addr().String()
}

// fixture is a relay with one registered target, "i-1".
type fixture struct {
	relay.Endpoint
	server                 *relay.Server
	opened, failed, closed atomic.Int32
}

func startRelay(target string) *fixture {
	listener, f := listen(), &fixture{}
	f.Endpoint = relay.Endpoint{VM: "vm-2", Address: listener.Addr().String(), Secret: relay.NewSecret()}
	server := &relay.Server{
		Secret: f.Secret, Dial: upstream.Dial,
		Resolve: func(id model.TargetID) (string, bool) { return target, id == "i-1" },
		Opened: func(_ model.TargetID, connected bool) {
			if connected {
				f.opened.Add(1)
			} else {
				f.failed.Add(1)
			}
		},
		Closed: func() { f.closed.Add(1) },
	}
	f.server = server
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() { _ = server.Serve(ctx, listener) }()
	return f
}

func (f *fixture) dial() (net.Conn, error) {
	return relay.Dial(context.Background(), upstream.Dial, f.Endpoint, "i-1")
}

// end closes a connection in order, or resets it.
func end(conn net.Conn, inOrder bool) {
	if !inOrder {
		Expect(conn.(*net.TCPConn).SetLinger(0)).To(Succeed())
	}
	_ = conn.Close()
}

var _ = Describe("a relay", func() {
	// Guards against a response that ends with its connection and looks complete although
	// the target, or the relay, broke it off.
	DescribeTable("passes on the target's bytes and how they end", func(size int, inOrder bool) {
		f := startRelay(startTarget(func(conn net.Conn) {
			_, _ = bufio.NewReader(conn).ReadString('\n')
			_, _ = io.WriteString(conn, strings.Repeat("x", size))
			if !inOrder {
				time.Sleep(50 * time.Millisecond) // a reset discards what is not read yet
			}
			end(conn, inOrder)
		}))
		conn, err := f.dial()
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, "hello\n")
		Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(conn)
		Expect(text).To(HaveLen(size))
		Expect(err == nil).To(Equal(inOrder), "%v", err)
		Eventually(f.closed.Load).Should(BeEquivalentTo(1))
	},
		Entry("nothing, in order", 0, true), Entry("nothing, reset", 0, false),
		Entry("a few bytes, in order", 10, true), Entry("a few bytes, reset", 10, false),
		Entry("several frames, in order", 200<<10, true), Entry("several frames, reset", 200<<10, false),
	)

	// Guards against a response that looks complete because the process of the relay ended:
	// the kernel then ends its connections in order.
	It("that ends does not look like a target that has ended", func() {
		listener := listen()
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = bufio.NewReader(conn).ReadString('\n')
			_, _ = io.WriteString(conn, "connected\n\x00\x04HTTP")
			_ = conn.Close()
		}()
		conn, err := relay.Dial(context.Background(), upstream.Dial, relay.Endpoint{VM: "vm-2", Address: listener.Addr().String()}, "i-1")
		Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(conn)
		Expect(string(text)).To(Equal("HTTP"))
		Expect(err).To(MatchError(ContainSubstring("ended before")))
	})

	// Guards against bytes that are lost or doubled when a read times out inside a frame.
	It("is read to the end over reads that time out", func() {
		f := startRelay(startTarget(func(conn net.Conn) {
			for range 20 {
				_, _ = io.WriteString(conn, "0123456789")
				time.Sleep(5 * time.Millisecond)
			}
			_ = conn.Close()
		}))
		conn, err := f.dial()
		Expect(err).NotTo(HaveOccurred())
		var text strings.Builder
		buffer := make([]byte, 3)
		for {
			Expect(conn.SetReadDeadline(time.Now().Add(time.Millisecond))).To(Succeed())
			n, err := conn.Read(buffer)
			text.Write(buffer[:n])
			if errors.Is(err, io.EOF) {
				break
			}
			var timeout net.Error
			Expect(err == nil || errors.As(err, &timeout) && timeout.Timeout()).To(BeTrue(), "%v", err)
		}
		Expect(text.String()).To(Equal(strings.Repeat("0123456789", 20)))
	})

	// Guards against a target that works on for a caller who has left.
	It("closes the connection to the target when the sender leaves", func() {
		closed := make(chan bool, 1)
		f := startRelay(startTarget(func(conn net.Conn) {
			_, _ = io.Copy(io.Discard, conn)
			closed <- true
		}))
		conn, err := f.dial()
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Close()).To(Succeed())
		Eventually(closed).Should(Receive())
		Eventually(f.closed.Load).Should(BeEquivalentTo(1))
	})

	// Guards against a caller who passes for a VM, and against a relay to anything but targets.
	DescribeTable("connects only VMs, and only to registered targets", func(change func(*relay.Endpoint), id model.TargetID) {
		f := startRelay(startTarget(func(conn net.Conn) { _ = conn.Close() }))
		change(&f.Endpoint)
		_, err := relay.Dial(context.Background(), upstream.Dial, f.Endpoint, id)
		Expect(errors.Is(err, relay.ErrRelay)).To(BeTrue(), "%v", err)
		Expect(f.opened.Load()).To(BeZero())
	},
		Entry("another secret", func(e *relay.Endpoint) { e.Secret = relay.NewSecret() }, model.TargetID("i-1")),
		Entry("no secret", func(e *relay.Endpoint) { e.Secret = "" }, model.TargetID("i-1")),
		Entry("an unknown target", func(*relay.Endpoint) {}, model.TargetID("i-2")),
		Entry("an address", func(*relay.Endpoint) {}, model.TargetID("127.0.0.1:80")),
	)

	It("answers a request in HTTP with the reason of the refusal only", func() {
		f := startRelay(startTarget(func(conn net.Conn) { _ = conn.Close() }))
		conn, err := net.Dial("tcp4", f.Address)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		line, err := bufio.NewReader(conn).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(Equal("secret or target unknown\n"))
	})

	// Guards against a refusal by the target that is taken for a fault of the relay, so that
	// others are tried in turn.
	It("distinguishes a target that does not accept from a relay that cannot be used", func() {
		listener := listen()
		address := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		f := startRelay(address)
		_, err := f.dial()
		Expect(errors.Is(err, relay.ErrTargetUnreachable)).To(BeTrue(), "%v", err)
		Expect(errors.Is(err, relay.ErrRelay)).To(BeFalse())
		Expect(f.failed.Load()).To(BeEquivalentTo(1))

		f.Address = address
		_, err = f.dial()
		Expect(errors.Is(err, relay.ErrRelay)).To(BeTrue(), "%v", err)
	})

	It("that does not answer is given up in time", func() {
		listener := listen() // accepts in the kernel only
		started := time.Now()
		_, err := relay.Dial(context.Background(), upstream.Dial, relay.Endpoint{Address: listener.Addr().String()}, "i-1")
		Expect(errors.Is(err, relay.ErrRelay)).To(BeTrue(), "%v", err)
		Expect(time.Since(started)).To(BeNumerically("<", time.Second))
	})

	// Guards against a relay that ends while it carries requests, and one that waits for
	// connections which are only kept.
	It("knows which connections carry bytes", func() {
		f := startRelay(startTarget(func(conn net.Conn) { _, _ = io.Copy(conn, conn) }))
		Expect(f.server.Active(time.Minute)).To(BeZero())
		conn, err := f.dial()
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, "x")
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(f.server.Active(time.Minute)).To(Equal(1))
		time.Sleep(60 * time.Millisecond)
		Expect(f.server.Active(50 * time.Millisecond)).To(BeZero())
		Expect(conn.Close()).To(Succeed())
		Eventually(func() int { return f.server.Active(time.Minute) }).Should(BeZero())
	})

	// Guards against a relay whose VM ends during a planned stop while a target works on a
	// relayed call for longer than the pauses of a stream.
	It("counts a connection as active until its target responds", func() {
		respond := make(chan bool)
		f := startRelay(startTarget(func(conn net.Conn) {
			_, _ = conn.Read(make([]byte, 1))
			<-respond
			_, _ = io.WriteString(conn, "y")
			<-respond
		}))
		conn, err := f.dial()
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, "x")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return f.server.Active(0) }).Should(Equal(1))
		Consistently(func() int { return f.server.Active(0) }, 100*time.Millisecond).Should(Equal(1))
		respond <- true
		_, err = conn.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(f.server.Active(0)).To(BeZero())
		Expect(f.server.Active(time.Minute)).To(Equal(1))
		close(respond)
	})

	// Guards against memory and descriptors that other VMs use without end.
	It("refuses connections beyond its bound at once", func() {
		release := make(chan bool)
		f := startRelay(startTarget(func(conn net.Conn) { <-release; _ = conn.Close() }))
		for range relay.MaxConnections {
			conn, err := f.dial()
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
		}
		_, err := f.dial()
		Expect(errors.Is(err, relay.ErrRelay)).To(BeTrue(), "%v", err)
		Expect(err).To(MatchError(ContainSubstring("too many connections")))
		close(release)
		Eventually(func() error { _, err := f.dial(); return err }).Should(Succeed())
	})
})

var _ = Describe("a send through a relay", func() {
	call := func(f *fixture) *upstream.Call {
		return &upstream.Call{
			ID: "q1", Target: "i-1", Address: "127.0.0.1:1", Relay: &f.Endpoint, Method: "GET", URI: "/r/x", Host: "h",
			Header: http.Header{}, SilenceInterval: time.Second, OnSilence: func() error { return nil },
		}
	}

	It("reuses its connection for the next request, and not for direct sends", func() {
		f := startRelay(startTarget(func(conn net.Conn) {
			reader := bufio.NewReader(conn)
			for _, id := range []string{"q1", "q2"} {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTamarackreach-Attempt-Id: "+id+"\r\nContent-Length: 2\r\n\r\nok")
			}
		}))
		pool := upstream.NewPool()
		for _, id := range []model.RequestID{"q1", "q2"} {
			c := call(f)
			c.ID = id
			x, err := pool.Do(context.Background(), c)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(x.Response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal("ok"))
			x.Done(true)
		}
		Expect(f.opened.Load()).To(BeEquivalentTo(1))
		direct := call(f)
		direct.ID, direct.Relay = "q3", nil
		x, err := pool.Do(context.Background(), direct)
		Expect(err).To(HaveOccurred())
		Expect(x.Sent).To(BeFalse())
		Expect(x.Unconnected).To(BeTrue())
		x.Done(false)
	})

	// Guards against a request that was not sent and counts as one that may have run.
	It("counts as not sent when the relay refuses", func() {
		f := startRelay(startTarget(func(conn net.Conn) { _ = conn.Close() }))
		f.Secret = "wrong"
		x, err := upstream.NewPool().Do(context.Background(), call(f))
		Expect(err).To(HaveOccurred())
		Expect(x.Sent).To(BeFalse())
		Expect(x.RelayFailed).To(BeTrue())
		x.Done(false)
	})

	// Guards against a part of a response that looks complete when the relay ends.
	It("fails when the relay ends inside a response that ends with its connection", func() {
		listener := listen()
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = bufio.NewReader(conn).ReadString('\n')
			head := "HTTP/1.1 200 OK\r\nTamarackreach-Attempt-Id: q1\r\n\r\npart"
			_, _ = io.WriteString(conn, "connected\n\x00"+string(rune(len(head)))+head)
			_ = conn.Close()
		}()
		f := &fixture{Endpoint: relay.Endpoint{VM: "vm-2", Address: listener.Addr().String()}}
		x, err := upstream.NewPool().Do(context.Background(), call(f))
		Expect(err).NotTo(HaveOccurred())
		Expect(x.Framing()).To(Equal(upstream.FramedByClosing))
		_, err = io.ReadAll(x.Response.Body)
		Expect(err).To(HaveOccurred())
		x.Done(false)
	})
})
