package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/platform/platformtest"
)

const signature = "Tamarackreach-Server-Seal"

// startIngress returns the URL of an ingress in front of one target, which handles the
// n-th send, counted from 1, with respond; /metrics is that of its metrics. Routes: /r/ is
// idempotent, /p/ is not, /s/ is a stream that may be resumed.
func startIngress(respond func(n int, w http.ResponseWriter, r *http.Request)) string {
	sends := 0
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sends++
		w.Header().Set("Tamarackreach-Attempt-Id", r.Header.Get("Tamarackreach-Attempt-Id"))
		w.Header().Set(signature, "run-"+strconv.Itoa(sends))
		respond(sends, w, r)
	}))
	DeferCleanup(closeServer, target)
	return startIngressFor(target.Listener.Addr().String())
}

// fetch sends a request and returns its response; err is not nil when the response
// is not complete.
func fetch(url string) (resp *http.Response, body string, err error) {
	request, err := http.NewRequest(http.MethodPost, url, nil)
	Expect(err).NotTo(HaveOccurred())
	request.Host = "h"
	request.Header.Set("Tamarackreach-Attempt-Id", "q1")
	if resp, err = http.DefaultClient.Do(request); err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

// dialIngress opens a connection to the ingress at a URL.
func dialIngress(url string) net.Conn {
	conn, err := dial(strings.TrimPrefix(url, "http://"))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return conn
}

// writeRequest writes a request with a deadline.
func writeRequest(conn net.Conn, path string, deadlineMs int) {
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nTamarackreach-Attempt-Id: q2\r\nTamarackreach-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n", path, deadlineMs)
	Expect(err).NotTo(HaveOccurred())
}

// writeEvents writes the events from first to last of a stream.
func writeEvents(w http.ResponseWriter, first, last int) {
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	Expect(out.Flush()).To(Succeed())
	for n := first; n <= last; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
		Expect(out.Flush()).To(Succeed())
	}
}

func breakOff() { panic(http.ErrAbortHandler) }

