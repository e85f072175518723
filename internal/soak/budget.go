package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tamarackreach/platform/platformtest"
)

const (
	// maxOverTargets is the number of requests that may run on more targets than
	// their route allows.
	maxOverTargets = 3
	// deadlineTolerance is the time by which a deadline may exceed the caller's.
	deadlineTolerance = 500 * time.Millisecond
	// crashLimit is the number of crashes after which content may reach targets only
	// maxCrashSends times more.
	crashLimit, maxCrashSends = 3, 3
	// partCrashLimit is that number for a part of prompts.
	partCrashLimit = 5
)

// checkRetryBudget checks that in every window the arrivals beyond the first of each
// request, over all VMs, are within the budget of their service.
func (r *records) checkRetryBudget() {
	retries, requests := map[string][]*platformtest.Arrival{}, map[string][]time.Time{}
	for i := range r.calls {
		service := platformtest.Routes()[r.calls[i].kind].Service
		requests[service] = append(requests[service], r.calls[i].sent)
	}
	for i := range r.arrivals {
		a := &r.arrivals[i]
		if r.byRequest[a.Request][0] != a {
			retries[a.Service] = append(retries[a.Service], a)
		}
	}
	for service, list := range retries {
		// The window with the largest share of its budget is reported.
		first, peak, worst, text := 0, 0.0, (*platformtest.Arrival)(nil), ""
		for i, a := range list {
			for !list[first].At.After(a.At.Add(-platformtest.RetryWindow)) {
				first++
			}
			spent, allowed := i-first+1, r.allowedRetries(requests[service], a.At)
			if share := float64(spent) / allowed; share > peak {
				peak, worst = share, a
				text = fmt.Sprintf("%d retries to %s within %s before %.3f s, %.1f are allowed", spent, service, platformtest.RetryWindow, a.At.Sub(r.started).Seconds(), allowed)
			}
		}
		if peak > 1 {
			r.violation(worst.Request, "budget: %s", text)
		}
		r.peakRetries = max(r.peakRetries, peak)
	}
}

// allowedRetries returns the budget of the window that ends at a time. The requests
// are those of that window, of the one before or of the one half a window before.
func (r *records) allowedRetries(requests []time.Time, end time.Time) float64 {
	most := 0
	for _, shift := range []time.Duration{0, platformtest.RetryWindow / 2, platformtest.RetryWindow} {
		n, to := 0, end.Add(-shift)
		for _, sent := range requests {
			if !sent.After(to) && sent.After(to.Add(-platformtest.RetryWindow)) {
				n++
			}
		}
		most = max(most, n)
	}
	return platformtest.RetryRatio*float64(most) + platformtest.RetrySlack
}

// checkTargetsPerCall checks that few requests run on more targets than their route
// allows. Targets that ended or were cut off meanwhile do not count.
func (r *records) checkTargetsPerCall() {
	var over []string
	for i := range r.calls {
		c := &r.calls[i]
		targets := map[string]bool{}
		for _, a := range r.byRequest[c.id] {
			if a.Run != 0 && !r.endedBetween(a.Target, c.sent, c.ended) && r.calm(a.Target, c.sent, c.ended) {
				targets[a.Target] = true
			}
		}
		if len(targets) > platformtest.Routes()[c.kind].MaxAttempts {
			over = append(over, c.id)
		}
	}
	if len(over) > maxOverTargets {
		r.violation(over[0], "budget: %d requests ran on more targets than their routes allow", len(over))
	}
}

func (r *records) endedBetween(target string, from, to time.Time) bool {
	return slices.ContainsFunc(r.ends[target], func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// checkDeadlines checks the time that targets are given: at most the caller's, and on
// a later send no longer than until the first deadline and the caller's.
func (r *records) checkDeadlines() {
	for i := range r.calls {
		c := &r.calls[i]
		arrivals := r.byRequest[c.id]
		for _, a := range arrivals {
			if !r.calm(c.vm, c.sent.Add(-platformtest.StabilityWindow), a.At) || !r.calm(a.Target, c.sent, a.At) {
				continue
			}
			if a.Deadline <= 0 || a.Deadline > c.deadline+deadlineTolerance {
				r.violation(c.id, "budget: %s was given %s for %s, the caller waits %s", a.Target, a.Deadline, c.id, c.deadline)
				break
			}
			end := c.sent.Add(c.deadline)
			if first := arrivals[0].At.Add(arrivals[0].Deadline); first.After(end) {
				end = first
			}
			over := a.At.Add(a.Deadline).Sub(end)
			if a.At.Sub(arrivals[0].At) > deadlineTolerance && over > deadlineTolerance {
				r.violation(c.id, "budget: %s may work on %s until %s after its deadline", a.Target, c.id, over)
				break
			}
		}
	}
}

// checkCrashes checks that content, and a part of prompts, that have crashed targets are
// refused.
func (r *records) checkCrashes() {
	r.checkCrashesOf("content", crashLimit, func(a *platformtest.Arrival) string {
		if !isCrashing(a.Path) {
			return ""
		}
		return a.Path
	})
	r.checkCrashesOf("part", partCrashLimit, func(a *platformtest.Arrival) string { return a.CrashingPart })
}

// checkCrashesOf checks that after a number of crashes by requests with one cause, few
// requests with it reach targets. causeOf returns the cause of an arrival, empty for none.
func (r *records) checkCrashesOf(kind string, limit int, causeOf func(*platformtest.Arrival) string) {
	crashes, last := map[string][]time.Time{}, map[string]string{}
	sends := map[string]int{}
	for i := range r.arrivals {
		if a := &r.arrivals[i]; !a.CrashedAt.IsZero() {
			crashes[causeOf(a)] = append(crashes[causeOf(a)], a.CrashedAt)
		}
	}
	for i := range r.arrivals {
		a := &r.arrivals[i]
		cause := causeOf(a)
		times := crashes[cause]
		if cause == "" || len(times) < limit {
			continue
		}
		slices.SortFunc(times, time.Time.Compare)
		c := r.byID[a.Request]
		if a.At.After(times[limit-1].Add(platformtest.StabilityWindow)) && c != nil && r.inTouch(c.vm, a.At) {
			sends[cause]++
			last[cause] = a.Request
		}
	}
	for cause, n := range sends {
		if n > maxCrashSends {
			r.violation(last[cause], "budget: %s %s reached targets %d times after it had crashed %d, %.3f s after the start", kind, cause, n, limit,
				crashes[cause][limit-1].Sub(r.started).Seconds())
		}
	}
}

// isCrashing reports whether a path is that of content that crashes targets.
func isCrashing(path string) bool {
	return slices.ContainsFunc(crashPoints, func(point string) bool { return strings.Contains(path, "/"+point+"/") })
}

var crashPoints = []string{platformtest.CrashBeforeHead, platformtest.CrashAfterHead, platformtest.CrashAfterEvent}
