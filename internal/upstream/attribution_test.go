package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/model"
	"tamarackreach/internal/upstream"
)

const notExecuted = "Tamarackreach-Not-Executed: 1\r\n"

// response formats a response with header lines; an empty id is omitted.
func response(status int, id, header, body string) string {
	if id != "" {
		header += "Tamarackreach-Attempt-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

// script serves the given bytes in response to the requests in order of arrival and
// closes the connection of the last one.
func script(responses ...string) *target {
	return serve(func(n int64, conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, responses[n-1])
		return int(n) < len(responses)
	})
}

// callWithID is call with another id.
func (t *target) callWithID(id model.RequestID) *upstream.Call {
	call := t.call()
	call.ID = id
	call.Header.Set("Tamarackreach-Attempt-Id", string(id))
	return call
}

var _ = Describe("Attribution", func() {
	// Guards against a late response of an earlier request that is delivered as the
	// response to the next one, or that lets a request run twice because it states
	// that this request was not executed.
	DescribeTable("rejects on a reused connection", func(second string, rejected error) {
		t := script(response(200, "earlier", "", "first"), second)
		p := upstream.NewPool()
		_, err := exchange(p, t.callWithID("earlier"))
		Expect(err).NotTo(HaveOccurred())
		x, err := p.Do(context.Background(), t.call())
		x.Done(false)
		Expect(t.conns.Load()).To(BeEquivalentTo(1))
		Expect(err).To(MatchError(rejected))
		Expect(p.Unsolicited()).To(Equal(1))
		Expect(x.Response).To(BeNil())
		Expect(x.Head).To(BeZero(), "another response's fields must not affect this request")
	},
		Entry("a rejection without an id", response(503, "", notExecuted, ""), upstream.ErrResponseUnidentified),
		Entry("a 421 without an id", response(421, "", "", ""), upstream.ErrResponseUnidentified),
		Entry("a failure without an id", response(400, "", "", ""), upstream.ErrResponseUnidentified),
		Entry("a success without an id", response(200, "", "", "x"), upstream.ErrResponseUnidentified),
		Entry("the response to an earlier request", response(503, "earlier", notExecuted, "")+response(200, "a", "", "x"),
			upstream.ErrResponseMismatch),
		Entry("two ids", response(503, "a", notExecuted+"Tamarackreach-Attempt-Id: a\r\n", ""), upstream.ErrResponseMismatch),
		Entry("an earlier id after its own", response(200, "earlier", "Tamarackreach-Attempt-Id: a\r\n", "x"),
			upstream.ErrResponseMismatch),
		Entry("a response behind a partial header line", "HTTP/1.1 503 X\r\n"+notExecuted+"Date: Fri"+response(200, "a", "", "x"),
			upstream.ErrResponseMerged),
		Entry("a response behind a partial status line", "HTTP/1.1 503 Serv"+response(200, "a", "", "x"), upstream.ErrResponseMerged),
	)

	// Guards against bytes that a target sends without a request being parsed as a part of
	// the next response.
	DescribeTable("accepts no response behind stray bytes", func(stray string) {
		t := script(response(200, "earlier", "", "first"), stray+response(200, "a", "", "x"))
		p := upstream.NewPool()
		_, err := exchange(p, t.callWithID("earlier"))
		Expect(err).NotTo(HaveOccurred())
		_, err = exchange(p, t.call())
		Expect(t.conns.Load()).To(BeEquivalentTo(1))
		Expect(err).To(HaveOccurred())
	},
		Entry("garbage", "garbage\r\n\r\n"),
		Entry("the rest of a longer body", "x"),
		Entry("a status line", "HTTP/1.1 503 X\r\n"),
		Entry("whole header lines", "HTTP/1.1 503 X\r\n"+notExecuted),
		Entry("a partial header name", "HTTP/1.1 503 X\r\n"+notExecuted+"Da"),
		Entry("a partial id", "HTTP/1.1 503 X\r\n"+notExecuted+"Tamarackreach-Attempt-Id: "),
	)

	// Guards against the late response to an earlier send of a request that is delivered
	// as the response to the next send of the same request.
	DescribeTable("sends no request twice on a connection", func(late string, ids ...model.RequestID) {
		var t *target
		t = serve(func(n int64, conn net.Conn, r *http.Request) bool {
			if int(n) == len(ids) && t.conns.Load() == 1 {
				_, _ = io.WriteString(conn, late)
			}
			echo(conn, r, fmt.Sprint(n))
			return true
		})
		p := upstream.NewPool()
		for i, id := range ids {
			body, err := exchange(p, t.callWithID(id))
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(fmt.Sprint(i + 1)))
		}
		Expect(t.conns.Load()).To(BeEquivalentTo(2))
	},
		Entry("when it was rejected late", response(503, "a", notExecuted, ""), model.RequestID("a"), model.RequestID("a")),
		Entry("when it was answered late", response(200, "a", "", "late"), model.RequestID("a"), model.RequestID("a")),
		Entry("when another request came between", response(200, "a", "", "late"), model.RequestID("a"), model.RequestID("b"), model.RequestID("a")),
	)

	// Guards against a pool that stops reusing connections after a repeated send, and
	// against ids that accumulate on a connection without limit.
	It("keeps reusing a connection for other requests, up to a limit", func() {
		t := serve(func(_ int64, conn net.Conn, r *http.Request) bool { echo(conn, r, "body"); return true })
		p := upstream.NewPool()
		for n := range 300 {
			_, err := exchange(p, t.callWithID(model.RequestID(fmt.Sprint(n))))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(t.conns.Load()).To(BeEquivalentTo(2))
		_, err := exchange(p, t.callWithID("299"))
		Expect(err).NotTo(HaveOccurred())
		_, err = exchange(p, t.callWithID("other"))
		Expect(err).NotTo(HaveOccurred())
		Expect(t.conns.Load()).To(BeEquivalentTo(3))
	})

	// Guards against the loss of responses to requests that a target cannot parse.
	It("accepts a failure without an id on a new connection", func() {
		_, err := exchange(upstream.NewPool(), script(response(400, "", "", "x")).call())
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a caller that reads the signature of another response than its body's.
	DescribeTable("rejects several signatures", func(status int) {
		seals := "Tamarackreach-Server-Seal: one\r\nTamarackreach-Server-Seal: two\r\n"
		_, err := exchange(upstream.NewPool(), script(response(status, "a", seals, "x")).call())
		Expect(err).To(MatchError(upstream.ErrResponseMerged))
	},
		Entry("of a success", 200),
		Entry("of a failure", 500),
	)

	// Guards against the delivery of a success from a process that does not echo ids:
	// another service may have been given the target's address.
	It("rejects a success without an id on a new connection", func() {
		_, err := exchange(upstream.NewPool(), script(response(200, "", "", "x")).call())
		Expect(err).To(MatchError(upstream.ErrResponseUnidentified))
	})

	// Guards against bytes of a response that precede the response to the next request.
	DescribeTable("does not reuse a connection after", func(first, later string, read int64, unsolicited int) {
		written := make(chan struct{})
		t := serve(func(n int64, conn net.Conn, r *http.Request) bool {
			if n > 1 {
				echo(conn, r, "second")
				return true
			}
			_, _ = io.WriteString(conn, first)
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(conn, later)
			close(written)
			return true
		})
		p := upstream.NewPool()
		x, err := p.Do(context.Background(), t.call())
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(io.LimitReader(x.Response.Body, read))
		Expect(err).NotTo(HaveOccurred())
		x.Done(true)
		Eventually(written, time.Second).Should(BeClosed())
		body, err := exchange(p, t.callWithID("b"))
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("second"))
		Expect(t.conns.Load()).To(BeEquivalentTo(2))
		Expect(p.Unsolicited()).To(Equal(unsolicited))
	},
		Entry("a response that was not read to its end", "HTTP/1.1 200 X\r\nTamarackreach-Attempt-Id: a\r\nContent-Length: 4\r\n\r\nab", "cd",
			int64(2), 0),
		Entry("Connection: close", response(200, "a", "Connection: close\r\n", "x"), "", int64(9), 0),
		Entry("an HTTP/1.0 response", strings.Replace(response(200, "a", "", "x"), "1.1", "1.0", 1), "", int64(9), 0),
		Entry("a response longer than its length", response(200, "a", "", "x")+"y", "", int64(9), 1),
		Entry("bytes that follow a response later", response(200, "a", "", "x"), "y", int64(9), 1),
		Entry("a body where none is allowed", response(204, "a", "", "x"), "", int64(9), 1),
	)
})
