package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// window is stability-window-ms of the settings.
const window = 3 * time.Second

func init() { cases["poison"] = crashingRequest }

// crashingRequest has the store lose the answer to the first write of one machine, at the first
// start of the deployment. Then a request comes again and again that crashes each runner that
// runs it: three times through that machine, later through the others. It checks that after the
// third crash the request reaches runners in at most three retries.
func crashingRequest(ctx context.Context, l *lab) (int, error) {
	if err := l.store.Put("op", "config", config(1, "key-a")); err != nil {
		return 0, err
	}
	const path = "/book/poison"
	type arrival struct {
		at     time.Time
		runner string
	}
	var mu sync.Mutex
	var crashes []arrival
	zones := []string{"a", "b", "c"}
	for i := range 9 {
		r, err := l.startRunner("shop-app", zones[i%3], 15*time.Millisecond)
		if err != nil {
			return 0, err
		}
		r.answer = func(r *runner, _ http.ResponseWriter, q *http.Request) bool {
			if !strings.HasPrefix(q.URL.Path, path) {
				return false
			}
			mu.Lock()
			crashes = append(crashes, arrival{time.Now(), r.id})
			n := len(crashes)
			mu.Unlock()
			l.log("the crashing request runs on %s, crash %d", r.id, n)
			r.crash(2 * time.Second)
			panic(http.ErrAbortHandler)
		}
	}
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(crashes)
	}
	for _, m := range []struct{ name, zone string }{{"front-a-1", "a"}, {"front-a-2", "a"}, {"front-b-1", "b"}, {"front-c-1", "c"}} {
		if _, err := l.startVMLosing(m.name, m.zone, l.trouble && m.name == "front-c-1"); err != nil {
			return 0, err
		}
	}
	if !l.waitReady(20 * time.Second) {
		return 0, errNotReady
	}
	time.Sleep(8 * time.Second) // longer than stability-window-ms after the lost answer
	d := l.startLoad(l.vms, 4, "GET", "/look/1")
	odd, others := l.vms[3], l.vms[:3]
	// The same path, caller and body each time.
	send := func(v *vm) *request {
		q := l.newRequest(v, "POST", path)
		q.body = "the same body"
		return l.sendNew(v, q)
	}
	for range 3 {
		send(odd)
		time.Sleep(4 * time.Second)
	}
	third := time.Time{}
	if mu.Lock(); len(crashes) >= 3 {
		third = crashes[2].at
	}
	mu.Unlock()
	if third.IsZero() {
		return 0, fmt.Errorf("the request crashed %d runners, not three", count())
	}
	for end := time.Now().Add(55 * time.Second); time.Now().Before(end) && ctx.Err() == nil; {
		for _, v := range append(append([]*vm(nil), others...), odd) {
			send(v)
			time.Sleep(time.Second)
		}
	}
	d.stop()
	late := 0
	for i, c := range crashes {
		if after := c.at.Sub(third); after > window {
			late++
			l.log("BUDGET crash %d on %s is %.1f s after the third", i+1, c.runner, after.Seconds())
		}
	}
	l.say("the request crashed %d runners; it reached runners in %d retries sent later than stability-window-ms after the third crash (more than 3 break BUDGET)", len(crashes), late)
	if late > 3 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}
