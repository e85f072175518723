package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// poisonItem is the item whose look-up crashes the runner that begins to run it.
	poisonItem = "item-666"
	// stabilityWindow is that of the settings, and maxLateRetries the number of retries that may
	// reach runners later than that after the third crash.
	stabilityWindow = 3 * time.Second
	maxLateRetries  = 3
	// crashesToBlame is the number of crashes after which the request must stop.
	crashesToBlame = 3
	clientDeadline = 2500 * time.Millisecond
)

// poisonByQuery sends a look-up that crashes runners, beside look-ups of other items that have the
// same path and another query.
func poisonByQuery(l *lab) (bool, error) {
	uri := func(item string) string { return "/stock/lookup?item=" + item }
	return playPoison(l, uri, 0)
}

// poisonByPath is the control of both cases: the look-up has a path of its own and crashes runners
// at once.
func poisonByPath(l *lab) (bool, error) {
	uri := func(item string) string { return "/stock/" + item }
	return playPoison(l, uri, 0)
}

// poisonThatSilences sends a look-up of a path of its own that crashes runners. A runner that
// crashes is silent for some seconds before its connections are reset.
func poisonThatSilences(l *lab) (bool, error) {
	uri := func(item string) string { return "/stock/" + item }
	return playPoison(l, uri, 4*time.Second)
}

// playPoison plays usual look-ups and payments for a while and, with trouble, a look-up that
// crashes runners and comes again every few seconds at any VM.
func playPoison(l *lab, uri func(item string) string, darkFor time.Duration) (bool, error) {
	if err := l.startStore(plainConfig(10)); err != nil {
		return false, err
	}
	group := &runners{store: l.store, host: "127.0.0.1", service: "shop-app", slots: 6, work: 30 * time.Millisecond, darkFor: darkFor, record: l.note}
	group.crashes = func(r *http.Request) bool { return l.trouble && strings.Contains(r.RequestURI, poisonItem) }
	l.cleanup = append(l.cleanup, group.close)
	for _, zone := range []string{"bc-west-a", "bc-west-a", "bc-west-b", "bc-west-b", "bc-west-c", "bc-west-c"} {
		if err := group.start(zone); err != nil {
			return false, err
		}
	}
	if err := l.startVMs(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // the stability window, and the list of VMs is read
	usual := &clients{key: "key17", host: "shop.example"}
	poison := &clients{key: "key17", host: "shop.example"}
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
		every(200*time.Millisecond, func(int) {
			usual.attempt(l.vms[i], http.MethodGet, uri(fmt.Sprintf("item-%d", rand.IntN(60))), "", clientDeadline)
		})
		every(500*time.Millisecond, func(n int) {
			usual.attempt(l.vms[i], http.MethodPost, "/hold/pair", fmt.Sprintf("pair %d of %d", n, i), clientDeadline)
		})
	}
	every(4*time.Second, func(n int) {
		for try := range 2 { // one retry, on a new connection and at another VM
			if a := poison.attempt(l.vms[(n+try)%len(l.vms)], http.MethodGet, uri(poisonItem), "", clientDeadline); a.Status == http.StatusOK {
				return
			}
		}
	})
	wait.Wait()
	if usual.served() < 400 {
		return false, fmt.Errorf("only %d usual requests were served", usual.served())
	}
	return judgePoison(l, group.snapshot(), usual, poison), nil
}

// served returns the number of successes.
func (c *clients) served() int {
	n := 0
	for _, a := range c.snapshot() {
		if a.Status == http.StatusOK && a.Sealed {
			n++
		}
	}
	return n
}

// judgePoison counts the attempts of the request that reached runners later than the stability
// window after its third crash.
func judgePoison(l *lab, arrivals []arrival, usual, poison *clients) bool {
	answered := map[string]answerTo{}
	for _, a := range append(usual.snapshot(), poison.snapshot()...) {
		answered[a.ID] = a
	}
	var third time.Time
	crashes, lost := 0, 0
	late := map[string]bool{}
	for _, a := range arrivals {
		if a.Lost {
			lost++
			l.note("request %s %s %s was at work on %s when it crashed; its client got status %d", a.ID, a.Method, a.URI, a.Runner, answered[a.ID].Status)
		}
		if !strings.Contains(a.URI, poisonItem) {
			continue
		}
		l.note("poison %s reaches %s from %s at %.3f, ran %t, crashed it %t", a.ID, a.Runner, a.From, a.At.Sub(l.started).Seconds(), a.Ran, a.Crashed)
		if a.Crashed {
			if crashes++; crashes == crashesToBlame {
				third = a.At
			}
		}
		if !third.IsZero() && a.At.Sub(third) > stabilityWindow {
			late[a.ID] = true
		}
	}
	for _, a := range poison.snapshot() {
		l.note("poison %s at %s is answered %d after %.3f s %s", a.ID, a.VM, a.Status, a.EndedAt.Sub(a.SentAt).Seconds(), a.Err)
	}
	l.record("%d usual requests sent, %d served, %d lost on a runner that crashed", len(usual.snapshot()), usual.served(), lost)
	l.record("%d crashes; %d attempts of the request reached runners more than %s after the third, %d are allowed", crashes, len(late), stabilityWindow, maxLateRetries)
	return len(late) > maxLateRetries
}
