package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a request that a target has rejected and that waits for the rest of the
// rejection's body until its deadline, and is answered then as one that may have run.
var _ = DescribeTable("a rejection whose body does not end is passed on at once", func(path, framing string, interval time.Duration, block string) {
	address, _ := startRawTarget(func(conn net.Conn, id string) {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\nTamarackreach-Attempt-Id: %s\r\nTamarackreach-Not-Executed: 1\r\n%s\r\n", id, framing)
		for err == nil {
			_, err = io.WriteString(conn, block)
			time.Sleep(interval)
		}
	})
	conn := dialIngress(startIngressFor(address))
	started := time.Now()
	writeRequest(conn, path, 4500)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable), "it has not run")
	Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	Expect(time.Since(started)).To(BeNumerically("<", 4*time.Second), "before its deadline")
},
	Entry("it stops", "/p/x", "Content-Length: 100\r\n", time.Minute, "x"),
	Entry("it comes in single bytes", "/p/x", "Content-Length: 100\r\n", 60*time.Millisecond, "x"),
	Entry("it comes without end", "/r/x", "Connection: close\r\n", time.Millisecond, strings.Repeat("x", 16<<10)),
	Entry("it stops, for a stream", "/s/x", "Content-Length: 100\r\n", time.Minute, "x"),
	Entry("it comes in single bytes, for a stream", "/s/x", "Content-Length: 100\r\n", 60*time.Millisecond, "x"),
)
