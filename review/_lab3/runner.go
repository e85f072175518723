package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which runners renew their registrations.
const heartbeat = 1200 * time.Millisecond

// crashDown is how long a crashed runner is away.
const crashDown = 3 * time.Second

// arrival is a request that reached a runner.
type arrival struct {
	At     time.Time
	ID     string
	URI    string
	Method string
	Runner string
	// From is the address of the machine that sent it.
	From string
	// Ran is true when the runner began to work on it, Crashed when it then crashed, and Lost
	// when another request crashed the runner meanwhile.
	Ran, Crashed, Lost bool
}

// runners is a service of runners.
type runners struct {
	store   *store
	host    string
	service string
	slots   int
	work    time.Duration
	// crashes decides whether a request crashes the runner that begins to run it.
	crashes func(*http.Request) bool
	// darkFor is how long a crashing runner is silent before its connections are reset; 0 resets
	// them at once.
	darkFor time.Duration
	record  func(format string, args ...any)

	mu       sync.Mutex
	next     int
	closed   bool
	running  map[*runner]bool
	arrivals []*arrival
}

// runner is one incarnation of a runner.
type runner struct {
	group   *runners
	id      string
	zone    string
	address string
	born    int64
	server  *http.Server
	places  chan struct{}
	ended   chan struct{}
	endOnce sync.Once
	mu      sync.Mutex
	conns   map[net.Conn]bool
	// inWork are the requests at work; dark is true while the runner answers nothing.
	inWork map[*arrival]bool
	dark   chan struct{}
}

// start adds a runner with a new id and registers it.
func (g *runners) start(zone string) error {
	listener, err := net.Listen("tcp4", net.JoinHostPort(g.host, "0"))
	if err != nil {
		return err
	}
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return listener.Close()
	}
	g.next++
	r := &runner{
		group: g, id: fmt.Sprintf("i-%s-%03d", g.service, g.next), zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(),
		places: make(chan struct{}, g.slots), ended: make(chan struct{}), conns: map[net.Conn]bool{}, inWork: map[*arrival]bool{}, dark: make(chan struct{}),
	}
	if g.running == nil {
		g.running = map[*runner]bool{}
	}
	g.running[r] = true
	g.mu.Unlock()
	r.server = &http.Server{
		Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second, ConnState: r.track,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	go func() { _ = r.server.Serve(listener) }() // ends with end
	go r.beat()
	g.record("runner %s starts at %s", r.id, r.address)
	return nil
}

type connKey struct{}

func (r *runner) track(c net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state == http.StateNew {
		r.conns[c] = true
	} else if state == http.StateClosed {
		delete(r.conns, c)
	}
}

// beat registers the runner until it ends; its entry is removed after three intervals of silence.
func (r *runner) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for sequence := 1; ; sequence++ {
		r.group.store.put("servers", r.id, map[string]any{
			"service": r.group.service, "address": r.address, "zone": r.zone, "version": 1, "slots": r.group.slots, "state": "ready",
			"cold-remaining-ms": 0, "sequence": sequence, "born": r.born,
		})
		select {
		case <-ticker.C:
			continue
		case <-r.dark:
		case <-r.ended:
		}
		time.Sleep(3 * heartbeat)
		r.group.store.remove("servers", r.id)
		return
	}
}

// crash ends the runner: first it is silent for darkFor, then its connections are reset. Another
// one with a new id comes after crashDown.
func (r *runner) crash(cause *arrival) {
	r.endOnce.Do(func() {
		r.group.mu.Lock()
		cause.Crashed = true
		for a := range r.inWork {
			a.Lost = a != cause
		}
		delete(r.group.running, r)
		r.group.mu.Unlock()
		close(r.dark)
		r.group.record("runner %s crashes while it runs %s (%s)", r.id, cause.ID, cause.URI)
		if r.group.darkFor == 0 {
			r.end()
		} else {
			time.AfterFunc(r.group.darkFor, r.end)
		}
		time.AfterFunc(max(crashDown, r.group.darkFor), func() { _ = r.group.start(r.zone) }) // without it, one runner is missing
	})
}

// end closes the listener and resets all connections.
func (r *runner) end() {
	close(r.ended)
	r.mu.Lock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the close sends a reset
		}
	}
	r.mu.Unlock()
	_ = r.server.Close()
}

// close stops all runners.
func (g *runners) close() {
	g.mu.Lock()
	g.closed = true
	var all []*runner
	for r := range g.running {
		all = append(all, r)
	}
	g.mu.Unlock()
	for _, r := range all {
		r.endOnce.Do(r.end)
	}
}

// snapshot returns copies of the arrivals so far.
func (g *runners) snapshot() []arrival {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]arrival, 0, len(g.arrivals))
	for _, a := range g.arrivals {
		out = append(out, *a)
	}
	return out
}

// silent blocks while the runner is dark, until its connections are reset.
func (r *runner) silent() {
	select {
	case <-r.dark:
		<-r.ended
		panic(http.ErrAbortHandler)
	default:
	}
}

func (r *runner) serve(w http.ResponseWriter, req *http.Request) {
	r.silent()
	if req.URL.Path == "/health" {
		w.Header().Set("Tamarackreach-Instance-Id", r.id)
		return
	}
	id := req.Header.Get("Tamarackreach-Attempt-Id")
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	from, _, _ := strings.Cut(req.RemoteAddr, ":")
	a := &arrival{At: time.Now(), ID: id, URI: req.RequestURI, Method: req.Method, Runner: r.id, From: from}
	r.group.mu.Lock()
	r.group.arrivals = append(r.group.arrivals, a)
	r.group.mu.Unlock()
	h := w.Header()
	h.Set("Tamarackreach-Attempt-Id", id)
	h.Set("Keep-Alive", "timeout=5")
	if req.Header.Get("Tamarackreach-Expect-Instance") != r.id {
		h.Set("Tamarackreach-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case r.places <- struct{}{}:
		defer func() { <-r.places }()
	case <-time.After(r.group.work * 4):
		h.Set("Tamarackreach-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-req.Context().Done():
		return
	}
	r.silent()
	r.group.mu.Lock()
	a.Ran, r.inWork[a] = true, true
	r.group.mu.Unlock()
	defer func() {
		r.group.mu.Lock()
		delete(r.inWork, a)
		r.group.mu.Unlock()
	}()
	if r.group.crashes != nil && r.group.crashes(req) {
		r.crash(a)
		<-r.ended
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(r.group.work):
	case <-r.ended:
		panic(http.ErrAbortHandler)
	}
	r.silent()
	sum := sha256.Sum256([]byte(req.Method + " " + req.RequestURI + " " + string(body)))
	answer := hex.EncodeToString(sum[:])
	h.Set("Tamarackreach-Server-Seal", r.id+"."+id)
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer) // the sender may be gone
}
