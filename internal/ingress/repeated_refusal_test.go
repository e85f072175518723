package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// refusingTarget refuses the first request of each kept connection, and writes that refusal once
// more while the second one runs, or before it is sent.
type refusingTarget struct {
	refusal func(id string) string
	// when is when the refusal is written again.
	when string
	mu   sync.Mutex
	// ran counts the runs of each request, repeated the refusals that were written again.
	ran      map[string]int
	repeated int
}

const (
	aheadOfResponse = "ahead of the next response"
	behindItself    = "behind itself"
	whileIdle       = "while the connection is idle"
)

func (t *refusingTarget) listen() string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go t.serve(conn)
		}
	}()
	return listener.Addr().String()
}

func (t *refusingTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the router has closed it
	reader := bufio.NewReader(conn)
	refusal := ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := req.Header.Get("Tamarackreach-Attempt-Id")
		if refusal == "" && id == "q1" {
			refusal = t.refusal(id)
			out := refusal
			if t.when == behindItself {
				out += refusal
			}
			_, _ = io.WriteString(conn, out) // an error shows in the next read
			if t.when == whileIdle {
				time.Sleep(5 * time.Millisecond)
				_, _ = io.WriteString(conn, refusal)
			}
			continue
		}
		t.mu.Lock()
		t.ran[id]++
		t.mu.Unlock()
		if refusal != "" && t.when == aheadOfResponse {
			t.mu.Lock()
			t.repeated++
			t.mu.Unlock()
			_, _ = io.WriteString(conn, refusal)
		}
		time.Sleep(10 * time.Millisecond)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTamarackreach-Attempt-Id: %s\r\n%s: s\r\nContent-Length: 2\r\n\r\nok", id, signature)
	}
}

// Guards against a request that ran and is answered with a promise that it did not, or that runs
// again, because a target writes an earlier refusal once more on a kept connection.
var _ = Describe("a refusal that a target writes again", func() {
	statuses := []int{503, 429, 421, 408, 400}
	for _, when := range []string{aheadOfResponse, behindItself, whileIdle} {
		for _, echoed := range []bool{true, false} {
			for _, status := range statuses {
				It(fmt.Sprintf("is that of no other request: status %d, %s, id echoed %t", status, when, echoed), func() {
					target := &refusingTarget{when: when, ran: map[string]int{}, refusal: func(id string) string {
						echo := ""
						if echoed {
							echo = "Tamarackreach-Attempt-Id: " + id + "\r\n"
						}
						return fmt.Sprintf("HTTP/1.1 %d Refused\r\n%sTamarackreach-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, echo)
					}}
					url := startIngressFor(target.listen())
					resp, _, err := fetch(url + "/p/x")
					Expect(err).NotTo(HaveOccurred())
					Expect(resp.StatusCode).To(BeNumerically(">=", 400))
					Expect(target.ran["q1"]).To(BeZero())
					if when == whileIdle {
						time.Sleep(20 * time.Millisecond)
					}
					conn := dialIngress(url)
					writeRequest(conn, "/p/x", 2000)
					second, err := http.ReadResponse(bufio.NewReader(conn), nil)
					Expect(err).NotTo(HaveOccurred())
					_ = second.Body.Close()
					target.mu.Lock()
					defer target.mu.Unlock()
					Expect(target.ran["q2"]).To(Equal(1))
					if target.repeated > 0 {
						Expect(isPromise(second.StatusCode)).To(BeFalse(), "status %d", second.StatusCode)
						Expect(second.StatusCode).To(BeNumerically(">=", 500))
					} else {
						Expect(second.StatusCode).To(Equal(200))
					}
				})
			}
		}
	}

	It("crosses a request at all", func() {
		target := &refusingTarget{when: aheadOfResponse, ran: map[string]int{}, refusal: func(id string) string {
			return "HTTP/1.1 503 Refused\r\nTamarackreach-Attempt-Id: " + id + "\r\nTamarackreach-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		}}
		url := startIngressFor(target.listen())
		_, _, err := fetch(url + "/p/x")
		Expect(err).NotTo(HaveOccurred())
		conn := dialIngress(url)
		writeRequest(conn, "/p/x", 2000)
		second, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		_ = second.Body.Close()
		Expect(target.repeated).To(Equal(1))
	})
})
