package soak

import (
	"time"

	"tamarackreach/platform/platformtest"
)

// stopOf returns the subject of spans from a VM's SIGTERM to the start of its next process, and
// killOf that of spans from a SIGKILL.
func stopOf(vm string) string { return vm + " stop" }
func killOf(vm string) string { return vm + " kill" }

// checkStops checks that a planned stop of a VM leaves no call without an answer that a sound
// target ran: neither one in flight at the SIGTERM nor one that was accepted later. Builds before
// that of 2026-12-06 do not keep to it.
func (r *records) checkStops() {
	if r.earlierBuild {
		return
	}
	for i := range r.calls {
		c := &r.calls[i]
		if c.status != 0 {
			continue
		}
		stop, planned := r.plannedStop(c)
		if !planned {
			continue
		}
		for _, a := range r.byRequest[c.id] {
			if a.Run != 0 && a.Fault == platformtest.NoFault && a.CrashedAt.IsZero() && r.calm(a.Target, stop.from.Add(-platformtest.StabilityWindow), c.ended) {
				r.violation(c.id, "lost: %s has no answer %.2f s after the SIGTERM of %s; it was sent %.2f s after it and ran", c.id, c.ended.Sub(stop.from).Seconds(), c.vm, c.sent.Sub(stop.from).Seconds())
				break
			}
		}
	}
}

// plannedStop returns the stop of a call's VM during which the call ended, if nothing else
// disturbed the VM or the store from the stability window before the stop.
func (r *records) plannedStop(c *call) (span, bool) {
	for _, stop := range r.spans {
		if stop.subject != stopOf(c.vm) || c.ended.Before(stop.from) || !stop.to.IsZero() && !c.sent.Before(stop.to) {
			continue
		}
		from := stop.from.Add(-platformtest.StabilityWindow)
		if !r.calm(killOf(c.vm), from, c.ended) || !r.calm(storeSubject, from, c.ended) || r.disturbed(c.vm, from, c.ended, stop) {
			continue
		}
		return stop, true
	}
	return span{}, false
}

// disturbed reports whether a VM had a fault between two times other than a stop, which begins
// with a fault of its own.
func (r *records) disturbed(vm string, from, to time.Time, stop span) bool {
	for _, s := range r.spans {
		if s.subject == vm && !s.from.Equal(stop.from) && s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return true
		}
	}
	return false
}
