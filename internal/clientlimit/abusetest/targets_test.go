package abusetest_test

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

	"tamarackreach/platform/platformtest"
)

const (
	// endlessCrowd is the number of requests that a faulty target answers without end.
	endlessCrowd = 160
	// heldHead and heldBody are what a faulty target sends before it slows down to single bytes.
	heldHead, heldBody = 200 << 10, 1000 << 10
	// endlessMark is in the paths of requests that the faulty target does not answer well.
	endlessMark = "endless"
	// faultySlots is what the faulty target registers, so that it gets the crowd.
	faultySlots = 400
)

// endless is what a faulty target sends in place of a response: first, then block again and
// again, without end or, beyond a number of bytes, one byte at a time.
type endless struct {
	first, block string
	// slowFrom is 0 for bytes without end.
	slowFrom int
}

func (e endless) send(conn net.Conn, id string) {
	at, err := io.WriteString(conn, strings.ReplaceAll(e.first, "ID", id))
	for err == nil && (e.slowFrom == 0 || at < e.slowFrom) {
		var n int
		n, err = io.WriteString(conn, e.block)
		at += n
	}
	for err == nil {
		time.Sleep(slowInterval)
		_, err = io.WriteString(conn, e.block[:1])
	}
}

// startFaultyTarget registers a target that answers ordinary requests, reports and orders like a
// sound one, and requests with endlessMark in their paths with bytes that are no response.
func startFaultyTarget(f *front, service string, answer endless) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveFaulty(conn, answer)
		}
	}()
	row := map[string]any{
		"service": service, "address": listener.Addr().String(), "zone": "a", "slots": faultySlots, "state": "ready",
		"sequence": 1, "born": time.Now().UnixMilli(),
	}
	if service == "llm" {
		row["kind"], row["layers"] = "k", map[string]int{"from": 0, "to": 8, "version": 1}
	}
	Expect(f.store.Put("servers", "faulty", row)).To(Succeed())
}

func serveFaulty(conn net.Conn, answer endless) {
	defer func() { _ = conn.Close() }() // the scripted end
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Tamarackreach-Attempt-Id")
		body := "ok"
		switch {
		case strings.Contains(req.URL.Path, endlessMark):
			answer.send(conn, id)
			return
		case req.URL.Path == "/report":
			body = `{"sequence":1,"layers":{"from":0,"to":8,"version":1},"kv-total":1000000}`
		case strings.HasPrefix(req.URL.Path, "/s/"):
			body = "id: 1\ndata: x\n\n"
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTamarackreach-Attempt-Id: %s\r\nTamarackreach-Server-Seal: seal\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body); err != nil {
			return
		}
	}
}

// many returns a text about as often as a buffer of 16 KiB holds it.
func many(text string) string { return strings.Repeat(text, 1+(16<<10)/len(text)) }

// shortResponseFields returns fields of different short names, each of which is stored.
func shortResponseFields() string {
	var b strings.Builder
	for _, field := range shortFields(16 << 10) {
		b.WriteString("X-" + field + "\r\n")
	}
	return b.String()
}

var _ = Describe("an entry VM with a target that sends without end", Serial, func() {
	const (
		status  = "HTTP/1.1 200 OK\r\nTamarackreach-Attempt-Id: ID\r\nTamarackreach-Server-Seal: seal\r\n"
		chunked = status + "Transfer-Encoding: chunked\r\n\r\n"
		closing = status + "Connection: close\r\n\r\n"
	)
	// Guards against a process that keeps what a faulty target sends to many requests, in the
	// head or in the body of a response, until its memory is exhausted.
	DescribeTable("stays within its limits and answers others", func(service, path string, answer endless) {
		f := startFront()
		startFaultyTarget(f, service, answer)
		c := config()
		c["version"] = 2
		for _, s := range c["services"].([]map[string]any) {
			if engine, ok := s["engine"].(map[string]any); ok {
				engine["slots"] = faultySlots
			}
		}
		Expect(f.store.Put("op", "config", c)).To(Succeed())
		time.Sleep(2 * platformtest.ConfigBound)
		l := startLoad(f, routed, endlessCrowd, func(c *client) { c.write(head("GET", path, nextID())) })
		defer l.close()
		answered := f.answers(func() error { return f.request("/r/x") })
		figures := fmt.Sprintf("alive %v, memory %.0f MB (bound %d, before the load %.0f), clients connected %d of %d, request: %v",
			f.alive(), f.memory(), memoryMB, f.idleMB, l.connected(), endlessCrowd, answered)
		AddReportEntry("figures", figures)
		Expect(f.alive()).To(BeTrue(), "the process has exited; %s", figures)
		Expect(answered).NotTo(HaveOccurred(), figures)
		Expect(f.memory()).To(BeNumerically("<=", memoryMB), figures)
	},
		Entry("a head of short fields", "desk", "/r/endless", endless{first: status, block: shortResponseFields()}),
		Entry("a head of short fields that slows down", "desk", "/r/endless", endless{first: status, block: shortResponseFields(), slowFrom: heldHead}),
		Entry("a long field that slows down", "desk", "/r/endless", endless{first: status + "X: ", block: many("x"), slowFrom: heldHead}),
		Entry("informational responses", "desk", "/r/endless", endless{block: "HTTP/1.1 103 Early Hints\r\n" + shortResponseFields() + "\r\n"}),
		Entry("a body in chunks", "desk", "/r/endless", endless{first: chunked, block: "4000\r\n" + strings.Repeat("x", 0x4000) + "\r\n"}),
		Entry("a body until closing that slows down", "desk", "/r/endless", endless{first: closing, block: many("x"), slowFrom: heldBody}),
		Entry("the body of a rejection", "desk", "/r/endless", endless{
			first: "HTTP/1.1 503 Full\r\nTamarackreach-Attempt-Id: ID\r\nTamarackreach-Not-Executed: 1\r\n\r\n", block: many("x")}),
		Entry("an event", "llm", "/s/endless", endless{first: closing + "id: 1\ndata: ", block: many("x")}),
		Entry("an event that slows down", "llm", "/s/endless", endless{first: closing + "id: 1\ndata: ", block: many("x"), slowFrom: heldBody}),
		Entry("an event of short lines that slows down", "llm", "/s/endless", endless{first: closing + "id: 1\n", block: many("data: x\n"), slowFrom: heldBody}),
	)
})
