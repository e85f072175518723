package targets

import (
	"time"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/timer"
)

const (
	// checkTimeout is how long a check waits for a report on its new watch.
	checkTimeout = 300 * time.Millisecond
	// firstReportTimeout bounds the wait for the first report on a watch.
	firstReportTimeout = 2 * time.Second
	// watchRetryDelay is the delay, before jitter, until an unreachable target is
	// watched again.
	watchRetryDelay = 500 * time.Millisecond
	// maxMissedReports is the number of report intervals without a report after
	// which a watch times out.
	maxMissedReports = 4
	// minWatchTimeout and maxWatchTimeout bound that timeout.
	minWatchTimeout = 800 * time.Millisecond
	maxWatchTimeout = 5 * time.Second
)

// Outcome is the result of a check of a target.
type Outcome uint8

// The outcomes of a check.
const (
	// Undecided means that the check has no result to act on.
	Undecided Outcome = iota
	// Alive means that the same incarnation reported on a new connection.
	Alive
	// Unreachable means that no report arrived on a new connection.
	Unreachable
	// Crashed means that the incarnation ended: nothing listens at its address,
	// or a later incarnation reported.
	Crashed
)

// Verdict is the outcome of a check of one incarnation of a target.
type Verdict struct {
	Target      model.TargetID
	Incarnation model.Incarnation
	Outcome     Outcome
	// SuspectedAt is when the target was first suspected.
	SuspectedAt model.Instant
}

func (t *Target) verdict(outcome Outcome, suspectedAt model.Instant) Verdict {
	return Verdict{Target: t.ID, Incarnation: t.Incarnation, Outcome: outcome, SuspectedAt: suspectedAt}
}

// suspectedAt returns when the pending check of the target began, or now if there is
// none.
func (t *Target) suspectedAt(now model.Instant) model.Instant {
	if t.Checking {
		return t.CheckedAt
	}
	return now
}

// Check probes a target over a new connection. The verdict follows from a later
// report, failure or timer; until then the target counts as connected. It
// returns false for a target that is unknown or already unreachable.
func (t *Table) Check(c *decision.Context, id model.TargetID) bool {
	target, ok := t.targets[id]
	if !ok || !target.Connected {
		return false
	}
	if target.Checking {
		return true
	}
	target.Checking = true
	target.CheckedAt = c.Now
	t.watch(c, target)
	c.After(timer.TargetProbe, string(id), checkTimeout)
	return true
}

// HopConnected reports whether the incarnation that a hop names is still connected, so
// that it holds the KV cache of the requests that run on it.
func (t *Table) HopConnected(hop model.Hop) bool {
	target, ok := t.targets[hop.Target]
	return ok && target.Connected && target.Incarnation == hop.Incarnation
}

// HopChecking reports whether the incarnation that a hop names is being checked.
func (t *Table) HopChecking(hop model.Hop) bool {
	target, ok := t.targets[hop.Target]
	return ok && target.Checking && target.Incarnation == hop.Incarnation
}

// Retire replaces the connections to a target that were open when it was
// suspected.
func (t *Table) Retire(c *decision.Context, id model.TargetID, suspectedAt model.Instant) {
	target, ok := t.targets[id]
	if !ok || target.RetiredAt >= suspectedAt {
		return
	}
	target.RetiredAt = c.Now
	c.Emit(event.RetireConnections{Target: id, Address: target.Address})
}

// Suspected returns the targets that are being checked.
func (t *Table) Suspected() []model.TargetID {
	var ids []model.TargetID
	for _, id := range t.IDs() {
		if t.targets[id].Checking {
			ids = append(ids, id)
		}
	}
	return ids
}

// watch opens a new watch, which replaces the previous one.
func (t *Table) watch(c *decision.Context, target *Target) {
	target.Watch++
	c.Emit(event.WatchTarget{Target: target.ID, Incarnation: target.Incarnation, Address: target.Address, Watch: target.Watch})
}

// isCurrentWatch reports whether watch is the number of the current watch; 0
// always means the current one.
func (t *Target) isCurrentWatch(watch uint64) bool { return watch == 0 || watch == t.Watch }

// HandleWatchFailure handles the failure of a watch. The connection alone may have
// failed, so the target is first checked over a new one; if that fails too, the
// target is unreachable or crashed.
func (t *Table) HandleWatchFailure(c *decision.Context, ev event.TargetLost) Verdict {
	target, ok := t.targets[ev.Target]
	if !ok || !target.isCurrentWatch(ev.Watch) || target.Status == event.TargetGone {
		return Verdict{}
	}
	if target.Connected && !target.Checking {
		t.Check(c, ev.Target)
		return Verdict{}
	}
	outcome := Unreachable
	if ev.NotListening {
		outcome = Crashed
	}
	return t.markUnreachable(c, target, outcome)
}

