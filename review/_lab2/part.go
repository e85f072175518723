package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["crashing-request"] = crashingRequest }

const (
	// stability is stability-window-ms of the settings, and retriesAllowed the number of
	// retries later than that after the third crash that the rule allows.
	stability, retriesAllowed = 3 * time.Second, 3
	// crashedFor is how long a runner is away after a crash.
	crashedFor = 2 * time.Second
	// sharedPart is a part of the prompt that the crashing request shares with others.
	sharedPart = "5c1e07a2:40"
)

// crashes notes where and when the request crashed runners.
type crashes struct {
	mu sync.Mutex
	at []time.Time
}

func (c *crashes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.at)
}

// restartAfterCrash ends a runner at once, and starts it again under its id and address.
func (r *runner) restartAfterCrash() {
	r.mu.Lock()
	r.away = true
	r.mu.Unlock()
	_ = r.server.Close()
	time.AfterFunc(crashedFor, func() {
		listener, err := net.Listen("tcp4", r.address)
		if err != nil {
			r.lab.record.line("error: %v", err)
			return
		}
		r.mu.Lock()
		r.away, r.born = false, time.Now().UnixMilli()
		r.server = &http.Server{Handler: r.server.Handler}
		server := r.server
		r.mu.Unlock()
		r.beat()
		_ = server.Serve(listener) // ends with the next crash
	})
}

// crashingRequest has a request come again and again that crashes each runner that begins to run
// it. Its prompt shares a part with other requests, which are harmless and come a little later.
func crashingRequest(l *lab) error {
	var err error
	if l.store, err = newStore(); err != nil {
		return err
	}
	config := map[string]any{
		"version": 3, "routes": []map[string]any{{
			"name": "look", "host": "ficu95.example", "prefix": "/look/", "kind": "idempotent", "timeout-ms": 2000, "target-latency-ms": 500,
			"service": "desk", "max-attempts": 2, "sticky": true,
		}},
		"services": []map[string]any{{"name": "desk", "health-path": "/health", "max-connections": 898}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	if err := l.store.Put("op", "config", config); err != nil {
		return err
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	crashed := &crashes{}
	for i := range 9 {
		r := &runner{lab: l, id: fmt.Sprintf("desk-%d", i), service: "desk", zone: zones[i%3]}
		r.serve = func(w http.ResponseWriter, req *http.Request) {
			if req.URL.Path == "/look/crash" && l.trouble {
				crashed.mu.Lock()
				crashed.at = append(crashed.at, time.Now())
				n := len(crashed.at)
				crashed.mu.Unlock()
				l.record.line("crash %d: attempt %s crashes %s", n, req.Header.Get("Tamarackreach-Attempt-Id"), r.id)
				r.restartAfterCrash()
				panic(http.ErrAbortHandler)
			}
			time.Sleep(15 * time.Millisecond)
			w.Header().Set("Tamarackreach-Attempt-Id", req.Header.Get("Tamarackreach-Attempt-Id"))
			w.Header().Set("Tamarackreach-Server-Seal", "seal-"+r.id)
			_, _ = fmt.Fprintln(w, "{\"shelf\":3}")
		}
		if err := r.start(""); err != nil {
			return err
		}
	}
	for i, zone := range []string{"zone-a", "zone-a", "zone-b", "zone-c"} {
		if _, err := l.newVM(i+1, zone, usualBounds); err != nil {
			return err
		}
	}
	if !until(10*time.Second, func() bool {
		return l.vms[0].isReady() && l.vms[1].isReady() && l.vms[2].isReady() && l.vms[3].isReady()
	}) {
		return fmt.Errorf("%w: the VMs are not ready", errCouldNot)
	}
	l.playCrashing(crashed)
	return l.judgeCrashes(crashed)
}

// playCrashing plays the clients: each sends an attempt, and one more to the next VM after a
// failure.
func (l *lab) playCrashing(crashed *crashes) {
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	harmless := func(parts string, every time.Duration) {
		clients.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				a := newAttempt(l.vms[n%4], fmt.Sprintf("/look/%d", n), 2*time.Second)
				a.parts = fmt.Sprintf("%s,%08x:700", parts, n)
				clients.Go(a.send)
				time.Sleep(every)
			}
		})
	}
	harmless("91bd3f06:40", 50*time.Millisecond)
	time.Sleep(20 * time.Second) // the retry budget has its share of the slack
	began, third := false, time.Time{}
	for n, end := 0, time.Now().Add(60*time.Second); time.Now().Before(end); n++ {
		for k := range 2 {
			a := newAttempt(l.vms[(n+k)%4], "/look/crash", 2*time.Second)
			a.parts = sharedPart + ",e4402b7d:700"
			a.send()
			l.record.line("the request at %s: status %d", a.vm.name, a.status)
			if a.status == http.StatusOK {
				break
			}
		}
		if crashed.count() >= 3 && third.IsZero() {
			third = time.Now()
		}
		if !began && !third.IsZero() && time.Since(third) > stability {
			began = true
			harmless(sharedPart, 40*time.Millisecond)
		}
		time.Sleep(time.Second)
	}
	cancel()
	clients.Wait()
}

// judgeCrashes applies the rule BUDGET.
func (l *lab) judgeCrashes(crashed *crashes) error {
	crashed.mu.Lock()
	defer crashed.mu.Unlock()
	if !l.trouble {
		return nil
	}
	if len(crashed.at) < 3 {
		return fmt.Errorf("%w: the request crashed %d runners", errCouldNot, len(crashed.at))
	}
	late := 0
	for i, at := range crashed.at {
		after := at.Sub(crashed.at[2])
		if after > stability {
			late++
		}
		l.record.line("crash %d is %.2f s after the third", i+1, after.Seconds())
	}
	l.record.line("the request reached runners in %d retries later than stability-window-ms after the third crash", late)
	if late > retriesAllowed {
		l.violate("BUDGET: the request reached runners in %d retries later than stability-window-ms after it had crashed the third; %d are allowed", late, retriesAllowed)
	}
	return nil
}
