package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/model"
	"tamarackreach/internal/upstream"
)

// listen accepts connections until the spec ends, passes each to handle, and closes
// them with the listener.
func listen(handle func(conn *net.TCPConn)) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	var conns sync.Map
	DeferCleanup(func() {
		_ = listener.Close()
		conns.Range(func(conn, _ any) bool { _ = conn.(*net.TCPConn).Close(); return true })
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Store(conn, nil)
			go handle(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// link is a network between the pool and a target.
type link struct {
	// segment is the number of bytes that are passed on at a time; 0 passes on what is
	// read.
	segment int
	// cutAfter ends the connection after that number of response bytes; 0 never does.
	cutAfter int
	// reset ends the pool's side by a reset, whatever the end of the target's side;
	// otherwise each end becomes a FIN.
	reset bool
}

// to starts the link to the target at an address and returns the address of its other
// end.
func (l link) to(address string) string {
	return listen(func(near *net.TCPConn) {
		defer func() { _ = near.Close() }()
		conn, err := net.Dial("tcp4", address)
		if err != nil {
			return
		}
		far := conn.(*net.TCPConn)
		defer func() { _ = far.Close() }()
		go func() {
			_, _ = io.Copy(far, near)
			_ = far.CloseWrite()
		}()
		l.pass(near, far)
		if l.reset {
			time.Sleep(5 * time.Millisecond) // the bytes passed on are read before the reset
			_ = near.SetLinger(0)
			return
		}
		_ = near.CloseWrite()
	})
}

func (l link) pass(near, far *net.TCPConn) {
	buffer, passed := make([]byte, 1<<12), 0
	for {
		n, err := far.Read(buffer)
		for rest := buffer[:n]; len(rest) > 0; {
			size := len(rest)
			if l.segment > 0 {
				size = min(size, l.segment)
			}
			if l.cutAfter > 0 {
				size = min(size, l.cutAfter-passed)
			}
			if _, err := near.Write(rest[:size]); err != nil {
				return
			}
			rest, passed = rest[size:], passed+size
			if passed == l.cutAfter {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// callTo is a call with an id to an address.
func callTo(address string, id model.RequestID) *upstream.Call {
	return &upstream.Call{
		ID: id, Address: address, Method: "GET", URI: "/x", Host: "h", Header: http.Header{"Tamarackreach-Attempt-Id": {string(id)}},
		SilenceInterval: time.Second, OnSilence: func() error { return nil },
	}
}

// chunked formats a response to request a in one chunk.
func chunked(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTamarackreach-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

var _ = Describe("a network", func() {
	// Guards against a truncated response that is delivered as complete, at each byte at
	// which the network may cut it and for each end that it may give it.
	DescribeTable("never makes a part of a response look complete", func(whole string, reset bool) {
		address := serve(func(_ int64, conn net.Conn, _ *http.Request) bool { _, _ = io.WriteString(conn, whole); return true }).listener.Addr().String()
		for cut := 1; cut < len(whole); cut++ {
			_, err := exchange(upstream.NewPool(), callTo(link{cutAfter: cut, reset: reset}.to(address), "a"))
			Expect(err).To(HaveOccurred(), "cut after %q", whole[:cut])
			Expect(err).NotTo(MatchError(io.EOF), "cut after %q", whole[:cut])
		}
	},
		Entry("with a length, FIN", response(200, "a", "", "body"), false),
		Entry("with a length, reset", response(200, "a", "", "body"), true),
		Entry("chunked, FIN", chunked("body"), false),
		Entry("chunked, reset", chunked("body"), true),
		Entry("without a length, reset", withoutLength, true),
		Entry("HTTP/1.0 with a length, FIN", strings.Replace(response(200, "a", "", "body"), "1.1", "1.0", 1), false),
		Entry("HTTP/1.0 without a length, reset", strings.Replace(withoutLength, "1.1", "1.0", 1), true),
	)

	// Guards against a response that is misread because of how the network splits it.
	DescribeTable("delivers a response in single bytes", func(whole string) {
		target := serve(func(_ int64, conn net.Conn, _ *http.Request) bool { _, _ = io.WriteString(conn, whole); return false })
		body, err := exchange(upstream.NewPool(), callTo(link{segment: 1}.to(target.listener.Addr().String()), "a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("part"))
	},
		Entry("with a length", response(200, "a", "", "part")),
		Entry("chunked", chunked("part")),
		Entry("without a length", withoutLength),
		Entry("HTTP/1.0 with a length", strings.Replace(response(200, "a", "", "part"), "1.1", "1.0", 1)),
		Entry("HTTP/1.0 without a length", strings.Replace(withoutLength, "1.1", "1.0", 1)),
	)

	// Guards against bytes behind a response that has no body, whatever its length field
	// says, being read as the next response.
	DescribeTable("takes no byte for a body that is none", func(method string, status int) {
		t := serve(func(n int64, conn net.Conn, r *http.Request) bool {
			if n > 1 {
				echo(conn, r, "own")
				return true
			}
			_, _ = io.WriteString(conn, response(status, "a", "", response(200, "b", "", "stray")))
			return true
		})
		p := upstream.NewPool()
		call := t.call()
		call.Method = method
		body, err := exchange(p, call)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(BeEmpty())
		body, err = exchange(p, t.callWithID("b"))
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("own"))
	},
		Entry("HEAD", "HEAD", 200),
		Entry("204", "GET", 204),
		Entry("304", "GET", 304),
	)

	// Guards against a field behind the body that changes whose response it is.
	It("takes nothing from the trailer of a response", func() {
		text := strings.Replace(chunked("body"), "0\r\n\r\n", "0\r\nTamarackreach-Attempt-Id: b\r\n"+notExecuted+"\r\n", 1)
		x, err := upstream.NewPool().Do(context.Background(), script(text).call())
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(x.Response.Body)
		x.Done(true)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("body"))
		Expect(x.Head.NotExecuted).To(BeFalse())
		Expect(x.Response.Header).NotTo(HaveKey("Tamarackreach-Not-Executed"))
	})

	// Guards against framing that two parties read differently: a part of a response
	// would be taken for the whole, or for the next response.
	DescribeTable("rejects the framing", func(header, body string) {
		_, err := exchange(upstream.NewPool(), script("HTTP/1.1 200 OK\r\nTamarackreach-Attempt-Id: a\r\n"+header+"\r\n"+body).call())
		Expect(err).To(HaveOccurred())
	},
		Entry("different lengths", "Content-Length: 2\r\nContent-Length: 4\r\n", "body"),
		Entry("different lengths in a list", "Content-Length: 2, 4\r\n", "body"),
		Entry("a length whose name ends with a space", "Content-Length : 100\r\n", "body"),
		Entry("chunks whose name ends with a tab", "Transfer-Encoding\t: chunked\r\n", "4\r\nbody\r\n"),
		Entry("a length that is not a number", "Content-Length: +4\r\n", "body"),
		Entry("a length and chunks that end early", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "4\r\nbody\r\n"),
		Entry("an unknown coding", "Transfer-Encoding: gzip, chunked\r\n", "4\r\nbody\r\n0\r\n\r\n"),
		Entry("a chunk with a wrong size", "Transfer-Encoding: chunked\r\n", "3\r\nbody\r\n0\r\n\r\n"),
	)

	// Guards against a second response whose bytes arrive in part together with the end of
	// the first and in part when the next request has been sent.
	DescribeTable("attributes no byte of a second response", func(first string, second string) {
		for split := range len(second) + 1 {
			conns := atomic.Int64{}
			address := listen(func(conn *net.TCPConn) {
				defer func() { _ = conn.Close() }()
				n := conns.Add(1)
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					switch {
					case err != nil:
						return
					case n > 1:
						echo(conn, r, "other")
					case r.Header.Get("Tamarackreach-Attempt-Id") == "a":
						_, _ = io.WriteString(conn, first+second[:split])
					default:
						_, _ = io.WriteString(conn, second[split:])
						echo(conn, r, "own")
					}
				}
			})
			p := upstream.NewPool()
			body, err := exchange(p, callTo(address, "a"))
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("part"))
			body, err = exchange(p, callTo(address, "b"))
			Expect(err == nil && body != "other").To(BeFalse(), "split at %d: %q", split, body)
		}
	},
		Entry("after a length, old id", response(200, "a", "", "part"), response(200, "a", "", "late")),
		Entry("after chunks, old id", chunked("part"), chunked("late")),
		Entry("after a length, no id", response(200, "a", "", "part"), response(503, "", notExecuted, "")),
		Entry("after chunks, a rejection with the old id", chunked("part"), response(503, "a", notExecuted, "")),
	)

	// Guards against a target that ends its side of an idle connection being sent a request
	// that it cannot answer.
	DescribeTable("does not reuse a connection of which the target has ended", func(end func(conn *net.TCPConn)) {
		conns, ended := atomic.Int64{}, make(chan struct{}, 2)
		address := listen(func(conn *net.TCPConn) {
			conns.Add(1)
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			echo(conn, r, "body")
			end(conn)
			ended <- struct{}{}
			_, _ = io.Copy(io.Discard, conn)
		})
		p := upstream.NewPool()
		for _, id := range []model.RequestID{"a", "b"} {
			_, err := exchange(p, callTo(address, id))
			Expect(err).NotTo(HaveOccurred())
			Eventually(ended, time.Second).Should(Receive())
			time.Sleep(5 * time.Millisecond) // the end arrives
		}
		Expect(conns.Load()).To(BeEquivalentTo(2))
	},
		Entry("the sending side", func(conn *net.TCPConn) { _ = conn.CloseWrite() }),
		Entry("both sides", func(conn *net.TCPConn) { _ = conn.Close() }),
		Entry("both sides by a reset", func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() }),
	)

	// Guards against a response that is lost because its target no longer reads.
	It("delivers a response behind which the target ends its receiving side", func() {
		address := listen(func(conn *net.TCPConn) {
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			_ = conn.CloseRead()
			time.Sleep(5 * time.Millisecond)
			echo(conn, r, "body")
		})
		body, err := exchange(upstream.NewPool(), callTo(address, "a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("body"))
	})

	// Guards against an end that is no orderly end of the target being taken for one: a
	// response without a length would look complete.
	DescribeTable("ends a response without a length by an error after", func(requestBytes int, end func(conn *net.TCPConn)) {
		ended := make(chan struct{})
		address := listen(func(conn *net.TCPConn) {
			_, _ = conn.Read(make([]byte, 1)) // the rest of the request stays unread
			_, _ = io.WriteString(conn, withoutLength)
			time.Sleep(5 * time.Millisecond)
			end(conn)
			time.Sleep(5 * time.Millisecond) // the end arrives
			close(ended)
		})
		call := callTo(address, "a")
		call.Method, call.Body = "POST", make([]byte, requestBytes)
		x, err := upstream.NewPool().Do(context.Background(), call)
		Expect(err).NotTo(HaveOccurred())
		defer x.Done(false)
		Eventually(ended, time.Second).Should(BeClosed())
		_, err = io.ReadAll(x.Response.Body) // never returns io.EOF
		Expect(err).To(HaveOccurred())
		_, err = x.Response.Body.Read(make([]byte, 1))
		Expect(err).NotTo(MatchError(io.EOF), "the error must persist")
	},
		Entry("a close with unread bytes, which resets", 100, func(conn *net.TCPConn) { _ = conn.Close() }),
		Entry("a close with unread bytes while the request is written", 8<<20, func(conn *net.TCPConn) { _ = conn.Close() }),
		Entry("a FIN and a reset", 100, func(conn *net.TCPConn) { _ = conn.CloseWrite(); _ = conn.SetLinger(0); _ = conn.Close() }),
		Entry("a FIN and a reset while the request is written", 8<<20, func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}),
		// unackedTimeout ends a connection whose peer accepts no bytes.
		Entry("a target that does not read", 32<<20, func(*net.TCPConn) {}),
	)

	// Guards against a connection that an ended request closes while the next one uses it,
	// and against an aborted one in the pool.
	It("never lets the end of a request's context touch a connection that was returned to the pool", func() {
		t := serve(func(_ int64, conn net.Conn, r *http.Request) bool {
			echo(conn, r, r.Header.Get("Tamarackreach-Attempt-Id"))
			return true
		})
		p := upstream.NewPool()
		for n := range 1000 {
			ctx, cancel := context.WithCancel(context.Background())
			id := model.RequestID(fmt.Sprint("first-", n))
			x, err := p.Do(ctx, t.callWithID(id))
			Expect(err).NotTo(HaveOccurred())
			go cancel()
			_, err = io.ReadAll(x.Response.Body)
			x.Done(err == nil)
			id = model.RequestID(fmt.Sprint("second-", n))
			body, err := exchange(p, t.callWithID(id))
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(BeEquivalentTo(id))
		}
	})

	// Guards against the response that a target owes to one VM being delivered by another
	// VM to the same caller's request, and across a restart at the same address.
	It("keeps late responses to the connection that they arrive on", func() {
		release, finished := make(chan struct{}), make(chan struct{})
		t := serve(func(n int64, conn net.Conn, r *http.Request) bool {
			if n == 1 {
				<-release
				echo(conn, r, "late")
				close(finished)
				return true
			}
			echo(conn, r, "own")
			return true
		})
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		first, second := upstream.NewPool(), upstream.NewPool()
		x, err := first.Do(ctx, t.call())
		Expect(err).To(HaveOccurred())
		x.Done(false)
		close(release)
		Eventually(finished, time.Second).Should(BeClosed())
		for _, p := range []*upstream.Pool{second, first} {
			body, err := exchange(p, t.call())
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("own"))
		}
	})

	It("sends nothing to a restarted target over a connection to its earlier process", func() {
		ended := make(chan bool)
		t := serve(func(_ int64, conn net.Conn, r *http.Request) bool {
			echo(conn, r, "old")
			_ = conn.Close()
			close(ended)
			return false
		})
		p := upstream.NewPool()
		_, err := exchange(p, t.callWithID("earlier"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(ended).Should(BeClosed())
		address := t.listener.Addr().String()
		Expect(t.listener.Close()).To(Succeed())
		listener, err := net.Listen("tcp4", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				echo(conn, r, "new")
			}
		}()
		body, err := exchange(p, callTo(address, "a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("new"))
	})
})

// Guards against a request that reaches its target seconds after it was given up: bytes that a
// partition held up are delivered when it ends, unless the connection is reset (DRAIN on a hunted
// day, targets-leave-beside-store-failures seed 151662551217 on lacing-fleet).
var _ = Describe("an exchange that is given up", func() {
	It("resets its connection, so that the target gets nothing of it later", func() {
		const size = 64 << 20 // more than the kernel holds
		received := make(chan int64, 1)
		failed := make(chan error, 1)
		begun, givenUp := make(chan struct{}), make(chan struct{})
		address := listen(func(conn *net.TCPConn) {
			first := make([]byte, 1)
			_, _ = conn.Read(first) // an error shows below
			close(begun)
			<-givenUp
			n, err := io.Copy(io.Discard, conn)
			received <- n
			failed <- err
		})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-begun
			cancel()
			time.Sleep(50 * time.Millisecond)
			close(givenUp)
		}()
		call := &upstream.Call{
			ID: "q1", Target: "t1", Address: address, Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, size),
			SilenceInterval: time.Second, OnSilence: func() error { return nil },
		}
		x, err := upstream.NewPool().Do(ctx, call)
		Expect(err).To(HaveOccurred())
		x.Done(false)
		Eventually(received, 5*time.Second).Should(Receive(BeNumerically("<", size)))
		Expect(<-failed).To(MatchError(syscall.ECONNRESET))
	})

	It("resets that of a short request as well", func() {
		failed := make(chan error, 1)
		begun := make(chan struct{})
		address := listen(func(conn *net.TCPConn) {
			reader := bufio.NewReader(conn)
			_, _ = http.ReadRequest(reader) // an error shows below
			close(begun)
			_, err := reader.ReadByte()
			failed <- err
		})
		ctx, cancel := context.WithCancel(context.Background())
		go func() { <-begun; cancel() }()
		x, err := upstream.NewPool().Do(ctx, &upstream.Call{
			ID: "q1", Target: "t1", Address: address, Method: "GET", URI: "/", Host: "h", Header: http.Header{},
			SilenceInterval: time.Second, OnSilence: func() error { return nil },
		})
		Expect(err).To(HaveOccurred())
		x.Done(false)
		var end error
		Eventually(failed, 5*time.Second).Should(Receive(&end))
		Expect(end).To(MatchError(syscall.ECONNRESET))
	})
})
