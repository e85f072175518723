package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"tamarackreach/platform/platformtest"
)

const (
	// crashingInterval is the time between two requests with content that crashes
	// targets, and crashingDuration the time for which they are sent: several
	// stability windows.
	crashingInterval = 150 * time.Millisecond
	crashingDuration = 5 * time.Second
	// restarts and restartInterval describe a series of restarts, which lie within
	// one window of the retry budget.
	restarts        = 4
	restartInterval = 500 * time.Millisecond
	// attemptFaultShare is the share of responses with Options.AttemptFaults at all times.
	attemptFaultShare = 0.15
)

// responseFaults returns the kinds of faults that Options.ResponseFaults adds.
func responseFaults() []fault {
	return []fault{
		{"target spoils responses", spoil("", platformtest.ResponseFaults)},
		{"target spoils responses", spoil("", platformtest.ResponseFaults)},
		{"target spoils responses", spoil("", platformtest.ResponseFaults)},
		{"desk spoils responses", spoil("desk", platformtest.ResponseFaults)},
		{"llm spoils responses", spoil("llm", platformtest.ResponseFaults)},
		{"desk sheds", overload("desk", platformtest.Reject)}, {"llm sheds", overload("llm", platformtest.Reject)},
		{"desk fails", overload("desk", platformtest.ServerError)}, {"llm fails", overload("llm", platformtest.ServerError)},
		{"crashing content", sendCrashingContent},
		{"crashing content", sendCrashingContent},
		{"crashing part", sendCrashingPart},
		{"crashing part", sendCrashingPart},
		{"restarts of a VM", func(r *run) func() {
			v := r.vm()
			r.restartOften(func() { v.signal(syscall.SIGKILL) }, func() {})
			return nil
		}},
		{"restarts of all VMs, store away", func(r *run) func() {
			endSpan := r.spans.begin(storeSubject)
			r.store.Fail(http.StatusServiceUnavailable)
			r.restartOften(func() {
				for _, v := range r.vms {
					v.signal(syscall.SIGKILL)
				}
			}, func() { r.store.Fail(0); endSpan() })
			return nil
		}},
	}
}

// overload returns a fault in which most requests to a service fail in one way, which
// exhausts the retry budget.
func overload(service string, f platformtest.Fault) func(*run) func() {
	return func(r *run) func() {
		return r.fail(0.7+0.3*r.random.Float64(), []platformtest.Fault{f}, r.fleet.Targets(service)...)
	}
}

// attemptFaults returns the kinds of faults that Options.AttemptFaults adds.
func attemptFaults() []fault {
	segments := func(way int32) func(*run) func() {
		return targetLink(func(p *proxy) { p.segments.Store(way) })
	}
	return []fault{
		{"runs differ at a target", spoil("", platformtest.AttemptFaults)}, {"runs differ at a target", spoil("", platformtest.AttemptFaults)},
		{"runs differ at desk", spoil("desk", platformtest.AttemptFaults)}, {"runs differ at desk", spoil("desk", platformtest.AttemptFaults)},
		{"runs differ at llm", spoil("llm", platformtest.AttemptFaults)}, {"runs differ at llm", spoil("llm", platformtest.AttemptFaults)},
		{"target's responses in single bytes", segments(singleBytes)}, {"target's responses merged", segments(merged)},
		{"target's connections half-closed", segments(halfClosing)}, {"target's resets as ends", segments(resetsAsEnds)},
	}
}

// spoil returns a fault that injects one to three of some faults into a share of the
// responses of a service's targets, or of one target if service is empty.
func spoil(service string, faults func() []platformtest.Fault) func(*run) func() {
	return func(r *run) func() {
		targets := []*platformtest.Target{nil}
		if service == "" {
			targets[0] = r.anyTarget()
		} else {
			targets = r.fleet.Targets(service)
		}
		all := faults()
		var chosen []platformtest.Fault
		for range 1 + r.random.IntN(3) {
			chosen = append(chosen, all[r.random.IntN(len(all))])
		}
		return r.fail(0.2+0.8*r.random.Float64(), chosen, targets...)
	}
}

// fail injects faults into a share of the responses of targets.
func (r *run) fail(share float64, chosen []platformtest.Fault, targets ...*platformtest.Target) func() {
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("share %.2f of %v:", share, chosen))
	for _, t := range targets {
		if t != nil {
			t.Often(r.random.Uint64(), share, chosen...)
		}
	}
	return func() {
		for _, t := range targets {
			if t != nil {
				r.failSteadily(t)
			}
		}
	}
}

// failSteadily injects the faults that a target has at all times.
func (r *run) failSteadily(t *platformtest.Target) {
	if !r.attemptFaults() {
		t.Often(0, 0)
		return
	}
	t.Often(r.random.Uint64(), attemptFaultShare, platformtest.AttemptFaults()...)
}

// sendCrashingContent sends content that crashes targets to random VMs, each time as
// a new request.
func sendCrashingContent(r *run) func() {
	random := rand.New(rand.NewPCG(r.random.Uint64(), 3))
	kind := []string{"s", "r", "p"}[random.IntN(3)]
	point := crashPoints[random.IntN(len(crashPoints))]
	if kind != "s" && point == platformtest.CrashAfterEvent {
		point = platformtest.CrashBeforeHead
	}
	name := fmt.Sprintf("%s-crash-%d-%d", kind, r.Seed, random.Uint64())
	path := "/" + kind + "/" + point + "/" + name
	if r.CrashingQueries {
		path = "/" + kind + "/x?at=/" + point + "/" + name
	}
	r.sendCrashing(random, func(from *client, to *vm, number int) {
		r.callers.send(from, to, kind, path, fmt.Sprintf("%s-%d", name, number), permanentKey)
	})
	return nil
}

// sendCrashingPart sends requests to random VMs that differ in everything but one part of
// their prompts, which crashes targets.
func sendCrashingPart(r *run) func() {
	random := rand.New(rand.NewPCG(r.random.Uint64(), 4))
	part := fmt.Sprintf("%x", random.Uint64())
	r.sendCrashing(random, func(from *client, to *vm, number int) {
		id := fmt.Sprintf("s-part-%s-%d", part, number)
		r.callers.sendParts(from, to, "s", "/s/"+id, id, permanentKey, part)
	})
	return nil
}

// sendCrashing makes requests at an interval, each on a connection of its own.
func (r *run) sendCrashing(random *rand.Rand, send func(from *client, to *vm, number int)) {
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		for number := range int(crashingDuration / crashingInterval) {
			time.Sleep(crashingInterval)
			to := r.vms[random.IntN(len(r.vms))]
			r.background.Add(1)
			go func() {
				defer r.background.Done()
				from := &client{}
				defer from.close()
				send(from, to, number)
			}()
		}
	}()
}

// restartOften calls stop several times, at an interval, and then done.
func (r *run) restartOften(stop, done func()) {
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		for range restarts {
			stop()
			time.Sleep(restartInterval)
		}
		done()
	}()
}
