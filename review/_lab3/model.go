package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the model service: 80 layers of 1,750 MB on cards of 72 GB, as on the sheet.
const (
	modelLayers  = 80
	cardMB       = 72000
	layerMB      = 1750
	stall        = 2500 * time.Millisecond
	firstEvent   = 60 * time.Millisecond
	eventGap     = 50 * time.Millisecond
	streamEvents = 12
	loadTime     = 1400 * time.Millisecond // of all layers, before the first request
)

// stages is a service of runners that hold layers of a model.
type stages struct {
	store  *store
	host   string
	record func(format string, args ...any)
	// crashes decides which hop of the path, counted from 0, crashes as soon as a stream has made
	// its first event; negative for none.
	crashes func(r *http.Request, hops int) int

	mu        sync.Mutex
	next      int
	closed    bool
	byAddress map[string]*stage
	arrivals  []*arrival
}

// stage is one incarnation of such a runner.
type stage struct {
	group    *stages
	id       string
	zone     string
	address  string
	born     int64
	server   *http.Server
	ended    chan struct{}
	endOnce  sync.Once
	mu       sync.Mutex
	conns    map[net.Conn]bool
	from, to int
	busy     bool
	sequence int
	running  int
	stalled  map[string]string
	changed  chan struct{}
}

// start adds an empty runner with a new id and registers it.
func (g *stages) start(zone string) error {
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
	r := &stage{
		group: g, id: fmt.Sprintf("i-model-%03d", g.next), zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(),
		ended: make(chan struct{}), conns: map[net.Conn]bool{}, stalled: map[string]string{}, changed: make(chan struct{}, 1),
	}
	if g.byAddress == nil {
		g.byAddress = map[string]*stage{}
	}
	g.byAddress[r.address] = r
	g.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", r.report)
	mux.HandleFunc("POST /order", r.order)
	mux.HandleFunc("/", r.serve)
	r.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second, ConnState: r.track}
	go func() { _ = r.server.Serve(listener) }() // ends with end
	go r.beat()
	g.record("runner %s starts at %s", r.id, r.address)
	return nil
}

func (r *stage) track(c net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state == http.StateNew {
		r.conns[c] = true
	} else if state == http.StateClosed {
		delete(r.conns, c)
	}
}

func (r *stage) layers() map[string]int {
	return map[string]int{"from": r.from, "to": r.to, "version": 1}
}

// beat registers the runner at each heartbeat and when its layers have changed.
func (r *stage) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for sequence := 1; ; sequence++ {
		r.mu.Lock()
		row := map[string]any{
			"service": "draft-models", "address": r.address, "zone": r.zone, "version": 1, "slots": 192, "state": "ready", "cold-remaining-ms": 0,
			"sequence": sequence, "born": r.born, "kind": "a100", "stage": "unified", "layers": r.layers(),
		}
		r.mu.Unlock()
		r.group.store.put("servers", r.id, row)
		select {
		case <-ticker.C:
		case <-r.changed:
		case <-r.ended:
			time.Sleep(3 * heartbeat)
			r.group.store.remove("servers", r.id)
			return
		}
	}
}

// crash resets all connections of the runner. Another one with a new id comes after crashDown.
func (r *stage) crash() {
	r.endOnce.Do(func() {
		r.end()
		time.AfterFunc(crashDown, func() { _ = r.group.start(r.zone) }) // without it, one runner is missing
	})
}

func (r *stage) end() {
	r.group.mu.Lock()
	delete(r.group.byAddress, r.address)
	r.group.mu.Unlock()
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
func (g *stages) close() {
	g.mu.Lock()
	g.closed = true
	var all []*stage
	for _, r := range g.byAddress {
		all = append(all, r)
	}
	g.mu.Unlock()
	for _, r := range all {
		r.endOnce.Do(r.end)
	}
}

func (g *stages) at(address string) *stage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.byAddress[address]
}

// whole reports whether the runners hold all layers, each at two runners at least.
func (g *stages) whole() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	var held [modelLayers]int
	for _, r := range g.byAddress {
		r.mu.Lock()
		for i := r.from; i < r.to && i < modelLayers; i++ {
			held[i]++
		}
		r.mu.Unlock()
	}
	for _, n := range held {
		if n < 2 {
			return false
		}
	}
	return true
}

func (g *stages) snapshot() []arrival {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]arrival, 0, len(g.arrivals))
	for _, a := range g.arrivals {
		out = append(out, *a)
	}
	return out
}

func (r *stage) report(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	stalled := []map[string]string{}
	for id, address := range r.stalled {
		stalled = append(stalled, map[string]string{"id": id, "address": address})
	}
	body := map[string]any{
		"stage": "unified", "models": []any{}, "busy": r.busy, "sequence": r.sequence, "queued": 0, "running": r.running, "kv-used": 0,
		"kv-total": 1000000, "handles": 0, "pace": 1, "born": r.born, "layers": r.layers(), "kind": "a100", "stalled": stalled,
	}
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the caller may be gone
}

