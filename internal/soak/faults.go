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
		return func(r *run) func() {
			if t := r.target("desk"); t != nil {
				t.Next(f)
			}
			return nil
		}
	}
	return []fault{
		{"SIGTERM", signal(syscall.SIGTERM)}, {"SIGKILL", signal(syscall.SIGKILL)}, {"SIGHUP", signal(syscall.SIGHUP)},
		{"pause", func(r *run) func() {
			v := r.vm()
			end := r.spans.begin(v.name)
			v.signal(syscall.SIGSTOP)
			return func() { v.signal(syscall.SIGCONT); end() }
		}},
		{"store away", func(r *run) func() {
			end := r.spans.begin(storeSubject)
			r.store.Fail(http.StatusServiceUnavailable)
			return func() { r.store.Fail(0); end() }
		}},
		{"store silent", storeLink(func(p *proxy) { p.dropDown.Store(true) })},
		{"store deaf", storeLink(func(p *proxy) { p.dropUp.Store(true) })},
		{"store slow", storeLink(func(p *proxy) { p.delay.Store(int64(200 * time.Millisecond)) })},
		{"store reset", func(r *run) func() {
			v := r.vm()
			defer r.spans.begin(v.name)()
			v.store.resetAll()
			return nil
		}},
		{"target silent", targetLink(func(p *proxy) { p.dropDown.Store(true) })},
		{"target deaf", targetLink(func(p *proxy) { p.dropUp.Store(true) })},
		{"target slow", targetLink(func(p *proxy) { p.delay.Store(int64(100 * time.Millisecond)) })},
		{"target reset", func(r *run) func() {
			t := r.anyTarget()
			if t == nil {
				return nil
			}
			defer r.spans.begin(t.ID)()
			r.proxies[t].resetAll()
			return nil
		}},
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

// storeLink returns a fault of the link between a VM and the store.
func storeLink(impair func(*proxy)) func(*run) func() {
	return func(r *run) func() {
		v := r.vm()
		end := r.spans.begin(v.name)
		impair(v.store)
		return func() { v.store.clear(); end() }
	}
}

// targetLink returns a fault of the link to a target.
func targetLink(impair func(*proxy)) func(*run) func() {
	return func(r *run) func() {
		t := r.anyTarget()
		if t == nil {
			return nil
		}
		p, end := r.proxies[t], r.spans.begin(t.ID)
		impair(p)
		return func() { p.clear(); end() }
	}
}

// replaceTarget crashes a target; the end of the fault starts its replacement.
func replaceTarget(r *run) func() {
	t := r.anyTarget()
	if t == nil {
		return nil
	}
	t.Crash()
	return func() {
		t.Deregister()
		// If the replacement cannot start, the recovery check fails and reports it.
		_ = r.addTarget(t.Service, t.Zone, t.Kind)
	}
}

// vm returns a random VM.
func (r *run) vm() *vm { return r.vms[r.random.IntN(len(r.vms))] }

// target returns a random running target of a service, nil if none is running.
func (r *run) target(service string) *platformtest.Target {
	list := r.fleet.Targets(service)
	if len(list) == 0 {
		return nil
	}
	return list[r.random.IntN(len(list))]
}

// anyTarget returns a random running target of a random service.
func (r *run) anyTarget() *platformtest.Target {
	return r.target([]string{"desk", "llm"}[r.random.IntN(2)])
}

// injectFaults starts random faults, which overlap, and returns once all have
// ended.
func (r *run) injectFaults() {
	all := faults()
	if r.ResponseFaults {
		all = append(all, responseFaults()...)
	}
	if r.attemptFaults() {
		all = append(all, attemptFaults()...)
	}
	gap := meanFaultGap
	if r.Restores {
		all = append(all, append(restoreFaults(), mixedFaults()...)...)
	}
	if r.RestoresOnly {
		all, gap = restoreFaults(), meanRestoreGap
	}
	if r.AttemptFaultsOnly {
		all = attemptFaults()
	}
	var wait sync.WaitGroup
	started := time.Now()
	for time.Since(started) < r.Faults {
		f := all[r.random.IntN(len(all))]
		r.lock.Lock()
		end := f.inject(r)
		r.report.Faults = append(r.report.Faults, fmt.Sprintf("%.3f s %s", time.Since(r.started).Seconds(), f.name))
		r.lock.Unlock()
		duration := time.Duration(r.random.Int64N(int64(maxFaultDuration)))
		if end != nil {
			wait.Add(1)
			time.AfterFunc(duration, func() {
				defer wait.Done()
				r.lock.Lock()
				defer r.lock.Unlock()
				end()
			})
		}
		time.Sleep(time.Duration(r.random.Int64N(2 * int64(gap))))
	}
	wait.Wait()
	r.background.Wait()
}
