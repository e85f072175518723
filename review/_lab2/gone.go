package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["clients-gave-up"] = clientsGaveUp }

const (
	// longCalls is the number of clients that keep calls of longTime in flight, one after the
	// other: four VMs of smallBounds bear them, two don't.
	longCalls, longTime, longTimeout = 1600, 5 * time.Second, 15 * time.Second
	// shortTime is the work of the other calls, shortDeadline the deadline of their clients.
	shortTime, shortDeadline = 30 * time.Millisecond, time.Second
	// shortGap is the time between two short calls.
	shortGap = 5 * time.Millisecond
	// aFew is the number of requests beyond which the rule counts as broken.
	aFew = 10
)

// smallBounds are those of the smallest machines on the sheets.
var smallBounds = bounds{graceS: 8, memoryMB: 184, maxFiles: 4100}

// clientsGaveUp takes the power from two of four VMs, whose clients then connect to the others.
func clientsGaveUp(l *lab) error {
	var err error
	if l.store, err = newStore(); err != nil {
		return err
	}
	route := func(name, kind string, timeout time.Duration) map[string]any {
		return map[string]any{
			"name": name, "host": "ficu95.example", "prefix": "/" + name + "/", "kind": kind, "timeout-ms": timeout.Milliseconds(), "target-latency-ms": 500,
			"service": "desk", "max-attempts": 1,
		}
	}
	config := map[string]any{
		"version":  3,
		"routes":   []map[string]any{route("charge", "non_idempotent", shortDeadline), route("lookup", "idempotent", shortDeadline), route("long", "idempotent", longTimeout)},
		"services": []map[string]any{{"name": "desk", "health-path": "/health", "max-connections": 4000}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 60000},
	}
	if err := l.store.Put("op", "config", config); err != nil {
		return err
	}
	work := newLedger()
	for i := range 4 {
		r := &runner{lab: l, id: fmt.Sprintf("desk-%d", i), service: "desk", zone: "zone-a", slots: 1000}
		r.serve = func(w http.ResponseWriter, req *http.Request) {
			d := shortTime
			if req.URL.Path == "/long/1" {
				d = longTime
			}
			work.call(r.id, d, w, req)
		}
		if err := r.start(""); err != nil {
			return err
		}
	}
	for i := range 4 {
		if _, err := l.newVM(i+1, "zone-a", smallBounds); err != nil {
			return err
		}
	}
	if !until(10*time.Second, func() bool {
		return l.vms[0].isReady() && l.vms[1].isReady() && l.vms[2].isReady() && l.vms[3].isReady()
	}) {
		return fmt.Errorf("%w: the VMs are not ready", errCouldNot)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := newBalancer(ctx, l.vms)
	time.Sleep(2 * time.Second)
	short := l.giveUpLoad(b)
	l.judgeGone(short, work)
	return nil
}

// giveUpLoad plays the clients, and returns the short calls.
func (l *lab) giveUpLoad(b *balancer) []*attempt {
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for i := range longCalls {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * longTime / longCalls)
			for ctx.Err() == nil {
				a := newAttempt(b.pick(), "/long/1", longTimeout)
				a.send()
				if !a.whole { // repeated after a moment, on a new connection
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	var mu sync.Mutex
	var short []*attempt
	clients.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			a := newAttempt(b.pick(), []string{"/charge/1", "/lookup/1"}[n%2], shortDeadline)
			mu.Lock()
			short = append(short, a)
			mu.Unlock()
			clients.Go(a.send)
			time.Sleep(shortGap)
		}
	})
	time.Sleep(longTime + 3*time.Second)
	if l.trouble {
		l.vms[2].end()
		l.vms[3].end()
	}
	time.Sleep(15 * time.Second)
	cancel()
	clients.Wait()
	time.Sleep(2 * time.Second)
	return short
}

// judgeGone applies the rule GONE to the short calls.
func (l *lab) judgeGone(short []*attempt, work *ledger) {
	work.mu.Lock()
	defer work.mu.Unlock()
	var late []string
	counts := map[string]int{}
	for _, a := range short {
		began, ran := work.began[a.id]
		after := began.Sub(a.endedAt)
		counts[fmt.Sprintf("status %d, run %t, run after the client had left %t", a.status, ran, ran && after > 500*time.Millisecond)]++
		l.record.line("attempt %s %s to %s: sent %.3f, run %t, status %d after %.3f s, error %v", a.id, a.path, a.vm.name, a.sentAt.Sub(l.record.started).Seconds(), ran, a.status, a.endedAt.Sub(a.sentAt).Seconds(), a.err)
		if ran && after > 500*time.Millisecond {
			late = append(late, fmt.Sprintf("%s of %s reached a runner %.2f s after its client had closed its connection to %s", a.path, a.id, after.Seconds(), a.vm.name))
		}
	}
	l.record.line("outcomes: %v", counts)
	if len(late) > aFew {
		for _, text := range late {
			l.violate("GONE: %s", text)
		}
	}
}
