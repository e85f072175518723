package targets

import (
	"time"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/timer"
)

const (
	// checkTimeout is how long a check waits for a report on a new watch.
	checkTimeout = 300 * time.Millisecond
	// firstReport is how long the first watch of a target may take to report.
	firstReport = 2 * time.Second
	// watchRetry is the time until an unreachable target is watched again.
	watchRetry = 500 * time.Millisecond
	// silentReports is the number of missed reports after which a watch counts
	// as silent.
	silentReports = 4
	// minWatchSilence and maxWatchSilence bound that time.
	minWatchSilence = 800 * time.Millisecond
	maxWatchSilence = 5 * time.Second
)

// Outcome says what is known of a target after a check.
type Outcome uint8

// The outcomes of a check.
const (
	// Undecided means that there is nothing to act on.
	Undecided Outcome = iota
	// Alive means that the same incarnation answered on a new connection.
	Alive
	// Unreachable means that no answer came on a new connection.
	Unreachable
	// Crashed means that the incarnation is over: nothing listens at its
	// address, or a later one answered.
	Crashed
)

// Verdict is the outcome of a check of one incarnation of a target.
type Verdict struct {
	Target      model.TargetID
	Incarnation model.Incarnation
	Outcome     Outcome
	// Sign is when the first sign came that the target may be lost.
	Sign model.Instant
}

func (t *Target) verdict(outcome Outcome, sign model.Instant) Verdict {
	return Verdict{Target: t.ID, Incarnation: t.Incarnation, Outcome: outcome, Sign: sign}
}

// Check finds out over a new connection whether a target lives. The answer
// comes with a later report, failure or timer; until then the target keeps its
// place. It is false for a target that is known to be unreachable.
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

// Holds is true while the incarnation that a hop names lives, so that it still
// holds the state of the requests that run on it.
func (t *Table) Holds(hop model.Hop) bool {
	target, ok := t.targets[hop.Target]
	return ok && target.Connected && target.Incarnation == hop.Incarnation
}

// Retire leaves the connections to a target that were open at a sign of loss.
func (t *Table) Retire(c *decision.Context, id model.TargetID, sign model.Instant) {
	target, ok := t.targets[id]
	if !ok || target.RetiredAt >= sign {
		return
	}
	target.RetiredAt = c.Now
	c.Emit(event.RetireConnections{Target: id, Address: target.Address})
}

// InDoubt returns the targets that are being checked.
func (t *Table) InDoubt() []model.TargetID {
	var ids []model.TargetID
	for _, id := range t.IDs() {
		if t.targets[id].Checking {
			ids = append(ids, id)
		}
	}
	return ids
}

// watch opens a new watch, which replaces the one before.
func (t *Table) watch(c *decision.Context, target *Target) {
	target.Watch++
	c.Emit(event.WatchTarget{Target: target.ID, Incarnation: target.Incarnation, Address: target.Address, Watch: target.Watch})
}

// current is true for the number of the present watch; 0 stands for it.
func (t *Target) current(watch uint64) bool { return watch == 0 || watch == t.Watch }

// Lost takes in that a watch broke. It may be the connection alone, so that the
// target is checked over a new one; if that breaks too, the target is lost.
func (t *Table) Lost(c *decision.Context, ev event.TargetLost) Verdict {
	target, ok := t.targets[ev.Target]
	if !ok || !target.current(ev.Watch) || target.Status == event.TargetGone {
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
	return t.lose(c, target, outcome)
}

// lose gives a target up until it reports again. The verdict is given once.
func (t *Table) lose(c *decision.Context, target *Target, outcome Outcome) Verdict {
	known := !target.Connected
	target.Connected = false
	target.Checking = false
	c.After(timer.TargetProbe, string(target.ID), c.Jitter(watchRetry))
	if known {
		return Verdict{}
	}
	c.Emit(event.LogChange{Message: "target is unreachable", Subject: string(target.ID)})
	return target.verdict(outcome, target.CheckedAt)
}

// ProbeDue acts on the timer of a target: a check that got no answer, a watch
// that has gone silent, or a lost target to watch again.
func (t *Table) ProbeDue(c *decision.Context, id model.TargetID) Verdict {
	target, ok := t.targets[id]
	switch {
	case !ok || target.Status == event.TargetGone:
		return Verdict{}
	case target.Checking:
		return t.lose(c, target, Unreachable)
	case target.Connected:
		t.Check(c, id)
		return Verdict{}
	}
	t.watch(c, target)
	c.After(timer.TargetProbe, string(id), firstReport)
	return Verdict{}
}

// Reported takes in an engine's report. The first one of a new incarnation says
// that the one before is over; one on the watch of a check says that the target
// lives.
func (t *Table) Reported(c *decision.Context, ev event.EngineReported) Verdict {
	target, ok := t.targets[ev.Target]
	if !ok || ev.Incarnation < target.Incarnation || !target.current(ev.Watch) || target.Status == event.TargetGone {
		return Verdict{}
	}
	verdict := t.settle(c.Now, target, ev.Incarnation)
	if !target.Connected && target.Reported {
		c.Emit(event.LogChange{Message: "target is reachable again", Subject: string(target.ID)})
	}
	target.take(c.Now, ev)
	t.regroup(target)
	c.After(timer.TargetProbe, string(target.ID), target.silence())
	if ev.Leaving {
		t.Mark(c, ev.Target, target.Incarnation, event.TargetLeaving)
	}
	return verdict
}

// settle compares the incarnation that reported with the one known.
func (t *Table) settle(now model.Instant, target *Target, life model.Incarnation) Verdict {
	checking := target.Checking
	sign := now
	if checking {
		sign = target.CheckedAt
	}
	target.Checking = false
	if life == target.Incarnation {
		if checking {
			// Reports may be rarer than expected: wait longer from now on.
			target.ReportEvery = min(2*target.ReportEvery, maxWatchSilence)
			return target.verdict(Alive, target.CheckedAt)
		}
		return Verdict{}
	}
	verdict := target.verdict(Crashed, sign)
	target.Incarnation = life
	target.Status = event.TargetLive
	target.Cache = nil
	target.Sequence = 0
	target.InFlight = 0
	return verdict
}

func (t *Target) take(now model.Instant, ev event.EngineReported) {
	if ev.Sequence > 1 && t.ReportedAt > 0 {
		t.ReportEvery = now.Sub(t.ReportedAt)
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
	t.SentSince = 0
	t.takeLinks(ev.Links)
	t.takeCache(ev.Sequence, ev.Cache)
}

// silence is how long the watch may go without a report.
func (t *Target) silence() time.Duration {
	if t.ReportEvery == 0 {
		return firstReport
	}
	return min(max(silentReports*t.ReportEvery, minWatchSilence), maxWatchSilence)
}
