package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/model"
	"tamarackreach/internal/upstream"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstream")
}

// target is a listener whose responses are written by a function of the request's
// sequence number on the listener.
type target struct {
	listener net.Listener
	requests atomic.Int64
	conns    atomic.Int64
}

func serve(respond func(n int64, conn net.Conn, r *http.Request) bool) *target {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t := &target{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.conns.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if !respond(t.requests.Add(1), conn, r) {
						return
					}
				}
			}()
		}
	}()
	DeferCleanup(func() { _ = listener.Close() })
	return t
}

func (t *target) call() *upstream.Call {
	return &upstream.Call{
		ID: "a", Address: t.listener.Addr().String(), Method: "GET", URI: "/x", Host: "h",
		Header:          http.Header{"Tamarackreach-Attempt-Id": {"a"}},
		SilenceInterval: 50 * time.Millisecond, OnSilence: func() error { return nil },
	}
}

func ok(conn net.Conn, id, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTamarackreach-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// echo responds with the id of the request.
func echo(conn net.Conn, r *http.Request, body string) {
	ok(conn, r.Header.Get("Tamarackreach-Attempt-Id"), body)
}

// exchange sends a call and reads its response to the end.
func exchange(p *upstream.Pool, call *upstream.Call) (string, error) {
	x, err := p.Do(context.Background(), call)
	if err != nil {
		x.Done(false)
		return "", err
	}
	body, err := io.ReadAll(x.Response.Body)
	x.Done(err == nil)
	return string(body), err
}

var _ = Describe("Pool", func() {
	It("reuses a connection whose response was read", func() {
		t := serve(func(_ int64, conn net.Conn, r *http.Request) bool { echo(conn, r, "body"); return true })
		p := upstream.NewPool()
		for _, id := range []model.RequestID{"a", "b", "c"} {
			body, err := exchange(p, t.callWithID(id))
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("body"))
		}
		Expect(t.conns.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a target that is given the time that connecting took.
	It("states the time left as of the send, and sends nothing after the deadline", func() {
		stated := make(chan string, 1)
		t := serve(func(_ int64, conn net.Conn, r *http.Request) bool {
			stated <- r.Header.Get("Tamarackreach-Deadline-Ms")
			echo(conn, r, "body")
			return true
		})
		p := upstream.NewPool()
		call := t.call()
		call.ExpiresAt = bootclock.Now().Add(-time.Millisecond)
		x, err := p.Do(context.Background(), call)
		x.Done(false)
		Expect(err).To(MatchError(ContainSubstring("deadline")))
		Expect(x.Sent).To(BeFalse())
		call = t.callWithID("b")
		call.ExpiresAt = bootclock.Now().Add(500 * time.Millisecond)
		_, err = exchange(p, call)
		Expect(err).NotTo(HaveOccurred())
		left, err := strconv.Atoi(<-stated)
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(And(BeNumerically(">", 300), BeNumerically("<=", 500)))
		Expect(t.requests.Load()).To(BeEquivalentTo(1))
	})

	It("never retries a request by itself, not even on a reused connection that fails", func() {
		t := serve(func(n int64, conn net.Conn, r *http.Request) bool {
			if n == 1 {
				echo(conn, r, "body")
				return true
			}
			return false
		})
		p := upstream.NewPool()
		_, err := exchange(p, t.call())
		Expect(err).NotTo(HaveOccurred())
		_, err = exchange(p, t.callWithID("b"))
		Expect(err).To(HaveOccurred())
		Expect(t.requests.Load()).To(BeEquivalentTo(2))
		Expect(t.conns.Load()).To(BeEquivalentTo(1))
	})

	// A target may send a second, unsolicited response.
	It("does not reuse a connection with bytes after its response", func() {
		t := serve(func(n int64, conn net.Conn, r *http.Request) bool {
			echo(conn, r, "body")
			if n == 1 {
				ok(conn, "a", "extra")
			}
			return true
		})
		p := upstream.NewPool()
		_, err := exchange(p, t.call())
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Millisecond)
		body, err := exchange(p, t.callWithID("b"))
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("body"))
		Expect(t.conns.Load()).To(BeEquivalentTo(2))
	})

	It("rejects a response that carries another request's id", func() {
		t := serve(func(_ int64, conn net.Conn, _ *http.Request) bool { ok(conn, "other", "body"); return true })
		_, err := exchange(upstream.NewPool(), t.call())
		Expect(err).To(MatchError(upstream.ErrResponseMismatch))
	})

	It("distinguishes a request that was not sent from one that may have run", func() {
		t := serve(func(int64, net.Conn, *http.Request) bool { return false })
		p := upstream.NewPool()
		x, err := p.Do(context.Background(), t.call())
		Expect(err).To(HaveOccurred())
		Expect(x.Sent).To(BeTrue())
		x.Done(false)
		call := t.call()
		Expect(t.listener.Close()).To(Succeed())
		x, err = p.Do(context.Background(), call)
		Expect(err).To(HaveOccurred())
		Expect(x.Sent).To(BeFalse())
		x.Done(false)
	})

	It("does not treat a response cut off by a reset as complete", func() {
		t := serve(func(_ int64, conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTamarackreach-Attempt-Id: a\r\n\r\npart")
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		})
		_, err := exchange(upstream.NewPool(), t.call())
		Expect(err).To(HaveOccurred())
	})

	It("does not reuse a connection on which a long request body is not fully written", func() {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = listener.Close() }()
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				ok(conn, "a", "early")
			}
		}()
		t := &target{listener: listener}
		call := t.call()
		call.Method, call.Body = "POST", make([]byte, 8<<20)
		x, err := upstream.NewPool().Do(context.Background(), call)
		Expect(err).NotTo(HaveOccurred())
		Expect(x.Response.Close).To(BeTrue())
		x.Done(true)
	})

	It("calls OnSilence after each silence and aborts on its error", func() {
		t := serve(func(_ int64, conn net.Conn, _ *http.Request) bool {
			time.Sleep(170 * time.Millisecond)
			ok(conn, "a", "body")
			return true
		})
		silences := 0
		call := t.call()
		call.OnSilence = func() error { silences++; return nil }
		_, err := exchange(upstream.NewPool(), call)
		Expect(err).NotTo(HaveOccurred())
		Expect(silences).To(BeNumerically(">=", 2))

		abort := errors.New("aborted")
		call.OnSilence = func() error { return abort }
		_, err = exchange(upstream.NewPool(), call)
		Expect(errors.Is(err, abort)).To(BeTrue())
	})

	// Pattern: a target that has stalled sends a byte of its next event now and then.
	It("calls OnTrickle while bytes arrive, and aborts on its error", func() {
		t := serve(func(_ int64, conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTamarackreach-Attempt-Id: a\r\nContent-Length: 1000\r\n\r\n")
			for range 1000 {
				if _, err := io.WriteString(conn, "x"); err != nil {
					return false
				}
				time.Sleep(10 * time.Millisecond)
			}
			return false
		})
		abort := errors.New("aborted")
		trickles := 0
		call := t.call()
		call.OnSilence = func() error { return nil }
		call.OnTrickle = func() error {
			if trickles++; trickles == 3 {
				return abort
			}
			return nil
		}
		started := time.Now()
		x, err := upstream.NewPool().Do(context.Background(), call)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, x.Response.Body)
		Expect(errors.Is(err, abort)).To(BeTrue())
		Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
		x.Done(false)
	})

	It("closes the connection when the context is cancelled", func() {
		closed := make(chan struct{})
		t := serve(func(_ int64, conn net.Conn, _ *http.Request) bool {
			_, _ = conn.Read(make([]byte, 1))
			close(closed)
			return false
		})
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(30*time.Millisecond, cancel)
		x, err := upstream.NewPool().Do(ctx, t.call())
		Expect(err).To(HaveOccurred())
		x.Done(false)
		Eventually(closed).Should(BeClosed())
	})
})