func (r *stage) order(w http.ResponseWriter, req *http.Request) {
	var order struct {
		Operation    string `json:"operation"`
		From         int    `json:"from"`
		To           int    `json:"to"`
		Precondition *int   `json:"precondition"`
	}
	if err := json.NewDecoder(req.Body).Decode(&order); err != nil || order.Operation != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.from == order.From && r.to == order.To && !r.busy:
		return // the state already holds
	case r.busy || order.Precondition != nil && *order.Precondition != r.sequence:
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.sequence++
	r.busy = true
	r.group.record("order to %s: layers %d-%d", r.id, order.From, order.To)
	share := float64(order.To-order.From) / modelLayers
	time.AfterFunc(time.Duration(share*float64(loadTime)), func() {
		r.mu.Lock()
		r.from, r.to, r.busy = order.From, order.To, false
		r.mu.Unlock()
		select {
		case r.changed <- struct{}{}:
		default:
		}
	})
	w.WriteHeader(http.StatusAccepted)
}

// hop is an entry of a path.
type hop struct {
	address  string
	from, to int
}

func parseHops(text string) ([]hop, bool) {
	var out []hop
	for _, entry := range strings.Split(text, ",") {
		address, layers, found := strings.Cut(entry, "=")
		first, last, ranged := strings.Cut(layers, "-")
		from, err1 := strconv.Atoi(first)
		to, err2 := strconv.Atoi(last)
		if !found || !ranged || err1 != nil || err2 != nil {
			return nil, false
		}
		out = append(out, hop{address, from, to})
	}
	return out, true
}

// missing returns the address of the first hop that doesn't hold its part.
func (g *stages) missing(hops []hop) string {
	for _, h := range hops {
		r := g.at(h.address)
		if r == nil {
			return h.address
		}
		r.mu.Lock()
		holds := r.from <= h.from && h.to <= r.to
		r.mu.Unlock()
		if !holds {
			return h.address
		}
	}
	return ""
}

func (r *stage) serve(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Tamarackreach-Attempt-Id")
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	from, _, _ := strings.Cut(req.RemoteAddr, ":")
	a := &arrival{At: time.Now(), ID: id, URI: req.RequestURI, Method: req.Method, Runner: r.id, From: from}
	r.group.mu.Lock()
	r.group.arrivals = append(r.group.arrivals, a)
	r.group.mu.Unlock()
	h := w.Header()
	h.Set("Tamarackreach-Attempt-Id", id)
	hops, ok := parseHops(req.Header.Get("Tamarackreach-Hop-Count"))
	if !ok || hops[0].address != r.address {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if req.Header.Get("Tamarackreach-Expect-Instance") != r.id {
		h.Set("Tamarackreach-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if at := r.group.missing(hops); at != "" && r.group.at(at) != nil {
		h.Set("At-Server", at)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.running++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.running--
		delete(r.stalled, id)
		r.mu.Unlock()
	}()
	r.stream(w, req, a, hops)
}

// stream makes the events of a request. A hop that is gone stalls it; after that it is cut off, or
// rejected if it has made no event.
func (r *stage) stream(w http.ResponseWriter, req *http.Request, a *arrival, hops []hop) {
	resumed, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	crash := -1
	if r.group.crashes != nil {
		crash = r.group.crashes(req, len(hops))
	}
	for event := resumed + 1; event <= streamEvents; event++ {
		gap := eventGap
		if event == resumed+1 {
			gap = firstEvent
		}
		if !r.pause(req.Context(), gap) {
			panic(http.ErrAbortHandler)
		}
		if at := r.group.missing(hops); at != "" {
			r.mu.Lock()
			r.stalled[a.ID] = at
			r.mu.Unlock()
			if !r.pause(req.Context(), stall) || event > resumed+1 {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Tamarackreach-Not-Executed", "1")
			w.Header().Set("At-Server", at)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if event == resumed+1 {
			r.group.mu.Lock()
			a.Ran, a.Crashed = true, crash >= 0
			r.group.mu.Unlock()
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Tamarackreach-Server-Seal", r.id+"."+a.ID)
		}
		fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", event, event, req.RequestURI)
		_ = http.NewResponseController(w).Flush() // the sender may be gone
		if crash >= 0 && event == resumed+1 {
			broken := r.group.at(hops[crash].address)
			if broken != nil {
				r.group.record("runner %s (hop %d of %d) crashes while it runs %s (%s)", broken.id, crash+1, len(hops), a.ID, a.URI)
				broken.crash()
			}
		}
	}
}

// pause waits, and reports false when the sender or the runner is gone meanwhile.
func (r *stage) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
	case <-r.ended:
	}
	return false
}
