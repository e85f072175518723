package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"tamarackreach/platform/platformtest"
)

const (
	heartbeat = 1200 * time.Millisecond
	// layerMB is the size of a layer, and kinds are the sizes of the cards.
	layerMB = 1750
)

var kinds = map[string]int{"a100": 72000, "v100": 14400}

// store is the platform's store.
type store struct{ *platformtest.Store }

func newStore() (*store, error) {
	s, err := platformtest.NewStore()
	return &store{s}, err
}

// layerRange is a range of layers, the end exclusive.
type layerRange struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// runner is a stand-in runner of a service with layers, as the pages describe one.
type runner struct {
	lab                     *lab
	id, service, zone, kind string
	address                 string
	born                    int64
	loadTime                time.Duration
	// slots is the number of requests at once, 0 for the usual one.
	slots    int
	mu       sync.Mutex
	layers   layerRange
	busy     bool
	sequence int
	beats    int
	lastBeat time.Time
	ended    bool
	// away is true between a crash and the next start.
	away   bool
	server *http.Server
	// serve answers requests; nil answers a short stream.
	serve http.HandlerFunc
}

// start listens at an address, "" for a free one, and registers.
func (r *runner) start(address string) error {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	r.address, r.born = listener.Addr().String(), time.Now().UnixMilli()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", r.report)
	mux.HandleFunc("POST /order", r.order)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Tamarackreach-Instance-Id", r.id) })
	mux.HandleFunc("/", r.request)
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(listener) }() // ends with crash
	r.lab.record.line("runner %s of %s (%s, %d MB, zone %s) starts at %s with layers %d-%d", r.id, r.service, r.kind, kinds[r.kind], r.zone, r.address, r.layers.From, r.layers.To)
	r.beat()
	go func() {
		for range time.Tick(heartbeat) {
			if !r.beat() {
				return
			}
		}
	}()
	return nil
}

// beat writes the registration, unless the runner has ended.
func (r *runner) beat() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return false
	}
	if r.away {
		return true
	}
	r.beats++
	r.lastBeat = time.Now()
	_ = r.lab.store.Put("servers", r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "1", "slots": cmp.Or(r.slots, 192), "state": "ready", "cold-remaining-ms": 0,
		"sequence": r.beats, "born": r.born, "kind": r.kind, "layers": map[string]any{"from": r.layers.From, "to": r.layers.To, "version": 1},
	})
	return true
}

// crash ends the runner without a word. The store removes its entry after three heartbeats
// of silence.
func (r *runner) crash(why string) {
	r.mu.Lock()
	if r.ended {
		r.mu.Unlock()
		return
	}
	r.ended = true
	r.mu.Unlock()
	_ = r.server.Close()
	r.lab.record.line("runner %s ends: %s", r.id, why)
	time.AfterFunc(time.Until(r.lastBeat.Add(3*heartbeat)), func() {
		r.lab.store.Remove("servers", r.id)
		r.lab.record.line("the store removes the entry of runner %s", r.id)
	})
}

func (r *runner) report(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "unified", "models": []any{}, "busy": r.busy, "sequence": r.sequence, "queued": 0, "running": 0, "kv-used": 0, "kv-total": 100000,
		"handles": 0, "pace": 1, "born": r.born, "layers": map[string]any{"from": r.layers.From, "to": r.layers.To, "version": 1}, "stalled": []any{},
	})
}

// order carries out a place order.
func (r *runner) order(w http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	var o struct {
		Operation    string `json:"operation"`
		From         int    `json:"from"`
		To           int    `json:"to"`
		Precondition *int   `json:"precondition"`
	}
	expected := req.Header.Get("Tamarackreach-Expect-Instance")
	if err := json.Unmarshal(body, &o); err != nil || o.Operation != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	status, size := http.StatusAccepted, (o.To-o.From)*layerMB
	switch {
	case expected != "" && expected != r.id:
		status = http.StatusMisdirectedRequest
	case r.busy || o.Precondition != nil && *o.Precondition != r.sequence:
		status = http.StatusConflict
	default:
		r.sequence++
		r.busy = true
	}
	r.mu.Unlock()
	r.lab.record.line("runner %s (%s of %s, %d MB) gets the order %s, expected instance %q: %d", r.id, r.kind, r.service, kinds[r.kind], body, expected, status)
	if status == http.StatusAccepted && size > kinds[r.kind] {
		r.lab.violate("LIMIT: runner %s of service %s (%s, %d MB) is ordered to hold layers %d-%d, %d MB", r.id, r.service, r.kind, kinds[r.kind], o.From, o.To, size)
		go r.crash("it was ordered to hold more layers than it can")
	}
	w.WriteHeader(status)
	if status != http.StatusAccepted {
		return
	}
	time.AfterFunc(r.loadTime, func() {
		r.mu.Lock()
		r.layers, r.busy = layerRange{o.From, o.To}, false
		r.mu.Unlock()
		r.beat()
	})
}

// request answers a request of a client with a short stream.
func (r *runner) request(w http.ResponseWriter, req *http.Request) {
	if e := req.Header.Get("Tamarackreach-Expect-Instance"); e != "" && e != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.serve != nil {
		r.serve(w, req)
		return
	}
	if !strings.HasPrefix(req.Header.Get("Tamarackreach-Hop-Count"), r.address+"=") {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := req.Header.Get("Tamarackreach-Attempt-Id")
	w.Header().Set("Tamarackreach-Attempt-Id", id)
	w.Header().Set("Tamarackreach-Server-Seal", "seal-"+r.id)
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= 5; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}
