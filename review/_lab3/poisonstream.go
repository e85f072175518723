package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// poisonOfLastHop sends a stream that crashes the last runner of its path.
func poisonOfLastHop(l *lab) (bool, error) {
	return playStreams(l, func(hops int) int { return hops - 1 })
}

// poisonOfFirstHop is the control: the stream crashes the first runner of its path.
func poisonOfFirstHop(l *lab) (bool, error) { return playStreams(l, func(int) int { return 0 }) }

// modelConfig is a configuration with a resumable streaming route to the model service.
func modelConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "fit-note", "host": "shop.example", "prefix": "/fit/", "kind": "streaming", "timeout-ms": 20000, "target-latency-ms": 500, "service": "draft-models",
			"max-attempts": 2, "priority": 1, "resumable": true, "gap-aim-ms": 250, "sticky": true,
		}},
		"services": []map[string]any{{"name": "draft-models", "health-path": "/health", "max-connections": 898, "engine": map[string]any{
			"slots": 192, "kv-token-bytes": 327680, "step_ms": 1.02, "per_seq_ms": 0.01, "context_per_k": 0.01, "read_per_s": 164000, "chunk": 512, "stride": 4,
			"loads_at_once": 4, "usual": map[string]any{"prompt": 200, "answer": 40}, "models": []map[string]any{{"name": "m0", "load-s": 14}},
			"layers": modelLayers, "layer-mb": layerMB, "kinds": []map[string]any{{"name": "a100", "size-mb": cardMB, "pace": 2.4, "read-x": 3.2}},
		}}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 60000},
		"tenants": []map[string]any{{"name": "store-17", "api-keys": []string{"key17"}}},
	}
}

// playStreams plays usual streams and, with trouble, one that crashes a runner of each path that
// runs it, and comes again every few seconds at any VM.
func playStreams(l *lab, crashing func(hops int) int) (bool, error) {
	if err := l.startStore(modelConfig(10)); err != nil {
		return false, err
	}
	group := &stages{store: l.store, host: "127.0.0.1", record: l.note}
	group.crashes = func(r *http.Request, hops int) int {
		if l.trouble && strings.Contains(r.RequestURI, poisonItem) {
			return crashing(hops)
		}
		return -1
	}
	l.cleanup = append(l.cleanup, group.close)
	for i := range 12 {
		if err := group.start([]string{"bc-west-a", "bc-west-b", "bc-west-c"}[i%3]); err != nil {
			return false, err
		}
	}
	if err := l.startVMs(); err != nil {
		return false, err
	}
	for end := time.Now().Add(20 * time.Second); !group.whole(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			return false, fmt.Errorf("the layers are not placed after 20 s")
		}
	}
	l.record("all layers are placed")
	time.Sleep(5 * time.Second)
	usual, poison := &clients{key: "key17", host: "shop.example"}, &clients{key: "key17", host: "shop.example"}
	end := time.Now().Add(60 * time.Second)
	var wait sync.WaitGroup
	every := func(interval time.Duration, f func(n int)) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := 0; time.Now().Before(end); n++ {
				started := time.Now()
				f(n)
				time.Sleep(interval - time.Since(started))
			}
		}()
	}
	for i := range l.vms {
		every(250*time.Millisecond, func(int) {
			own := rand.Uint32()
			usual.streamOnce(l.vms[i], fmt.Sprintf("/fit/note-%08x", own), fmt.Sprintf("note %08x", own), fmt.Sprintf("5c1e07a2:40,%08x:160", own), 20*time.Second)
		})
	}
	every(5*time.Second, func(n int) {
		for try := range 2 { // one retry, on a new connection and at another VM
			if a := poison.streamOnce(l.vms[(n+try)%len(l.vms)], "/fit/"+poisonItem, "note 666", "5c1e07a2:40,66600666:160", 20*time.Second); a.Status == http.StatusOK {
				return
			}
		}
	})
	wait.Wait()
	if served := usual.served(); served < 20 || !l.trouble && served < 300 {
		return false, fmt.Errorf("only %d usual streams were served", served)
	}
	return judgePoison(l, group.snapshot(), usual, poison), nil
}
