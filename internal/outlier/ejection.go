package outlier

import (
	"time"

	"tamarackreach/internal/model"
)

// ejection is the standing of a target. It is in rotation while level is 0 or returned is
// true.
type ejection struct {
	// level counts the ejections in a row; each doubles the next.
	level int
	// at is when the target was last ejected, and until when its trials begin at the
	// earliest, at this VM at trialFrom.
	at, until, trialFrom model.Instant
	// returnedAt is when the target returned to the rotation; 0 while it is out.
	returnedAt model.Instant
	// trialAt is when the last trial began, and trying is true until its result.
	trialAt model.Instant
	trying  bool
	// successes counts successful trials in a row.
	successes int
	// detected is true when this VM's own results are part of the reason.
	detected bool
}

// out reports whether the target is out of rotation.
func (e *ejection) out(now model.Instant) bool {
	if e.level == 0 || e.returnedAt != 0 {
		return false
	}
	return now.Sub(max(e.trialFrom, e.trialAt)) < unusedExpiry
}

// trialDue reports whether a trial may begin with a request.
func (e *ejection) trialDue(now model.Instant, repeatable bool) bool {
	if now < e.trialFrom || e.trying && now.Sub(e.trialAt) < trialTimeout {
		return false
	}
	return repeatable || now.Sub(e.trialFrom) >= anyRouteAfter
}

// eject takes a target out of rotation, for twice as long as the last time.
func (t *Tracker) eject(now model.Instant, known *target, detail string) *Change {
	if now.Sub(max(known.returnedAt, known.trialFrom)) >= levelReset {
		known.level = 0
	}
	known.level++
	period := min(minEjection<<min(known.level-1, 8), maxEjection)
	t.keepOut(now, known, now.Add(period))
	known.at = now
	return &Change{Target: known.Target, Ejected: true, Detail: detail + "; for " + period.String()}
}

// keepOut keeps a target out of rotation until a time. The trials of several VMs begin one
// after the other, so that the first failure reaches the others before their trials.
func (t *Tracker) keepOut(now model.Instant, known *target, until model.Instant) {
	known.until = until
	known.trialFrom = until.Add(time.Duration(t.spread(known.ID, known.level) * float64(until.Sub(now))))
	known.returnedAt, known.trialAt, known.trying, known.successes = 0, 0, false, 0
	t.discardResults(now, known)
	t.ejected[known.ID] = known
}

// discardResults discards the results of a target: they were the reason of an ejection, or
// precede a return.
func (t *Tracker) discardResults(now model.Instant, known *target) {
	known.own, known.peers, known.countsFrom = window{}, Tallies{}, now
	t.peers.dropTarget(known.ID)
	delete(t.group(known.group).faulty, known.ID)
}

// BeginTrial records that a trial request is sent to a target.
func (t *Tracker) BeginTrial(now model.Instant, id Target) {
	known := t.targets[id.ID]
	if known == nil || known.Target != id || !known.out(now) {
		return
	}
	known.trialAt, known.trying = now, true
	t.counts.Trials++
}

// recordTrial applies the result of a request to a target out of rotation. Results of requests
// that were sent before the end of the ejection change nothing.
func (t *Tracker) recordTrial(now model.Instant, known *target, r Result) *Change {
	if r.SentAt < known.until {
		return nil
	}
	known.trying = false
	if !r.OK {
		known.detected = true
		t.counts.Ejections++
		return t.eject(now, known, "a trial failed")
	}
	known.successes++
	if known.successes < trialsToReturn {
		return nil
	}
	known.returnedAt = now
	delete(t.ejected, known.ID)
	t.discardResults(now, known)
	return &Change{Target: known.Target, Detail: "trials succeeded"}
}

// prune drops ejections that ended without a trial, and some of the targets without results in
// the window.
func (t *Tracker) prune(now model.Instant) {
	for id, known := range t.ejected {
		if !known.out(now) {
			delete(t.ejected, id)
		}
	}
	checked := 0
	for id, known := range t.targets {
		if checked++; checked > maxPruneChecks {
			return
		}
		if t.ejected[id] == nil && known.idle(now) {
			delete(t.targets, id)
			delete(t.group(known.group).faulty, id)
		}
	}
}

// idle reports whether nothing that is known of a target matters any more.
func (k *target) idle(now model.Instant) bool {
	recent := max(k.lastGoodAt, k.lastError, k.returnedAt, k.trialFrom, k.countsFrom)
	return now.Sub(recent) > levelReset && k.sum(now) == (Tallies{})
}
