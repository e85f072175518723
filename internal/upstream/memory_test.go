package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"time"
	"weak"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/upstream"
)

// memory is a bound of the bytes that are held.
type memory struct{ held, limit int64 }

func (m *memory) Reserve(n int64) bool {
	if m.held+n > m.limit {
		return false
	}
	m.held += n
	return true
}

func (m *memory) Release(n int64) { m.held -= n }

// Guards against heads and events, each within its own limit, that exceed the memory of the VM
// together.
var _ = Describe("the memory for responses", func() {
	It("bounds the events of streams together, and is returned", func() {
		m := &memory{limit: 200 << 10}
		event := "id: 1\ndata: " + strings.Repeat("x", 100<<10) + "\n\n"
		first := upstream.NewEventReader(strings.NewReader(event), m)
		read, err := first.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(read.Bytes)).To(Equal(event))
		Expect(m.held).To(BeNumerically(">=", len(event)))
		second := upstream.NewEventReader(strings.NewReader(strings.Repeat(event, 2)), m)
		_, err = second.Next()
		Expect(err).To(MatchError(upstream.ErrMemoryFull))
		first.Close()
		second.Close()
		Expect(m.held).To(BeZero())
	})

	It("is returned by a stream that goes on with short events", func() {
		m := &memory{limit: 1 << 20}
		events := upstream.NewEventReader(strings.NewReader("data: "+strings.Repeat("x", 100<<10)+"\n\ndata: a\n\ndata: b\n\n"), m)
		for range 3 {
			_, err := events.Next()
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(m.held).To(BeNumerically("<=", 8<<10))
	})

	// Guards against idle connections that keep the bodies of the requests that they carried,
	// which no account counts any more.
	It("holds nothing of a request behind its idle connection", func() {
		t := serve(func(_ int64, conn net.Conn, r *http.Request) bool {
			echo(conn, r, r.Header.Get("Tamarackreach-Attempt-Id"))
			return true
		})
		p := upstream.NewPool()
		send := func() weak.Pointer[[1 << 20]byte] {
			body := new([1 << 20]byte)
			call := t.callWithID("first")
			call.OnSilence = func() error { _ = body[0]; return nil }
			call.OnTrickle = call.OnSilence
			x, err := p.Do(context.Background(), call)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, x.Response.Body)
			Expect(err).NotTo(HaveOccurred())
			x.Done(true)
			return weak.Make(body)
		}
		collected := send()
		Eventually(func() any { runtime.GC(); return collected.Value() }, 2*time.Second).Should(BeNil())
		_, reused := p.Counts()
		Expect(reused).To(BeZero())
		_, err := exchange(p, t.callWithID("second"))
		Expect(err).NotTo(HaveOccurred())
		_, reused = p.Counts()
		Expect(reused).To(Equal(1), "the connection was kept")
	})

	It("bounds the heads of responses, and costs nothing for a usual one", func() {
		head := "HTTP/1.1 200 OK\r\nTamarackreach-Attempt-Id: endless\r\nContent-Length: 0\r\n"
		send := func(fields string, m *memory) error {
			address := listen(func(conn *net.TCPConn) { _, _ = io.WriteString(conn, head+fields+"\r\n") })
			call := callTo(address, "endless")
			call.Memory = m
			x, err := upstream.NewPool().Do(context.Background(), call)
			if err == nil {
				_, err = io.Copy(io.Discard, x.Response.Body)
			}
			x.Done(false)
			return err
		}
		m := &memory{limit: 1 << 20}
		Expect(send("X: usual\r\n", m)).To(Succeed())
		Expect(m.held).To(BeZero())
		fields := strings.Repeat("X: a\r\n", 16<<10)
		Expect(send(fields, m)).To(MatchError(upstream.ErrMemoryFull))
		Expect(send(fields, &memory{limit: 64 << 20})).To(Succeed())
	})
})
