package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["leave"] = leaveDuringCut }

// drainBound is drain-ms of the settings.
const drainBound = 2 * time.Second

// leaver is a runner whose entry is removed.
type leaver struct {
	*runner
	removedAt time.Time
}

// leaveDuringCut cuts the machine that reads the store for the others off the store, removes
// the entries of runners meanwhile, and checks that the other machines, whose way to the store
// is sound, send no request to a runner later than drain-ms after its entry was removed.
func leaveDuringCut(ctx context.Context, l *lab) (int, error) {
	if err := l.store.Put("op", "config", config(1, "key-a")); err != nil {
		return 0, err
	}
	zones := []string{"a", "b"}
	const work = 40 * time.Millisecond
	for _, zone := range zones {
		if _, err := l.startRunner("shop-app", zone, work); err != nil {
			return 0, err
		}
	}
	for _, m := range []struct{ name, zone string }{{"front-a-1", "a"}, {"front-a-2", "a"}, {"front-b-1", "b"}} {
		if _, err := l.startVM(m.name, m.zone); err != nil {
			return 0, err
		}
	}
	if !l.waitReady(20 * time.Second) {
		return 0, errNotReady
	}
	load := l.startLoad(l.vms[1:], 16, "GET", "/look/1") // not through the machine that is cut off
	var leavers []*leaver
	for range 7 {
		var round []*leaver
		for i := range 10 {
			r, err := l.startRunner("shop-app", zones[i%2], work)
			if err != nil {
				return 0, err
			}
			round = append(round, &leaver{runner: r})
		}
		time.Sleep(7 * time.Second) // the machine reads the store for the others again
		if l.trouble {
			l.link.cutOff(l.vms[0])
		}
		time.Sleep(550 * time.Millisecond)
		for _, r := range round {
			r.removedAt = time.Now()
			r.deregister()
			l.log("the entry of %s is removed; it goes on serving", r.id)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(1450 * time.Millisecond)
		if l.trouble {
			l.link.heal()
		}
		time.Sleep(3500 * time.Millisecond)
		for _, r := range round {
			_ = r.server.Close()
			l.log("%s exits", r.id)
		}
		leavers = append(leavers, round...)
		if ctx.Err() != nil {
			break
		}
	}
	all := load.stop()
	broken, runs := 0, 0
	for _, r := range leavers {
		late := 0
		var last time.Duration
		for _, x := range r.runs {
			runs++
			q := all[x.id]
			if q == nil {
				continue
			}
			if after := x.at.Sub(r.removedAt); after > drainBound && q.startedAt.Sub(r.removedAt) > drainBound {
				late++
				last = max(last, after)
				l.log("DRAIN %s through %s reaches %s %.0f ms after its entry was removed; the client sent it %.0f ms after", q.id, q.vm, r.id, 1000*after.Seconds(), 1000*q.startedAt.Sub(r.removedAt).Seconds())
			}
		}
		broken += late
		l.log("%s: %d runs, %d of them late, the last %.0f ms after the removal", r.id, len(r.runs), late, 1000*last.Seconds())
	}
	l.say("%d requests, %d runs on runners that left, %d of them sent and run later than drain-ms (2000 ms) after the removal", len(all), runs, broken)
	if runs == 0 {
		return 0, fmt.Errorf("no request reached a runner that leaves")
	}
	if broken > 0 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}
