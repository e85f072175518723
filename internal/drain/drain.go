// Package drain decides which requests a terminating process still takes. The process is killed
// when its grace ends; a request in flight then has no answer of its target, and its caller cannot
// know whether it has run.
//
// Invariant: once load balancers have had the time to notice, a request is accepted only if its
// deadline ends before the process does; before that, it has most of the grace to run.
package drain

import (
	"time"

	"tamarackreach/internal/model"
)

const (
	// killMargin is how long before the end of the grace the drain ends: the time to answer the
	// requests that are left, and to exit.
	killMargin = 300 * time.Millisecond
	// answerMargin is how long before the end of the drain the deadline of a request must end:
	// the answer that the deadline brings about still has to reach its caller.
	answerMargin = 200 * time.Millisecond
	// rotationDelay is the time in which load balancers notice that the process is not ready. A
	// caller that is refused until then may be led back here, while a usual request, accepted, ends
	// well before the process.
	rotationDelay = 2 * time.Second
)

// Window returns how long a process drains: from the request to terminate until it answers the
// requests that are left. It is 0 where the grace is unknown or too short.
func Window(grace time.Duration) time.Duration { return max(grace-killMargin, 0) }

// Drain is the drain of a process. The zero value is that of a process that does not terminate.
type Drain struct {
	startedAt model.Instant
	// endsAt is 0 where the grace is unknown.
	endsAt  model.Instant
	expired bool
}

// Start returns the drain of a process that was requested to terminate at now, and is killed
// after grace; 0 means that this is unknown.
func Start(now model.Instant, grace time.Duration) Drain {
	d := Drain{startedAt: now}
	if grace > 0 {
		d.endsAt = now.Add(Window(grace))
	}
	return d
}

// Draining reports whether the process was requested to terminate.
func (d *Drain) Draining() bool { return d.startedAt != 0 }

// Expire ends the drain: what is in flight is answered, and nothing is sent any more.
func (d *Drain) Expire() { d.expired = true }

// Expired reports whether the drain has ended.
func (d *Drain) Expired() bool { return d.expired }

// Request is what the decisions use of a request.
type Request struct {
	ExpiresAt  model.Instant
	Stream     bool
	Repeatable bool
}

// Accepts reports whether a request that arrives is taken.
func (d *Drain) Accepts(now model.Instant, r Request) bool {
	switch {
	case !d.Draining():
		return true
	case d.expired:
		return false
	case d.endsAt == 0 && !r.Stream:
		return true
	}
	return d.inRotation(now) || d.outlasts(r)
}

// Resends reports whether a request that a target rejected is sent again. One that may be
// repeated is sent until the drain ends: a later failure costs its caller no more than a refusal.
func (d *Drain) Resends(now model.Instant, r Request) bool {
	return !d.expired && (!d.Draining() || d.endsAt == 0 || r.Repeatable || d.inRotation(now) || d.outlasts(r))
}

// inRotation reports whether load balancers may still choose the process.
func (d *Drain) inRotation(now model.Instant) bool { return now.Sub(d.startedAt) <= rotationDelay }

// outlasts reports whether the process outlasts the deadline of a request.
func (d *Drain) outlasts(r Request) bool {
	return d.endsAt != 0 && r.ExpiresAt <= d.endsAt.Add(-answerMargin)
}