var _ = Describe("EventReader", func() {
	It("returns whole events with their ids", func() {
		e := upstream.NewEventReader(strings.NewReader("id: 1\ndata: a\n\nversion: 2\nid: 2\ndata: b\n\n"), nil)
		first, err := e.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(first.Bytes)).To(Equal("id: 1\ndata: a\n\n"))
		Expect(first.ID).To(BeEquivalentTo(1))
		second, err := e.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(second.ID).To(BeEquivalentTo(2))
		_, err = e.Next()
		Expect(err).To(Equal(io.EOF))
	})

	It("distinguishes an end inside an event from the end of the stream", func() {
		e := upstream.NewEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"), nil)
		_, err := e.Next()
		Expect(err).NotTo(HaveOccurred())
		_, err = e.Next()
		Expect(err).To(Equal(io.ErrUnexpectedEOF))
	})

	// Guards against an event that is delivered in two parts, or with an id from its
	// data: a resumed stream would then repeat or skip a part of it.
	DescribeTable("finds the end and the id of an event whose line fills its buffer", func(stream string) {
		event, err := upstream.NewEventReader(strings.NewReader(stream), nil).Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(event.Bytes).To(HaveLen(len(stream)))
		Expect(event.ID).To(BeEquivalentTo(7))
	},
		Entry("up to the newline", "data: "+strings.Repeat("x", 4096-6)+"\nid: 7\n\n"),
		Entry("up to text that looks like an id", "id: 7\ndata: "+strings.Repeat("x", 4096-12)+"id: 9\n\n"),
	)

	It("accepts lines longer than its buffer and limits the size of an event", func() {
		long := "id: 1\ndata: " + strings.Repeat("x", 20000) + "\n\n"
		event, err := upstream.NewEventReader(strings.NewReader(long), nil).Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(event.Bytes)).To(Equal(long))
		_, err = upstream.NewEventReader(strings.NewReader(strings.Repeat("x", 2<<20)), nil).Next()
		Expect(err).To(Equal(upstream.ErrEventTooLong))
	})
})
