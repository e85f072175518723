package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["rolling-restart"] = rollingRestart }

const (
	// callTime is how long the plain service works on a call; callTimeout is the timeout-ms of
	// the route, and the deadline of the clients.
	callTime, callTimeout = 2200 * time.Millisecond, 4 * time.Second
	// termGap is the gap between the VMs of the rolling restart, as on the sites' days.
	termGap = 2 * time.Second
	// grace is grace-s of the settings.
	grace = 8 * time.Second
)

// ledger notes what runners did with the requests.
type ledger struct {
	mu    sync.Mutex
	began map[string]time.Time
	ended map[string]time.Time
}

func newLedger() *ledger {
	return &ledger{began: map[string]time.Time{}, ended: map[string]time.Time{}}
}

func (g *ledger) note(m map[string]time.Time, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m[id] = time.Now()
}

// call answers a plain call after its work, also when its connection is closed meanwhile.
func (g *ledger) call(id string, work time.Duration, w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Tamarackreach-Attempt-Id")
	g.note(g.began, attempt)
	time.Sleep(work)
	g.note(g.ended, attempt)
	w.Header().Set("Tamarackreach-Attempt-Id", attempt)
	w.Header().Set("Tamarackreach-Server-Seal", "seal-"+id)
	_, _ = fmt.Fprintln(w, "{\"done\":true}")
}

// rollingRestart stops and starts the three VMs of a zone in turn while clients send calls that
// may not be repeated.
func rollingRestart(l *lab) error {
	var err error
	if l.store, err = newStore(); err != nil {
		return err
	}
	config := map[string]any{
		"version": 3, "routes": []map[string]any{{
			"name": "charge", "host": "ficu95.example", "prefix": "/charge/", "kind": "non_idempotent", "timeout-ms": callTimeout.Milliseconds(), "target-latency-ms": 3000,
			"service": "desk", "max-attempts": 1,
		}},
		"services": []map[string]any{{"name": "desk", "health-path": "/health", "max-connections": 898}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 60000},
	}
	if err := l.store.Put("op", "config", config); err != nil {
		return err
	}
	work := newLedger()
	for i := range 3 {
		r := &runner{lab: l, id: fmt.Sprintf("desk-%d", i), service: "desk", zone: "zone-a"}
		r.serve = func(w http.ResponseWriter, req *http.Request) { work.call(r.id, callTime, w, req) }
		if err := r.start(""); err != nil {
			return err
		}
	}
	for i := range 3 {
		if _, err := l.newVM(i+1, "zone-a", usualBounds); err != nil {
			return err
		}
	}
	if !until(10*time.Second, func() bool { return l.vms[0].isReady() && l.vms[1].isReady() && l.vms[2].isReady() }) {
		return fmt.Errorf("%w: the VMs are not ready", errCouldNot)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := newBalancer(ctx, l.vms)
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	var sent []*attempt
	stopClients := make(chan struct{})
	go func() {
		for ticker := time.NewTicker(40 * time.Millisecond); ; {
			select {
			case <-stopClients:
				return
			case <-ticker.C:
			}
			a := newAttempt(b.pick(), "/charge/1", callTimeout)
			mu.Lock()
			sent = append(sent, a)
			mu.Unlock()
			clients.Go(a.send)
		}
	}()
	time.Sleep(3 * time.Second)
	terms := map[*vm]time.Time{}
	if l.trouble {
		var restarts sync.WaitGroup
		for i, v := range l.vms {
			if i == 2 { // no more than two VMs are out at a time
				restarts.Wait()
				time.Sleep(termGap)
			}
			terms[v] = time.Now()
			restarts.Go(func() { v.restart() })
			time.Sleep(termGap)
		}
		restarts.Wait()
	}
	time.Sleep(6 * time.Second)
	close(stopClients)
	time.Sleep(100 * time.Millisecond)
	clients.Wait()
	time.Sleep(callTime)
	l.judge(sent, terms, work)
	return nil
}

// restart stops a VM by SIGTERM, by SIGKILL after grace-s, and starts it again.
func (v *vm) restart() {
	v.signal(syscall.SIGTERM)
	select {
	case <-v.exited:
	case <-time.After(grace):
		v.signal(syscall.SIGKILL)
		<-v.exited
	}
	time.Sleep(300 * time.Millisecond)
	if err := v.start(false, usualBounds); err != nil {
		v.lab.record.line("error: %v", err)
	}
}

// judge applies the rule LOST to the attempts.
func (l *lab) judge(sent []*attempt, terms map[*vm]time.Time, work *ledger) {
	work.mu.Lock()
	defer work.mu.Unlock()
	counts := map[string]int{}
	for _, a := range sent {
		began, ran := work.began[a.id]
		ended := work.ended[a.id]
		outcome := fmt.Sprintf("status %d", a.status)
		if !a.whole {
			outcome = "no answer"
		}
		counts[outcome]++
		l.record.line("attempt %s to %s: sent %.3f, run %t, %s after %.3f s, error %v", a.id, a.vm.name, a.sentAt.Sub(l.record.started).Seconds(), ran, outcome, a.endedAt.Sub(a.sentAt).Seconds(), a.err)
		term, stopped := terms[a.vm]
		if a.whole || !ran || !stopped {
			continue
		}
		after := a.sentAt.Sub(term)
		lastSixth := term.Add(grace * 5 / 6)
		switch {
		case after > grace+time.Second || a.endedAt.Before(term): // not around planned work
		case a.endedAt.Sub(a.sentAt) >= callTimeout-50*time.Millisecond: // the deadline was reached
		case after <= 3*time.Second && ended.After(lastSixth): // still at work in the last sixth of grace-s
		default:
			l.violate("LOST: attempt %s was sent %.2f s after the SIGTERM of %s, ran on a runner from %.2f to %.2f s after it, and its connection ended without an answer %.2f s after it",
				a.id, after.Seconds(), a.vm.name, began.Sub(term).Seconds(), ended.Sub(term).Seconds(), a.endedAt.Sub(term).Seconds())
		}
	}
	l.record.line("outcomes: %v", counts)
}
