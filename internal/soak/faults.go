package soak

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"tamarackreach/platform/platformtest"
)

// fault is a kind of fault. inject starts it and returns the function that ends
// it, nil if it ends by itself.
type fault struct {
	name   string
	inject func(r *run) func()
}

const (
	// meanFaultGap is the mean time between the starts of two faults; faults
	// overlap.
	meanFaultGap = 350 * time.Millisecond
	// maxFaultDuration bounds the duration of a fault.
	maxFaultDuration = 2500 * time.Millisecond
)

// faults returns the kinds of faults. Their order decides what a seed injects.
func faults() []fault {
	signal := func(s syscall.Signal) func(*run) func() {
		return func(r *run) func() { r.vm().signal(s); return nil }
	}
	failNextCall := func(f platformtest.Fault) func(*run) func() {
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
		{"store silent", func(r *run) func() { p := r.vm().store; p.dropDown.Store(true); return p.clear }},
		{"store deaf", func(r *run) func() { p := r.vm().store; p.dropUp.Store(true); return p.clear }},
		{"store slow", func(r *run) func() { p := r.vm().store; p.delay.Store(int64(200 * time.Millisecond)); return p.clear }},
		{"store reset", func(r *run) func() { r.vm().store.resetAll(); return nil }},
		{"target silent", func(r *run) func() { p := r.link(); p.dropDown.Store(true); return p.clear }},
		{"target deaf", func(r *run) func() { p := r.link(); p.dropUp.Store(true); return p.clear }},
		{"target slow", func(r *run) func() { p := r.link(); p.delay.Store(int64(100 * time.Millisecond)); return p.clear }},
		{"target reset", func(r *run) func() { r.link().resetAll(); return nil }},
		{"target replaced", replaceTarget},
		{"foreign registration", func(r *run) func() {
			_ = r.store.Put("servers", fmt.Sprintf("x-%d", r.random.IntN(9)), map[string]any{"state": 5}) // the store is in memory and does not fail
			return nil
		}},
		{"configuration", func(r *run) func() { _ = r.rotateKey(); return nil }},
		{"answer lost", failNextCall(platformtest.LoseResponse)}, {"foreign answer", failNextCall(platformtest.MismatchedID)},
		{"failure", failNextCall(platformtest.ServerError)}, {"shed", failNextCall(platformtest.Reject)},
		{"stream broken", func(r *run) func() { r.fleet.InterruptNextStream(); return nil }},
	}
}

// replaceTarget crashes a target; the end of the fault starts its replacement.
func replaceTarget(r *run) func() {
	t := r.target([]string{"desk", "llm"}[r.random.IntN(2)])
	t.Crash()
	return func() {
		t.Deregister()
		// If the replacement cannot start, the recovery check fails and reports it.
		_ = r.addTarget(t.Service, t.Zone, t.Kind)
	}
}

// vm returns a random VM.
func (r *run) vm() *vm { return r.vms[r.random.IntN(len(r.vms))] }

// target returns a random target of a service.
func (r *run) target(service string) *platformtest.Target {
	list := r.fleet.Targets(service)
	return list[r.random.IntN(len(list))]
}

// link returns the proxy in front of a random target.
func (r *run) link() *proxy { return r.proxies[r.target([]string{"desk", "llm"}[r.random.IntN(2)])] }

// injectFaults starts random faults, which overlap, and returns once all have
// ended.
func (r *run) injectFaults() {
	all := faults()
	var lock sync.Mutex // faults end on their own timers
	var wait sync.WaitGroup
	started := time.Now()
	for time.Since(started) < r.Faults {
		f := all[r.random.IntN(len(all))]
		lock.Lock()
		end := f.inject(r)
		lock.Unlock()
		r.report.Faults = append(r.report.Faults, fmt.Sprintf("%s %s", time.Since(started).Round(time.Millisecond), f.name))
		duration := time.Duration(r.random.Int64N(int64(maxFaultDuration)))
		if end != nil {
			wait.Add(1)
			time.AfterFunc(duration, func() {
				defer wait.Done()
				lock.Lock()
				defer lock.Unlock()
				end()
			})
		}
		time.Sleep(time.Duration(r.random.Int64N(2 * int64(meanFaultGap))))
	}
	wait.Wait()
}
