package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/upstream"
)

// withoutLength is a response that ends with its connection.
const withoutLength = "HTTP/1.1 200 OK\r\nTamarackreach-Attempt-Id: a\r\n\r\npart"

var _ = Describe("Completeness", func() {
	// Guards against a truncated response that is delivered as complete: while a long
	// request body is written, the write may receive the error of the reset in place of
	// the read.
	DescribeTable("treats a response without a length as complete only after a FIN", func(bodyBytes int, reset bool) {
		complete := 0
		for range 20 {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				if bodyBytes == 0 {
					_, _ = http.ReadRequest(bufio.NewReader(conn)) // unread bytes would turn the FIN into a reset
				}
				_, _ = io.WriteString(conn, withoutLength)
				time.Sleep(10 * time.Millisecond)
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			}()
			call := (&target{listener: listener}).call()
			call.Method, call.Body = "POST", make([]byte, bodyBytes)
			if body, err := exchange(upstream.NewPool(), call); err == nil && body == "part" {
				complete++
			}
			_ = listener.Close()
		}
		if reset {
			Expect(complete).To(BeZero())
		} else {
			Expect(complete).To(Equal(20))
		}
	},
		Entry("FIN", 0, false),
		Entry("reset", 0, true),
		Entry("reset while the request body is written", 8<<20, true),
	)

	// Guards against a response that the router itself cuts off being treated as complete.
	It("does not treat a response as complete when the context closes its connection", func() {
		t := serve(func(_ int64, conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, withoutLength)
			_, _ = conn.Read(make([]byte, 1))
			return false
		})
		ctx, cancel := context.WithCancel(context.Background())
		x, err := upstream.NewPool().Do(ctx, t.call())
		Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(10*time.Millisecond, cancel)
		_, err = io.ReadAll(x.Response.Body)
		Expect(err).To(HaveOccurred())
		x.Done(true)
	})

	// Guards against a stream that breaks off and is delivered as complete.
	DescribeTable("reports a stream as interrupted", func(header, body string) {
		t := script("HTTP/1.1 200 OK\r\nTamarackreach-Attempt-Id: a\r\n" + header + "\r\n" + body)
		x, err := upstream.NewPool().Do(context.Background(), t.call())
		Expect(err).NotTo(HaveOccurred())
		defer x.Done(false)
		events := upstream.NewEventReader(x.Response.Body, nil)
		for err == nil {
			_, err = events.Next()
		}
		Expect(err).NotTo(Equal(io.EOF))
	},
		Entry("at an EOF inside an event", "", "id: 1\n\nid: 2\n"),
		Entry("without its last chunk", "Transfer-Encoding: chunked\r\n", "7\r\nid: 1\n\n\r\n"),
		Entry("without the end of its last chunk", "Transfer-Encoding: chunked\r\n", "7\r\nid: 1\n\n\r\n0\r\n"),
		Entry("before its length", "Content-Length: 8\r\n", "id: 1\n\n"),
	)

	// Guards against an informational response that is delivered in place of the final
	// one.
	DescribeTable("reads the final response after", func(informational string) {
		body, err := exchange(upstream.NewPool(), script(informational+response(200, "a", "", "final")).call())
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("final"))
	},
		Entry("100 Continue", "HTTP/1.1 100 Continue\r\n\r\n"),
		Entry("103 Early Hints", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"),
		Entry("several informational responses", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"),
	)

	It("fails after too many informational responses", func() {
		_, err := exchange(upstream.NewPool(), script(strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)).call())
		Expect(err).To(MatchError(ContainSubstring("informational")))
	})

	// Guards against a status that cannot be forwarded: it fails the request after the
	// point where it could be sent to another target.
	DescribeTable("rejects the status", func(status string) {
		_, err := exchange(upstream.NewPool(), script("HTTP/1.1 "+status+" X\r\nTamarackreach-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n").call())
		Expect(err).To(MatchError(ContainSubstring("invalid status")))
	},
		Entry(nil, "000"),
		Entry(nil, "099"),
		Entry(nil, "101"),
	)
})
