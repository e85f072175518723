package main

import (
	"context"
	"strings"
	"time"

	"tamarackreach/platform/platformtest"
)

func init() { cases["models"] = twoModels }

// modelConfig is a configuration with two services of layers, each with a streaming route.
func modelConfig() map[string]any {
	engine := func() map[string]any {
		return map[string]any{
			"slots": 192, "kv-token-bytes": 590000.0, "step_ms": 1.02, "per_seq_ms": 0.00459, "context_per_k": 0.00615,
			"read_per_s": 164000.0, "chunk": 512, "stride": 4, "layers": 80, "layer-mb": 1750, "loads_at_once": 4, "report_lag_ms": 200,
			"usual":  map[string]any{"prompt": 760, "answer": 172},
			"models": []map[string]any{{"name": "m0", "load-s": 14.0}},
			"kinds":  []map[string]any{{"name": "a100", "size-mb": 72000, "pace": 2.4, "read-x": 3.2}},
		}
	}
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "shop.example", "prefix": prefix, "kind": "streaming", "timeout-ms": 20000, "target-latency-ms": 500, "priority": 1,
			"service": service, "max-attempts": 2, "public": false, "sticky": true, "resumable": true, "gap-aim-ms": 250,
		}
	}
	c := config(1, "key-a")
	c["routes"] = []map[string]any{route("r-a", "/a/", "model-a"), route("r-b", "/b/", "model-b")}
	c["services"] = []map[string]any{
		{"name": "model-a", "health-path": "/health", "max-connections": 1138, "engine": engine()},
		{"name": "model-b", "health-path": "/health", "max-connections": 1138, "engine": engine()},
	}
	return c
}

// twoModels starts a deployment with two models for the first time. One runner of one model is
// lost for good before the machines start. It checks that requests are served.
func twoModels(ctx context.Context, l *lab) (int, error) {
	if err := l.store.Put("op", "config", modelConfig()); err != nil {
		return 0, err
	}
	fleet := platformtest.NewFleet(l.store)
	defer fleet.Close()
	var lost *platformtest.Target
	for _, service := range []string{"model-a", "model-b"} {
		for i := range 9 {
			t, err := fleet.Start(service, []string{"a", "b", "c"}[i%3], "a100", 0, 0)
			if err != nil {
				return 0, err
			}
			l.log("runner %s of %s starts empty", t.ID, service)
			lost = t
		}
	}
	if l.trouble {
		lost.Crash()
		l.log("%s is lost for good", lost.ID)
	}
	time.Sleep(3600 * time.Millisecond)
	if l.trouble {
		lost.Deregister()
		l.log("its entry is removed after three intervals of silence")
	}
	for _, m := range []struct{ name, zone string }{{"front-a-1", "a"}, {"front-a-2", "a"}, {"front-b-1", "b"}, {"front-c-1", "c"}} {
		if _, err := l.startVM(m.name, m.zone); err != nil {
			return 0, err
		}
	}
	if !l.waitReady(20 * time.Second) {
		return 0, errNotReady
	}
	time.Sleep(10 * time.Second)
	sent, served := 0, 0
	counts := map[string]int{}
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		q := l.newRequest(l.vms[sent%4], "POST", []string{"/a/1", "/b/1"}[sent/4%2])
		q.body, q.deadline = "a prompt", 20*time.Second
		l.sendNew(l.vms[sent%4], q)
		sent++
		if q.err == nil && q.status == 200 && strings.Contains(q.answer, "data") {
			served++
		}
		counts[q.result()]++
	}
	for _, t := range append(fleet.Targets("model-a"), fleet.Targets("model-b")...) {
		from, to := t.Held()
		l.log("runner %s of %s holds the layers %d-%d", t.ID, t.Service, from, to)
	}
	l.say("%d requests, %d served; %v", sent, served, counts)
	if served == 0 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}
