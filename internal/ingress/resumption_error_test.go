package ingress_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// breakingTarget begins a stream on its first connection, breaks it off, and answers on all
// others with an error.
func breakingTarget(broken string, reset bool, failure func(id string) string) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for n := 0; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			first := n == 0
			go func() {
				defer func() { _ = conn.Close() }() // the scripted end
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				id := req.Header.Get("Tamarackreach-Attempt-Id")
				if !first {
					_, _ = io.WriteString(conn, failure(id)) // an error shows at the caller
					return
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTamarackreach-Attempt-Id: %s\r\n%s: first\r\nTransfer-Encoding: chunked\r\n\r\n%s", id, signature, broken)
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// Guards against a stream with the text or the head of an error in its middle, or one that ends
// as if it were complete, because the target that should resume it answers with an error.
var _ = Describe("a stream that broke off and whose next target answers with an error", func() {
	const events = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
	whole := chunk("id: 1\ndata: x\n\n") + chunk("id: 2\ndata: x\n\n")
	breaks := map[string]string{
		"between events": whole, "inside an event": whole + "20\r\nid: 3\ndata: y", "inside the end of a chunk": whole + chunk("id: 3\ndata: y\n")[:18], "behind a line of a head": whole + chunk("id: 3\n"),
	}
	bodies := map[string]string{
		"text": "error: worker failed", "events": "id: 3\ndata: error\n\n", "a head": "HTTP/1.1 500 error\r\nContent-Length: 5\r\n\r\nerror", "nothing": "",
		"an event without id": "data: error\n\n",
	}
	failures := map[string]func(id, body string) string{}
	for _, status := range []int{301, 400, 404, 408, 421, 429, 500, 502, 503, 504} {
		failures[fmt.Sprint("status ", status)] = func(id, body string) string {
			return fmt.Sprintf("HTTP/1.1 %d error\r\nTamarackreach-Attempt-Id: %s\r\n%s: error\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", status, id, signature, len(body), body)
		}
	}
	failures["no id"] = func(_, body string) string {
		return fmt.Sprintf("HTTP/1.1 500 error\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	failures["no length"] = func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 500 error\r\nTamarackreach-Attempt-Id: %s\r\n\r\n%s", id, body)
	}
	failures["a rejection"] = func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 503 error\r\nTamarackreach-Attempt-Id: %s\r\nTamarackreach-Not-Executed: 1\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
	failures["a success without a signature"] = func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 error\r\nTamarackreach-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
	failures["an informational response before"] = func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 103 error\r\nLink: error\r\n\r\nHTTP/1.1 500 error\r\nTamarackreach-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
	failures["no head"] = func(_, body string) string { return body }
	for where, broken := range breaks {
		It("has its own events only, and no end: broken off "+where, func() {
			var wait sync.WaitGroup
			problems := make(chan string, len(failures)*len(bodies)*2)
			for kind, failure := range failures {
				for name, body := range bodies {
					for _, reset := range []bool{false, true} {
						conn := dialIngress(startIngressFor(breakingTarget(broken, reset, func(id string) string { return failure(id, body) })))
						writeRequest(conn, "/s/x", 1500)
						wait.Go(func() {
							text, _ := io.ReadAll(conn) // a reset ends it as well
							if problem := brokenOff(text, events); problem != "" {
								problems <- fmt.Sprintf("%s, body %s, reset %t: %s: %q", kind, name, reset, problem, text)
							}
						})
					}
				}
			}
			wait.Wait()
			close(problems)
			for problem := range problems {
				Fail(problem)
			}
		})
	}
})

// brokenOff returns what is wrong with what a caller received of a stream that broke off, empty
// for the head of the first target's response, these events and nothing else.
func brokenOff(text []byte, events string) string {
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
	if err != nil {
		return "no response: " + err.Error()
	}
	received, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close() // it was read to its end
	switch {
	case err == nil:
		return "it looks complete"
	case resp.StatusCode != http.StatusOK || !slices.Equal(resp.Header.Values(signature), []string{"first"}):
		return "it has another head"
	case string(received) != events:
		return fmt.Sprintf("it has the events %q", received)
	case bytes.Contains(text, []byte("error")):
		return "it has a part of the error"
	}
	return ""
}
