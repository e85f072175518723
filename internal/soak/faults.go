package soak

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"tamarackreach/platform/platformtest"
)

// fault begins a fault and returns what ends it, nil when it ends by itself.
type fault struct {
	name  string
	begin func(r *run) func()
}

const (
	// faultGap is the mean pause between the starts of two faults; several are
	// under way at a time.
	faultGap = 350 * time.Millisecond
	// longestFault bounds a fault.
	longestFault = 2500 * time.Millisecond
)

// faults lists what may happen.
func faults() []fault {
	signal := func(s syscall.Signal) func(*run) func() {
		return func(r *run) func() { r.vm().signal(s); return nil }
	}
	next := func(f platformtest.Fault) func(*run) func() {
		return func(r *run) func() { r.target("desk").Next(f); return nil }
	}
	return []fault{
		{"SIGTERM", signal(syscall.SIGTERM)}, {"SIGKILL", signal(syscall.SIGKILL)}, {"SIGHUP", signal(syscall.SIGHUP)},
		{"pause", func(r *run) func() {
			v := r.vm()
			v.signal(syscall.SIGSTOP)
			return func() { v.signal(syscall.SIGCONT) }
		}},
		{"store away", func(r *run) func() {
			r.store.Fail(http.StatusServiceUnavailable)
			return func() { r.store.Fail(0) }
		}},
		{"store silent", func(r *run) func() { p := r.vm().store; p.muteDown.Store(true); return p.heal }},
		{"store deaf", func(r *run) func() { p := r.vm().store; p.muteUp.Store(true); return p.heal }},
		{"store slow", func(r *run) func() { p := r.vm().store; p.delay.Store(int64(200 * time.Millisecond)); return p.heal }},
		{"store reset", func(r *run) func() { r.vm().store.resetAll(); return nil }},
		{"target silent", func(r *run) func() { p := r.link(); p.muteDown.Store(true); return p.heal }},
		{"target deaf", func(r *run) func() { p := r.link(); p.muteUp.Store(true); return p.heal }},
		{"target slow", func(r *run) func() { p := r.link(); p.delay.Store(int64(100 * time.Millisecond)); return p.heal }},
		{"target reset", func(r *run) func() { r.link().resetAll(); return nil }},
		{"target replaced", replaceTarget},
		{"foreign registration", func(r *run) func() {
			_ = r.store.Put("servers", fmt.Sprintf("x-%d", r.random.IntN(9)), map[string]any{"state": 5}) // memory: never fails
			return nil
		}},
		{"configuration", func(r *run) func() { _ = r.configure(); return nil }},
		{"answer lost", next(platformtest.LoseAnswer)}, {"foreign answer", next(platformtest.Foreign)},
		{"failure", next(platformtest.Fails)}, {"shed", next(platformtest.Shed)},
		{"stream broken", func(r *run) func() { r.fleet.BreakNext(); return nil }},
	}
}

// replaceTarget crashes a target and starts another a little later.
func replaceTarget(r *run) func() {
	t := r.target([]string{"desk", "llm"}[r.random.IntN(2)])
	t.Crash()
	return func() {
		t.Leave()
		// A target that cannot start is one fewer; recovery then fails and says so.
		_ = r.addTarget(t.Service, t.Zone, t.Kind)
	}
}

func (r *run) vm() *vm { return r.vms[r.random.IntN(len(r.vms))] }

func (r *run) target(service string) *platformtest.Target {
	list := r.fleet.Targets(service)
	return list[r.random.IntN(len(list))]
}

// link is the proxy before a target.
func (r *run) link() *proxy { return r.proxies[r.target([]string{"desk", "llm"}[r.random.IntN(2)])] }

// injectAll begins faults in series and lets them overlap; all have ended when
// it returns.
func (r *run) injectAll() {
	all := faults()
	var lock sync.Mutex // faults end on their own timers
	var wait sync.WaitGroup
	started := time.Now()
	for time.Since(started) < r.Faults {
		f := all[r.random.IntN(len(all))]
		lock.Lock()
		end := f.begin(r)
		lock.Unlock()
		r.report.Faults = append(r.report.Faults, fmt.Sprintf("%s %s", time.Since(started).Round(time.Millisecond), f.name))
		length := time.Duration(r.random.Int64N(int64(longestFault)))
		if end != nil {
			wait.Add(1)
			time.AfterFunc(length, func() {
				defer wait.Done()
				lock.Lock()
				defer lock.Unlock()
				end()
			})
		}
		time.Sleep(time.Duration(r.random.Int64N(2 * int64(faultGap))))
	}
	wait.Wait()
}
