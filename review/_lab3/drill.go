package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// drills is the number of drills in a run, each with a key and a machine of its own.
	drills = 6
	// addedAtOnce is the number of machines that are added in each drill.
	addedAtOnce = 2
	// copyAge is how old the copy is from which the store comes back.
	copyAge = 6 * time.Second
	// storeAway is how long the store is away, and rewriteAfter how long after its return the
	// operator writes its configuration again.
	storeAway    = 300 * time.Millisecond
	rewriteAfter = 3 * time.Second
)

// revokedKey is the key that is taken away before drill n.
func revokedKey(n int) string { return fmt.Sprintf("key-%d", n) }

// drillConfig is the configuration in which the keys before n have been taken away.
func drillConfig(version, n int) map[string]any {
	keys := []string{"key17"}
	for i := n; i < drills; i++ {
		keys = append(keys, revokedKey(i))
	}
	config := plainConfig(version)
	config["tenants"] = []map[string]any{{"name": "store-17", "api-keys": keys}}
	return config
}

// addDuringDrill adds a machine at the moment at which the store comes back from an older copy that
// still has a key which was taken away some seconds before. Without trouble the store is well, and
// the machines are added all the same.
func addDuringDrill(l *lab) (bool, error) {
	if err := l.startStore(drillConfig(10, 0)); err != nil {
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
	removed := map[string]time.Time{}
	holders := map[string]*clients{}
	for n := range drills {
		key := revokedKey(n)
		holders[key] = &clients{key: key, host: "shop.example"}
		older := l.store.copy()
		config := drillConfig(11+n, n+1)
		l.store.put("op", "config", config)
		removed[key] = time.Now()
		l.note("configuration %d, without %s, is acknowledged", 11+n, key)
		time.Sleep(copyAge)
		if err := l.playDrill(n, older, config, holders[key]); err != nil {
			return false, err
		}
	}
	return judgeDrills(l, group.snapshot(), holders, removed), nil
}

// playDrill has the store come back from an older copy while machines are added, and sends requests
// with the removed key to each of them once it is ready.
func (l *lab) playDrill(n int, older storeCopy, config map[string]any, holder *clients) error {
	var added []*vm
	for i := range addedAtOnce {
		zone := vmZones[(n+2*i)%len(vmZones)]
		number := addedAtOnce*n + i
		v, err := newVM(l.folder, fmt.Sprintf("front-%s-%d", zone, 5+number), zone, 10+number, l.store.address, false)
		if err != nil {
			return err
		}
		added = append(added, v)
	}
	l.mu.Lock()
	l.vms = append(l.vms, added...)
	l.mu.Unlock()
	if l.trouble {
		l.store.leave()
		time.Sleep(storeAway)
		l.store.restore(older)
		l.note("drill %d: the store is back from a copy that is %s old", n, copyAge)
	}
	var wait sync.WaitGroup
	for _, v := range added {
		if err := v.start(); err != nil {
			return err
		}
		l.note("machine %s is added", v.name)
		wait.Add(1)
		go func() {
			defer wait.Done()
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				if v.ready() {
					holder.attempt(v, http.MethodPost, "/hold/pair", "pair", clientDeadline)
				}
			}
			v.kill() // the machine is removed for good
		}()
	}
	time.Sleep(rewriteAfter)
	if l.trouble {
		l.store.put("op", "config", config)
		l.note("drill %d: the operator has written its configuration again", n)
	}
	wait.Wait()
	return nil
}

// judgeDrills counts the requests that ran though they were sent later than the bound after the
// acknowledgement of the configuration that took their key away.
func judgeDrills(l *lab, arrivals []arrival, holders map[string]*clients, removed map[string]time.Time) bool {
	ran := map[string]bool{}
	for _, a := range arrivals {
		ran[a.ID] = ran[a.ID] || a.Ran
	}
	late, machines := 0, map[string]bool{}
	for n := range drills {
		key := revokedKey(n)
		for _, a := range holders[key].snapshot() {
			after := a.SentAt.Sub(removed[key])
			l.note("%s: %s sent to %s %.3f s after the removal, status %d, ran %t", key, a.ID, a.VM, after.Seconds(), a.Status, ran[a.ID])
			if ran[a.ID] && after > revokeBound {
				late++
				machines[a.VM] = true
			}
		}
	}
	l.record("%d requests with a removed key ran later than %s after its removal, at %d of %d machines that were added", late, revokeBound, len(machines), drills*addedAtOnce)
	return late > 0
}
