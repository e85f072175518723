package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// framing is how a scripted response marks its end.
type framing int

const (
	byLength framing = iota
	byChunks
	byClosing
)

// ending is what a scripted target does after the last byte that it sends.
type ending int

const (
	keepOpen ending = iota
	closeOrderly
	resetConnection
	// hang keeps the connection open and ignores it.
	hang
	// hangDeregistered does so after the target's registration was removed.
	hangDeregistered
)

// piece is a part of a scripted body: an event of a stream, or a block of a plain body.
type piece struct {
	text string
	// id is the id of the event; 0 when it has none.
	id   int64
	data bool
}

// script is the response to one send.
type script struct {
	// silent is true when the target sends no head.
	silent        bool
	informational int
	status        int
	signed        bool
	notExecuted   bool
	stream        bool
	// echo is the id that the response carries; empty for none.
	echo    string
	framing framing
	pieces  []piece
	// whole is the number of pieces sent, the end of a chunked body counting as one;
	// partial is the number of bytes of the next one.
	whole, partial int
	// paced is true when each piece is sent by itself.
	paced  bool
	ending ending
	// extra is a second response, sent with the end of the first, or after lateBy.
	extra  string
	lateBy time.Duration
	// repeats is true when the response before, on the same connection, is sent once more
	// ahead of this one.
	repeats bool
}

// run is one send as its target handled it.
type run struct {
	*script
	number      int
	request     string
	resumeAfter string
	// ran is true when the target may have executed the request.
	ran bool
	// crossed is true when the request crossed a second response on its connection: the
	// router may have given the send up, and begun another, before the target read it.
	crossed bool
}

// resumedBehind returns the id of the event behind which the run was to go on, 0 for none.
func (r *run) resumedBehind() int64 {
	id, _ := strconv.ParseInt(r.resumeAfter, 10, 64) // 0 when absent
	return id
}

func (r *run) signature() string { return "run-" + strconv.Itoa(r.number) }

// wire returns the pieces as they are sent.
func (r *run) wire() []string {
	var out []string
	for _, p := range r.pieces {
		if r.framing == byChunks {
			p.text = fmt.Sprintf("%x\r\n%s\r\n", len(p.text), p.text)
		}
		out = append(out, p.text)
	}
	if r.framing == byChunks {
		out = append(out, "0\r\n\r\n")
	}
	return out
}

// complete reports whether the target sent its whole response. One that ends with its
// connection is whole wherever the target closes it orderly, between two events.
func (r *run) complete() bool {
	if r.silent {
		return false
	}
	if r.framing == byClosing {
		return r.ending == closeOrderly && (r.partial == 0 || !r.stream)
	}
	return r.whole == len(r.wire())
}

// body returns the bytes of the body that were sent, without its framing.
func (r *run) body() string {
	var b strings.Builder
	for i, p := range r.pieces {
		if i < r.whole {
			b.WriteString(p.text)
		} else if i == r.whole {
			b.WriteString(p.text[:min(r.partial, len(p.text)-1)])
		}
	}
	return b.String()
}

func (r *run) head() string {
	var b strings.Builder
	b.WriteString(strings.Repeat("HTTP/1.1 103 Early Hints\r\nTamarackreach-Attempt-Id: "+r.request+"\r\nX-Run: early\r\nTamarackreach-Server-Seal: early\r\n\r\n", r.informational))
	fmt.Fprintf(&b, "HTTP/1.1 %d Scripted\r\nX-Run: %d\r\nCache-Control: no-store\r\n", r.status, r.number)
	if r.echo != "" {
		fmt.Fprintf(&b, "Tamarackreach-Attempt-Id: %s\r\n", r.echo)
	}
	if r.signed {
		fmt.Fprintf(&b, "%s: %s\r\n", signature, r.signature())
	}
	if r.notExecuted {
		b.WriteString("Tamarackreach-Not-Executed: 1\r\n")
	}
	switch r.framing {
	case byLength:
		length := 0
		for _, p := range r.pieces {
			length += len(p.text)
		}
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	case byChunks:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	return b.String() + "\r\n"
}

// send writes the scripted response and reports whether the connection stays in use.
func (r *run) send(conn net.Conn) bool {
	if !r.silent {
		wire := r.wire()
		parts := append([]string{r.head()}, wire[:r.whole]...)
		if r.whole < len(wire) {
			parts = append(parts, wire[r.whole][:min(r.partial, len(wire[r.whole])-1)])
		}
		if r.extra != "" && r.lateBy == 0 {
			parts[len(parts)-1] += r.extra
		}
		if !r.paced {
			parts = []string{strings.Join(parts, "")}
		}
		for _, part := range parts {
			if _, err := io.WriteString(conn, part); err != nil {
				return false
			}
			if r.paced {
				time.Sleep(time.Millisecond)
			}
		}
	}
	switch r.ending {
	case resetConnection:
		_ = conn.(*net.TCPConn).SetLinger(0) // the caller closes the connection
		return false
	case hang, hangDeregistered:
		_, _ = conn.Read(make([]byte, 1)) // until the router closes the connection
		return false
	case keepOpen:
		if r.extra != "" && r.lateBy > 0 {
			time.Sleep(r.lateBy)
			_, _ = io.WriteString(conn, r.extra) // the router may have closed the connection
		}
		return true
	}
	return false
}

// scriptedTargets are targets that respond to each send with the next script.
type scriptedTargets struct {
	mu     sync.Mutex
	random *rand.Rand
	// repeats draws which sends are answered with the response before first.
	repeats *rand.Rand
	runs    []*run
	// draw returns the script of a send.
	draw func(random *rand.Rand, r *run) *script
	// deregister removes the registration of a target.
	deregister func(target int)
	listeners  []net.Listener
	conns      []net.Conn
}

func (s *scriptedTargets) listen() (address string, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	target := len(s.listeners)
	s.listeners = append(s.listeners, listener)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, conn)
			s.mu.Unlock()
			go s.serve(target, conn)
		}
	}()
	return listener.Addr().String(), nil
}

func (s *scriptedTargets) serve(target int, conn net.Conn) {
	defer func() { _ = conn.Close() }() // the scripted end
	reader := bufio.NewReader(conn)
	crossed, before := false, ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		r := s.record(req, crossed)
		if before == "" {
			r.repeats = false
		}
		crossed = r.extra != "" || r.repeats
		if r.ending == hangDeregistered {
			s.deregister(target)
		}
		if r.repeats {
			if _, err := io.WriteString(conn, before); err != nil {
				return
			}
		}
		before = r.head() + strings.Join(r.wire(), "")
		if !r.send(conn) {
			return
		}
	}
}

// record draws the script of a send.
func (s *scriptedTargets) record(req *http.Request, crossed bool) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &run{
		number: len(s.runs) + 1, crossed: crossed, request: req.Header.Get("Tamarackreach-Attempt-Id"), resumeAfter: req.Header.Get("Last-Event-Id"),
	}
	r.script = s.draw(s.random, r)
	r.repeats = chance(s.repeats, 0.3)
	r.ran = !r.notExecuted && r.status != http.StatusMisdirectedRequest
	s.runs = append(s.runs, r)
	return r
}

func (s *scriptedTargets) close() {
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		_ = conn.Close()
	}
}
