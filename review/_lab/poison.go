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

// poisonPath is the path of a request that crashes each runner that runs it.
const poisonPath = "/book/poison"

// crash is one crash by that request.
type crash struct {
	at     time.Time
	runner string
}

// crashes lists them in order.
type crashes struct {
	mu   sync.Mutex
	list []crash
}

func (c *crashes) all() []crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]crash(nil), c.list...)
}

// startFragileRunners starts runners that the request crashes; they are back after two seconds.
func (l *lab) startFragileRunners(count int, zones []string) (*crashes, error) {
	c := &crashes{}
	for i := range count {
		r, err := l.startRunner("shop-app", zones[i%len(zones)], 15*time.Millisecond)
		if err != nil {
			return nil, err
		}
		r.answer = func(r *runner, _ http.ResponseWriter, q *http.Request) bool {
			if !strings.HasPrefix(q.URL.Path, poisonPath) {
				return false
			}
			c.mu.Lock()
			c.list = append(c.list, crash{time.Now(), r.id})
			n := len(c.list)
			c.mu.Unlock()
			l.log("the crashing request runs on %s, crash %d", r.id, n)
			r.crash(2 * time.Second)
			panic(http.ErrAbortHandler)
		}
	}
	return c, nil
}

// sendPoison sends the request with the same path, caller and body each time.
func (l *lab) sendPoison(v *vm) {
	q := l.newRequest(v, "POST", poisonPath)
	q.body = "the same body"
	l.sendNew(v, q)
}

// judge counts the retries later than stability-window-ms after the third crash.
func (l *lab) judge(list []crash) (int, error) {
	if len(list) < 3 {
		return 0, fmt.Errorf("the request crashed %d runners, not three", len(list))
	}
	late := 0
	for i, c := range list {
		if after := c.at.Sub(list[2].at); after > window {
			late++
			l.log("BUDGET crash %d on %s is %.1f s after the third", i+1, c.runner, after.Seconds())
		}
	}
	l.say("the request crashed %d runners; it reached runners in %d retries sent later than stability-window-ms after the third crash (more than 3 break BUDGET)", len(list), late)
	if late > 3 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

// crashingRequest has the store lose the answer to the first write of one machine, at the first
// start of the deployment. Then a request comes again and again that crashes each runner that
// runs it: three times through that machine, later through the others. It checks that after the
// third crash the request reaches runners in at most three retries.
func crashingRequest(ctx context.Context, l *lab) (int, error) {
	if err := l.store.Put("op", "config", config(1, "key-a")); err != nil {
		return 0, err
	}
	zones := []string{"a", "b", "c"}
	crashed, err := l.startFragileRunners(9, zones)
	if err != nil {
		return 0, err
	}
	link, err := newStoreLink(l)
	if err != nil {
		return 0, err
	}
	if l.link = link; l.trouble {
		link.loseKey = "vm/front-c-1"
	}
	for _, m := range []struct{ name, zone string }{{"front-a-1", "a"}, {"front-a-2", "a"}, {"front-b-1", "b"}, {"front-c-1", "c"}} {
		if _, err := l.startVM(m.name, m.zone); err != nil {
			return 0, err
		}
	}
	if !l.waitReady(20 * time.Second) {
		return 0, errNotReady
	}
	time.Sleep(8 * time.Second) // longer than stability-window-ms after the lost answer
	d := l.startLoad(l.vms, 4, "GET", "/look/1")
	odd, others := l.vms[3], l.vms[:3]
	for range 3 {
		l.sendPoison(odd)
		time.Sleep(4 * time.Second)
	}
	for end := time.Now().Add(55 * time.Second); time.Now().Before(end) && ctx.Err() == nil; {
		for _, v := range append(append([]*vm(nil), others...), odd) {
			l.sendPoison(v)
			time.Sleep(time.Second)
		}
	}
	d.stop()
	return l.judge(crashed.all())
}
