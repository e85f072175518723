package ingress_test

import (
	"fmt"
	"io"
	"net/http"
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
})
