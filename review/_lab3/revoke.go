package main

import (
	"net/http"
	"sync"
	"time"
)

// revokeBound is revoke-ms of the settings.
const revokeBound = 5 * time.Second

// revokeLastTenant removes the only tenant of the configuration, with its key, while its clients
// are connected.
func revokeLastTenant(l *lab) (bool, error) {
	if err := l.startStore(plainConfig(10)); err != nil {
		return false, err
	}
	group := &runners{store: l.store, host: "127.0.0.1", service: "shop-app", slots: 6, work: 30 * time.Millisecond, record: l.note}
	l.cleanup = append(l.cleanup, group.close)
	for _, zone := range []string{"bc-west-a", "bc-west-b", "bc-west-c"} {
		if err := group.start(zone); err != nil {
			return false, err
		}
	}
	if err := l.startVMs(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	holder, stranger := &clients{key: "key17", host: "shop.example"}, &clients{key: "neverheld", host: "shop.example"}
	end := time.Now().Add(25 * time.Second)
	var wait sync.WaitGroup
	for _, c := range []*clients{holder, stranger} {
		for i := range l.vms {
			wait.Add(1)
			go func() {
				defer wait.Done()
				for time.Now().Before(end) {
					c.attempt(l.vms[i], http.MethodPost, "/hold/pair", "pair", clientDeadline)
					time.Sleep(250 * time.Millisecond)
				}
			}()
		}
	}
	time.Sleep(8 * time.Second)
	var acknowledged time.Time
	if l.trouble {
		config := plainConfig(12)
		config["tenants"] = []map[string]any{}
		l.store.put("op", "config", config)
		acknowledged = time.Now()
		l.record("the store has acknowledged configuration 12, without the tenant and its key")
	}
	wait.Wait()
	return judgeRevoke(l, group.snapshot(), holder, stranger, acknowledged), nil
}

// judgeRevoke counts the requests that ran though they were sent later than the bound after their
// key was taken away, and those whose key no configuration ever held.
func judgeRevoke(l *lab, arrivals []arrival, holder, stranger *clients, acknowledged time.Time) bool {
	ran := map[string]bool{}
	for _, a := range arrivals {
		ran[a.ID] = ran[a.ID] || a.Ran
	}
	before, late, never := 0, 0, 0
	for _, a := range holder.snapshot() {
		l.note("key17: %s sent at %.3f to %s, status %d, ran %t", a.ID, a.SentAt.Sub(l.started).Seconds(), a.VM, a.Status, ran[a.ID])
		switch {
		case !ran[a.ID]:
		case !acknowledged.IsZero() && a.SentAt.Sub(acknowledged) > revokeBound:
			late++
		default:
			before++
		}
	}
	for _, a := range stranger.snapshot() {
		l.note("neverheld: %s sent at %.3f to %s, status %d, ran %t", a.ID, a.SentAt.Sub(l.started).Seconds(), a.VM, a.Status, ran[a.ID])
		if ran[a.ID] {
			never++
		}
	}
	l.record("%d requests with the key ran while it was held or within %s of its removal, %d later", before, revokeBound, late)
	l.record("%d requests ran whose key no configuration ever held", never)
	return late > 0 || never > 0
}