var _ = Describe("the response to a caller", func() {
	// Guards against a refusal that carries the header of a target whose response
	// failed before its first event.
	It("has no header of a target when the router generates it", func() {
		s := startSite(1)
		for _, t := range s.fleet.Targets("llm") {
			t.Always(platformtest.HeadOnly)
		}
		status, _, id, header := s.callWith("POST", "/s/x", "key", nil)
		Expect(s.fleet.Runs(id)).To(BeNumerically(">", 0))
		Expect(status).To(Equal(502))
		Expect(header).NotTo(HaveKey(signature))
		Expect(header).NotTo(HaveKey("Cache-Control"))
		Expect(header.Get("Content-Type")).To(HavePrefix("text/plain"))
		Expect(header.Get("Tamarackreach-Attempt-Id")).To(Equal(id))
	})

	// Guards against headers of two runs in one response.
	It("has the header of the send whose events it delivers", func() {
		url := startIngress(func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 1 {
				w.Header().Set("Cache-Control", "no-store")
				writeEvents(w, 1, 0)
				breakOff()
			}
			writeEvents(w, 1, 3)
		})
		resp, body, err := fetch(url + "/s/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Header.Values(signature)).To(Equal([]string{"run-2"}))
		Expect(resp.Header).NotTo(HaveKey("Cache-Control"))
		Expect(body).To(HavePrefix("id: 1\n"))
	})

	// Guards against a successful stream without events that loses its signature.
	It("has the header of a complete stream without events", func() {
		url := startIngress(func(_ int, w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 0) })
		resp, body, err := fetch(url + "/s/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(200))
		Expect(resp.Header.Get(signature)).To(Equal("run-1"))
		Expect(body).To(BeEmpty())
	})

	// Guards against a target's earlier failure that is appended to a stream which the
	// caller has begun to read.
	It("breaks off a started stream that cannot be resumed, also after a kept failure", func() {
		url := startIngress(func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 1 {
				w.WriteHeader(http.StatusInternalServerError)
				_, _ = io.WriteString(w, "no memory")
				return
			}
			writeEvents(w, 2*n, 2*n+1)
			breakOff()
		})
		_, body, err := fetch(url + "/s/x")
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(body).NotTo(ContainSubstring("no memory"))
	})

	// Guards against the failure of one send beside a later send that had another result:
	// the caller receives a signature with another status than that of the last run.
	DescribeTable("is not an earlier failure once a later send may have run", func(path string, status int, later func(w http.ResponseWriter)) {
		url := startIngress(func(n int, w http.ResponseWriter, _ *http.Request) {
			if n > 1 {
				later(w)
			}
			w.WriteHeader(http.StatusInternalServerError)
		})
		conn := dialIngress(url)
		writeRequest(conn, path, 400)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		Expect(resp.StatusCode).To(Equal(status))
		Expect(resp.Header).NotTo(HaveKey(signature))
	},
		Entry("that lost its response", "/r/x", 502, func(http.ResponseWriter) { breakOff() }),
		Entry("whose response is not whole", "/r/x", 502, func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "9")
			_, _ = io.WriteString(w, "part")
			breakOff()
		}),
		Entry("whose stream broke before its first event", "/s/x", 502, func(w http.ResponseWriter) {
			writeEvents(w, 1, 0)
			breakOff()
		}),
		Entry("that timed out", "/r/x", 504, func(http.ResponseWriter) { time.Sleep(600 * time.Millisecond) }),
	)

	// Guards against a failure of a target that is withheld although it is the last
	// result of the request.
	It("is the last failure when the sends after it were rejected", func() {
		url := startIngress(func(n int, w http.ResponseWriter, _ *http.Request) {
			if n > 2 {
				w.Header().Set("Tamarackreach-Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			w.WriteHeader(http.StatusInternalServerError + n)
		})
		resp, _, err := fetch(url + "/r/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(502))
		Expect(resp.Header.Get(signature)).To(Equal("run-2"))
	})

	// Guards against a caller that repeats a request which has run: it reads 408, 429 and
	// 503 as the promise that the request has not run and never will.
	DescribeTable("does not promise that a request has not run when its target did not state that", func(path string, status, maxSends int) {
		sends := 0
		url := startIngress(func(n int, w http.ResponseWriter, _ *http.Request) {
			sends = n
			w.WriteHeader(status)
		})
		resp, _, err := fetch(url + path)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(502))
		Expect(resp.Header).NotTo(HaveKey(signature))
		Expect(sends).To(BeNumerically("<=", maxSends))
		_, metrics, err := fetch(url + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		Expect(metrics).To(ContainSubstring(`tamarack_promises_discarded_total{status="%d"} %d`, status, sends))
	},
		Entry("429, not repeatable", "/p/x", 429, 1),
		Entry("503, not repeatable", "/p/x", 503, 1),
		Entry("408, not repeatable", "/p/x", 408, 1),
		Entry("429, idempotent", "/r/x", 429, 4),
		Entry("503, idempotent", "/r/x", 503, 4),
		Entry("503 of a stream", "/s/x", 503, 4),
	)

	// Guards against an idempotent request that is not sent again after such a status.
	It("is that of a later send after a status that it must not promise", func() {
		url := startIngress(func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 1 {
				w.WriteHeader(http.StatusTooManyRequests)
			}
		})
		resp, _, err := fetch(url + "/r/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(200))
		Expect(resp.Header.Get(signature)).To(Equal("run-2"))
	})

	// Guards against a success whose body is not the target's: it was encoded on the way.
	DescribeTable("has no body with an encoding", func(path string) {
		url := startIngress(func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 1 {
				w.Header().Set("Content-Encoding", "gzip")
			}
			_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		})
		resp, _, err := fetch(url + path)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Header).NotTo(HaveKey("Content-Encoding"))
		Expect(resp.Header.Get(signature)).To(Equal("run-2"))
	}, Entry("of a plain response", "/r/x"), Entry("of a stream", "/s/x"))

	// Guards against a truncated body that is delivered as complete.
	It("is not built from a body over the size limit", func() {
		url := startIngress(func(_ int, w http.ResponseWriter, _ *http.Request) {
			block := make([]byte, 1<<20)
			for range 17 {
				_, _ = w.Write(block)
			}
		})
		resp, body, err := fetch(url + "/r/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(502))
		Expect(resp.Header).NotTo(HaveKey(signature))
		Expect(len(body)).To(BeNumerically("<", 100))
	})

	// Guards against a status that the target did not send, beside its signature.
	It("has the status of the stream that it delivers", func() {
		url := startIngress(func(_ int, w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusPartialContent)
			writeEvents(w, 1, 2)
		})
		resp, _, err := fetch(url + "/s/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Header.Get(signature)).To(Equal("run-1"))
		Expect(resp.StatusCode).To(Equal(http.StatusPartialContent))
	})

	// Guards against a part of a stream that the caller receives twice: no target can
	// resume after an event without an id.
	It("breaks off a stream whose last delivered event has no id", func() {
		url := startIngress(func(n int, w http.ResponseWriter, _ *http.Request) {
			writeEvents(w, 1, 0)
			_, _ = io.WriteString(w, "data: a\n\n")
			Expect(http.NewResponseController(w).Flush()).To(Succeed())
			if n == 1 {
				time.Sleep(50 * time.Millisecond)
				breakOff()
			}
		})
		_, body, err := fetch(url + "/s/x")
		Expect(body).To(Equal("data: a\n\n"))
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	// Guards against an event without an id that the caller receives twice, because the
	// target that resumes the stream begins before the event after which it should.
	It("has no event without an id twice when a target resumes too early", func() {
		url := startIngress(func(n int, w http.ResponseWriter, _ *http.Request) {
			writeEvents(w, 1, 1)
			_, _ = io.WriteString(w, "data: a\n\n")
			writeEvents(w, 2, 1+n)
			if n == 1 {
				time.Sleep(50 * time.Millisecond)
				breakOff()
			}
		})
		_, body, err := fetch(url + "/s/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("id: 1\ndata: x\n\ndata: a\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"))
	})

	// Guards against an event without an id that the caller receives twice, because it is
	// the first of a stream that a target resumes too early.
	It("has the first event once when it has no id and a target resumes too early", func() {
		url := startIngress(func(n int, w http.ResponseWriter, _ *http.Request) {
			writeEvents(w, 1, 0)
			_, _ = io.WriteString(w, "data: a\n\n")
			writeEvents(w, 1, 1+n)
			if n == 1 {
				time.Sleep(50 * time.Millisecond)
				breakOff()
			}
		})
		_, body, err := fetch(url + "/s/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("data: a\n\nid: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"))
	})

	// Guards against an event that is lost because the ids of a run do not increase, in a
	// response that looks complete.
	It("is broken off when the ids of its events do not increase", func() {
		url := startIngress(func(_ int, w http.ResponseWriter, _ *http.Request) {
			writeEvents(w, 5, 5)
			writeEvents(w, 3, 3)
			_, _ = io.WriteString(w, "data: a\n\n")
		})
		_, _, err := fetch(url + "/s/x")
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	// Guards against a response that looks complete although its last run ended before an
	// event that the caller lacks, and nothing marks the end of that run.
	DescribeTable("is not complete without a new event from a stream without a length", func(first func(http.ResponseWriter), rest string) {
		url := startIngress(func(n int, w http.ResponseWriter, r *http.Request) {
			if n == 1 && first != nil {
				first(w)
				time.Sleep(50 * time.Millisecond)
				breakOff()
			}
			conn, _, err := http.NewResponseController(w).Hijack()
			Expect(err).NotTo(HaveOccurred())
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTamarackreach-Attempt-Id: %s\r\n%s: run-%d\r\n\r\n%s",
				r.Header.Get("Tamarackreach-Attempt-Id"), signature, n, rest)
			_ = conn.Close() // the end of the response
		})
		_, _, err := fetch(url + "/s/x")
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	},
		Entry("that repeats events", func(w http.ResponseWriter) { writeEvents(w, 1, 3) }, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"),
		Entry("that has a comment only", nil, ": hello\n\n"),
	)

	// Guards against a good stream that is broken off because the data of an event
	// mentions a status line, and a field follows that callers ignore.
	It("has events whose data mentions a status line", func() {
		url := startIngress(func(_ int, w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "id: 1\ndata: HTTP/1.1 200 OK\ntamarackreach-weight-versions: 3\n\n")
		})
		_, body, err := fetch(url + "/s/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(HavePrefix("id: 1\ndata: HTTP/1.1 200 OK\n"))
	})

	// Guards against a stream that is broken off although each of its parts has an id.
	It("resumes a stream after an event without data that has no id", func() {
		url := startIngress(func(n int, w http.ResponseWriter, _ *http.Request) {
			writeEvents(w, 2*n-1, 2*n)
			if n == 1 {
				_, _ = io.WriteString(w, ": comment\n\n")
				Expect(http.NewResponseController(w).Flush()).To(Succeed())
				time.Sleep(50 * time.Millisecond)
				breakOff()
			}
		})
		_, body, err := fetch(url + "/s/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(HaveSuffix("id: 4\ndata: x\n\n"))
	})

	// Guards against a target that is suspected, and may count as crashed, because it
	// answered a resumption with a failure.
	It("is broken off when a target declines to resume it, which is no fault of the connection", func() {
		url := startIngress(func(n int, w http.ResponseWriter, _ *http.Request) {
			if n > 1 {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			writeEvents(w, 1, 2)
			breakOff()
		})
		_, _, err := fetch(url + "/s/x")
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		_, metrics, err := fetch(url + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		Expect(metrics).To(ContainSubstring(`tamarack_sends_ended_total{outcome="broken"} 1`))
		Expect(metrics).To(MatchRegexp(`tamarack_sends_ended_total{outcome="failed"} [1-9]`))
	})

	// Guards against an event that waits in the router until the next one is whole.
	It("has each event as soon as it is whole, also when a part of the next one is received", func() {
		received := make(chan struct{})
		url := startIngress(func(_ int, w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 2\nda")
			_ = http.NewResponseController(w).Flush() // a failure shows at the caller
			select {
			case <-received:
			case <-time.After(2 * time.Second):
			}
			_, _ = io.WriteString(w, "ta: y\n\n")
		})
		conn := dialIngress(url)
		Expect(conn.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		writeRequest(conn, "/s/x", 4000)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		event := make([]byte, len("id: 1\ndata: x\n\n"))
		_, err = io.ReadFull(resp.Body, event)
		Expect(err).NotTo(HaveOccurred())
		close(received)
		rest, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(event) + string(rest)).To(Equal("id: 1\ndata: x\n\nid: 2\ndata: y\n\n"))
	})

	// Guards against a caller that keeps its connection open and reads nothing: its
	// request would stay in flight, and in the load of its target, without end.
	DescribeTable("ends at the deadline when the caller does not read it", func(path string) {
		url := startIngress(func(_ int, w http.ResponseWriter, _ *http.Request) {
			event := "id: 1\ndata: " + strings.Repeat("x", 1<<19) + "\n\n"
			for n := range 24 {
				if _, err := io.WriteString(w, strings.Replace(event, "1", strconv.Itoa(n+1), 1)); err != nil {
					return
				}
			}
		})
		writeRequest(dialIngress(url), path, 400)
		Eventually(func() string {
			_, metrics, err := fetch(url + "/metrics")
			Expect(err).NotTo(HaveOccurred())
			return metrics
		}, 5*time.Second, 50*time.Millisecond).Should(MatchRegexp(`tamarack_requests_ended_total{outcome="[a-z ]+"} 1`))
	},
		Entry("as a stream", "/s/x"),
		Entry("whole", "/r/x"),
	)

	// Guards against the deadline of a request that ends the next one on its connection.
	It("is not bound by the deadline of the request before it", func() {
		url := startIngress(func(_ int, w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "body") })
		conn := dialIngress(url)
		reader := bufio.NewReader(conn)
		for _, path := range []string{"/r/x", "/none"} {
			writeRequest(conn, path, 500)
			resp, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(io.ReadAll(resp.Body)).NotTo(BeEmpty())
			time.Sleep(1100 * time.Millisecond)
		}
	})
})
