package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// startRawTarget starts a target that answers the one request of each connection by respond, and
// then ends the connection in order. It returns its address and the number of requests that it has
// read.
func startRawTarget(respond func(conn net.Conn, id string)) (address string, requests *atomic.Int64) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	requests = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }() // the scripted end
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				requests.Add(1)
				respond(conn, req.Header.Get("Tamarackreach-Attempt-Id"))
			}()
		}
	}()
	return listener.Addr().String(), requests
}

// fromTarget sends a request to a router in front of a target and returns the caller's response.
func fromTarget(address, path string) (resp *http.Response, body string, err error) {
	conn := dialIngress(startIngressFor(address))
	writeRequest(conn, path, 1500)
	resp, err = http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

// Guards against a response with a status that HTTP does not have, such as 000, which reaches a
// caller as the answer to its request.
var _ = Describe("a response with an invalid status", func() {
	for _, status := range []string{"000", "001", "099", "-01", "+20", "101", "600", "999"} {
		for _, path := range []string{"/p/x", "/r/x", "/s/x"} {
			It(fmt.Sprintf("is no answer: %s to %s", status, path), func() {
				address, requests := startRawTarget(func(conn net.Conn, id string) {
					const body = "id: 1\ndata: x\n\n"
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nTamarackreach-Attempt-Id: %s\r\n%s: odd\r\nContent-Length: %d\r\n\r\n%s", status, id, signature, len(body), body) // an error shows at the caller
				})
				resp, body, err := fromTarget(address, path)
				Expect(err).NotTo(HaveOccurred())
				Expect(resp.StatusCode).To(Equal(http.StatusBadGateway), "the request may have run")
				Expect(resp.Header).NotTo(HaveKey(signature))
				Expect(body).NotTo(ContainSubstring("data: x"))
				if path == "/p/x" {
					Expect(requests.Load()).To(BeEquivalentTo(1), "it may not be repeated")
				}
			})
		}
	}
})

// Guards against a response whose head breaks off and that reaches a caller as a success with an
// empty or short body.
var _ = Describe("a response whose head breaks off", func() {
	const body = "id: 1\ndata: x\n\n"
	heads := map[string]string{
		"with a length": fmt.Sprintf("Content-Length: %d\r\n", len(body)),
		"in chunks":     "Transfer-Encoding: chunked\r\n",
		"until closing": "Connection: close\r\n",
	}
	for framing, field := range heads {
		for _, path := range []string{"/p/x", "/r/x", "/s/x"} {
			It(fmt.Sprintf("is no success at any byte: %s, to %s", framing, path), func() {
				head := func(id string) string {
					return fmt.Sprintf("HTTP/1.1 200 OK\r\nTamarackreach-Attempt-Id: %s\r\n%s: run\r\n%s\r\n", id, signature, field)
				}
				var length atomic.Int64
				address, _ := startRawTarget(func(conn net.Conn, id string) {
					_, _ = io.WriteString(conn, head(id)[:length.Load()]) // an error shows at the caller
				})
				url := startIngressFor(address)
				for n := range len(head("q2")) {
					length.Store(int64(n))
					conn := dialIngress(url)
					writeRequest(conn, path, 1500)
					resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
					Expect(err).NotTo(HaveOccurred(), "cut at byte %d", n)
					_ = resp.Body.Close()
					Expect(resp.StatusCode/100).To(Equal(5), "cut at byte %d", n)
					Expect(resp.Header).NotTo(HaveKey(signature), "cut at byte %d", n)
				}
			})
		}
	}
})