// markUnreachable disconnects a target until it reports again and schedules the
// next watch. The verdict is empty for a target that was unreachable already.
func (t *Table) markUnreachable(c *decision.Context, target *Target, outcome Outcome) Verdict {
	alreadyUnreachable := !target.Connected
	target.Connected = false
	target.Checking = false
	c.After(timer.TargetProbe, string(target.ID), c.Jitter(watchRetryDelay))
	if alreadyUnreachable {
		return Verdict{}
	}
	c.Emit(event.LogChange{Message: "target is unreachable", Subject: string(target.ID)})
	return target.verdict(outcome, target.CheckedAt)
}

// ProbeDue handles the timer of a target: a check that timed out, a watch that
// timed out, or an unreachable target that is due to be watched again.
func (t *Table) ProbeDue(c *decision.Context, id model.TargetID) Verdict {
	target, ok := t.targets[id]
	switch {
	case !ok || target.Status == event.TargetGone:
		return Verdict{}
	case target.Checking:
		return t.markUnreachable(c, target, Unreachable)
	case target.Connected:
		t.Check(c, id)
		return Verdict{}
	}
	t.watch(c, target)
	c.After(timer.TargetProbe, string(id), firstReportTimeout)
	return Verdict{}
}

// Reported applies a report of an engine. The first report of a new incarnation
// means that the previous one crashed; during a check, a report of the same
// incarnation means that the target is alive.
func (t *Table) Reported(c *decision.Context, ev event.EngineReported) Verdict {
	target, ok := t.targets[ev.Target]
	if !ok || ev.Incarnation < target.Incarnation || !target.isCurrentWatch(ev.Watch) || target.Status == event.TargetGone {
		return Verdict{}
	}
	verdict := t.resolveCheck(c.Now, target, ev.Incarnation)
	if !target.Connected && target.Reported {
		c.Emit(event.LogChange{Message: "target is reachable again", Subject: string(target.ID)})
	}
	target.applyReport(c.Now, ev)
	t.regroup(target)
	c.After(timer.TargetProbe, string(target.ID), target.watchTimeout())
	if ev.Leaving {
		t.Mark(c, ev.Target, target.Incarnation, event.TargetLeaving)
	}
	return verdict
}

// resolveCheck ends a pending check and compares the incarnation that reported
// with the one on record.
func (t *Table) resolveCheck(now model.Instant, target *Target, incarnation model.Incarnation) Verdict {
	checking := target.Checking
	suspectedAt := target.suspectedAt(now)
	target.Checking = false
	if incarnation == target.Incarnation {
		if checking {
			// The target may report less often than expected, so the watch
			// timeout grows.
			target.ReportInterval = min(2*target.ReportInterval, maxWatchTimeout)
			return target.verdict(Alive, target.CheckedAt)
		}
		return Verdict{}
	}
	verdict := target.verdict(Crashed, suspectedAt)
	target.Incarnation = incarnation
	target.Status = event.TargetLive
	target.Cache = nil
	target.Sequence = 0
	target.InFlight = 0
	return verdict
}

// applyReport copies a report into the record of the target.
func (t *Target) applyReport(now model.Instant, ev event.EngineReported) {
	if ev.Sequence > 1 && t.ReportedAt > 0 {
		t.ReportInterval = now.Sub(t.ReportedAt)
	}
	t.ReportedAt = now
	t.averageLoad(ev)
	t.Reported = true
	t.Connected = true
	t.Model = ev.Model
	t.Version = ev.Version
	t.Layers = ev.Layers
	t.Accelerator = ev.Accelerator
	t.StepTime = ev.StepTime
	t.MaxBatch = ev.MaxBatch
	t.Running = ev.Running
	t.Queued = ev.Queued
	t.Fencing = ev.Fencing
	t.SentSinceReport = 0
	t.applyLinks(ev.Links)
	t.applyCacheEvents(ev.Sequence, ev.Cache)
}

// watchTimeout is the time without a report after which the target is checked.
func (t *Target) watchTimeout() time.Duration {
	if t.ReportInterval == 0 {
		return firstReportTimeout
	}
	return min(max(maxMissedReports*t.ReportInterval, minWatchTimeout), maxWatchTimeout)
}
