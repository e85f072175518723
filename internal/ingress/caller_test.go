package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// writeRequest10 writes an HTTP/1.0 request, whose response may end with its connection.
func writeRequest10(conn io.Writer, path string, deadlineMs int) {
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.0\r\nHost: h\r\nAuthorization: Token key\r\nTamarackreach-Attempt-Id: q3\r\nTamarackreach-Deadline-Ms: %d\r\n\r\n", path, deadlineMs)
	Expect(err).NotTo(HaveOccurred())
}

var _ = Describe("a caller's connection", func() {
	// Guards against a broken stream that looks complete to a caller of HTTP/1.0, where a
	// response without a length ends with its connection.
	It("is reset when a response that ends with it is broken off", func() {
		url := startIngress(func(_ int, w http.ResponseWriter, _ *http.Request) {
			writeEvents(w, 1, 0)
			_, _ = io.WriteString(w, "data: a\n\n") // no target can go on behind it
			Expect(http.NewResponseController(w).Flush()).To(Succeed())
			time.Sleep(20 * time.Millisecond)
			breakOff()
		})
		conn := dialIngress(url)
		writeRequest10(conn, "/s/x", 2000)
		text, err := io.ReadAll(conn)
		Expect(string(text)).To(HaveSuffix("data: a\n\n"))
		Expect(err).To(HaveOccurred())
	})

	// Guards against a complete stream that looks broken off.
	It("ends in order after a complete response that ends with it", func() {
		url := startIngress(func(_ int, w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 300) })
		conn := dialIngress(url)
		writeRequest10(conn, "/s/x", 2000)
		text, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(HaveSuffix("id: 300\ndata: x\n\n"))
	})

	// Guards against a part of a body that looks complete to a caller who reads it too
	// slowly.
	DescribeTable("ends early without looking complete when the deadline ends a write", func(protocol string, withLength bool) {
		body := make([]byte, 12<<20)
		url := startIngress(func(_ int, w http.ResponseWriter, _ *http.Request) {
			if withLength {
				w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			}
			_, _ = w.Write(body)
		})
		conn := dialIngress(url)
		_, err := fmt.Fprintf(conn, "GET /r/x %s\r\nHost: h\r\nTamarackreach-Attempt-Id: q4\r\nTamarackreach-Deadline-Ms: 300\r\n\r\n", protocol)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(200))
		n, err := io.Copy(io.Discard, resp.Body)
		Expect(n).To(BeNumerically("<", len(body)))
		Expect(err).To(HaveOccurred())
	},
		Entry("HTTP/1.1, a length", "HTTP/1.1", true),
		Entry("HTTP/1.1, no length", "HTTP/1.1", false),
		Entry("HTTP/1.0, a length", "HTTP/1.0", true),
		Entry("HTTP/1.0, no length", "HTTP/1.0", false),
	)

	// Guards against a refusal without a length, a part of which looks complete.
	It("carries the length of a refusal to a caller of HTTP/1.0", func() {
		url := startIngress(func(int, http.ResponseWriter, *http.Request) {})
		conn := dialIngress(url)
		writeRequest10(conn, "/none/x", 2000)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(404))
		Expect(resp.ContentLength).To(BeNumerically(">", 0))
	})

	// Guards against a response to a second request on a connection where the first one's
	// is not complete.
	DescribeTable("carries no further response after one that is broken off", func(first string, deadlineMs int) {
		url := startIngress(func(_ int, w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/r/second" {
				_, _ = io.WriteString(w, "second body")
				return
			}
			if r.URL.Path == "/r/long" {
				_, _ = w.Write(make([]byte, 12<<20))
				return
			}
			writeEvents(w, 1, 0)
			_, _ = io.WriteString(w, "data: a\n\n")
			Expect(http.NewResponseController(w).Flush()).To(Succeed())
			time.Sleep(20 * time.Millisecond)
			breakOff()
		})
		conn := dialIngress(url)
		var both strings.Builder
		writeRequest(conn, first, deadlineMs)
		writeRequest(conn, "/r/second", 5000)
		time.Sleep(time.Second)
		_, _ = io.Copy(&both, conn)
		Expect(both.String()).To(HavePrefix("HTTP/1.1 200"))
		Expect(both.String()).NotTo(ContainSubstring("second body"))
		Expect(strings.Count(both.String(), "HTTP/1.1 ")).To(Equal(1))
	},
		Entry("by its target", "/s/x", 5000),
		Entry("by the deadline", "/r/long", 300),
	)

	// Guards against a part of a response that looks complete to a caller who ends its
	// sending side, which counts as a caller that has left.
	DescribeTable("is closed without a complete response once its caller ends its sending side", func(path, protocol string) {
		url := startIngress(func(_ int, w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/s/x" {
				writeEvents(w, 1, 1)
			}
			select {
			case <-r.Context().Done():
			case <-time.After(time.Second):
			}
		})
		conn := dialIngress(url)
		_, err := fmt.Fprintf(conn, "GET %s %s\r\nHost: h\r\nTamarackreach-Attempt-Id: q5\r\n\r\n", path, protocol)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		sentAt := time.Now()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			Expect(path).To(Equal("/s/x"))
			_, err = io.ReadAll(resp.Body)
		}
		Expect(err).To(HaveOccurred())
		Expect(time.Since(sentAt)).To(BeNumerically("<", 500*time.Millisecond))
	},
		Entry("before the first event", "/r/x", "HTTP/1.1"),
		Entry("in a stream", "/s/x", "HTTP/1.1"),
		Entry("before the first event, HTTP/1.0", "/r/x", "HTTP/1.0"),
		Entry("in a stream, HTTP/1.0", "/s/x", "HTTP/1.0"),
	)

	// Guards against a second response of a target that reaches the caller as events.
	It("carries no second response that follows a stream without a length", func() {
		url := startIngress(func(n int, w http.ResponseWriter, r *http.Request) {
			if n > 1 {
				writeEvents(w, 3, 4)
				return
			}
			conn, _, err := http.NewResponseController(w).Hijack()
			Expect(err).NotTo(HaveOccurred())
			head := "HTTP/1.1 200 OK\r\nTamarackreach-Attempt-Id: " + r.Header.Get("Tamarackreach-Attempt-Id") + "\r\n" + signature + ": raw\r\n\r\n"
			_, _ = io.WriteString(conn, head+"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"+head+"id: 1\ndata: x\n\n")
			_ = conn.Close()
		})
		_, body, err := fetch(url + "/s/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n"))
	})

	// Guards against a stream that ends before its first event and looks complete: the
	// connections of a target that crashes behind the head of its response end in order.
	It("carries no complete stream without events from a target whose connection ended behind the head", func() {
		url := startIngress(func(n int, w http.ResponseWriter, r *http.Request) {
			if n > 1 {
				writeEvents(w, 1, 2)
				return
			}
			conn, _, err := http.NewResponseController(w).Hijack()
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTamarackreach-Attempt-Id: "+r.Header.Get("Tamarackreach-Attempt-Id")+"\r\n"+signature+": raw\r\n\r\n")
			_ = conn.Close()
		})
		resp, body, err := fetch(url + "/s/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Header.Get(signature)).To(Equal("run-2"))
		Expect(body).To(Equal("id: 1\ndata: x\n\nid: 2\ndata: x\n\n"))
	})

	// Guards against the end of a stream being taken for an interruption when a resumption
	// has nothing left to deliver.
	It("carries a stream whose last events a target delivered before it broke off", func() {
		url := startIngress(func(n int, w http.ResponseWriter, r *http.Request) {
			if n == 1 {
				writeEvents(w, 1, 2)
				time.Sleep(20 * time.Millisecond)
				breakOff()
			}
			Expect(r.Header.Get("Last-Event-Id")).To(Equal("2"))
			writeEvents(w, 1, 0)
		})
		_, body, err := fetch(url + "/s/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("id: 1\ndata: x\n\nid: 2\ndata: x\n\n"))
	})
})
