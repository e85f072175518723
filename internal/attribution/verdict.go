package attribution

import (
	"slices"
	"time"

	"tamarackreach/internal/model"
)

const (
	// crashThreshold is the number of targets that must have crashed on a cause before it is
	// refused: two crash together in an ordinary fault.
	crashThreshold = 3
	// answeredCrashThreshold replaces it for a part that was answered before, and answeredCrashSpan
	// is the minimum time from the first of its crashes to the last: several targets that end at
	// once while many requests with a part run are an ordinary fault.
	answeredCrashThreshold = 5
	answeredCrashSpan      = time.Second
	// holdInterval is the time after which a request is to come back that is held until its sends
	// have ended or the ends of targets are known.
	holdInterval = time.Second
	// turnTime is the time in which one VM may try a refused cause; in the last turnGuard of it no
	// trial begins, so that the next VM has received it.
	turnTime  = 2 * time.Second
	turnGuard = 800 * time.Millisecond
)

// refusalPeriods are the times for which a cause is refused, by the number of its refusals since the
// last answer; the last one applies to all further ones.
var refusalPeriods = []time.Duration{10 * time.Second, 20 * time.Second, 5 * time.Minute, time.Hour}

// Decision is what a verdict allows.
type Decision uint8

// The decisions, from the mildest to the strictest.
const (
	// Allow permits the send.
	Allow Decision = iota
	// Try permits this one send of a refused cause.
	Try
	// Hold refuses it until what was sent before has ended, or is known to have crashed no target.
	Hold
	// Refuse refuses it because of crashes.
	Refuse
)

// Verdict is the decision on a send.
type Verdict struct {
	Decision Decision
	// For is the time until the verdict may change; 0 if the request may be sent.
	For time.Duration
	// Cause and Crashes are the reason of another verdict than Allow.
	Cause   Cause
	Crashes []Crash
}

// Crash is the end of a target that is attributed to a cause.
type Crash struct {
	Target Incarnation
	// Send is the last send with the cause that the target may have crashed on.
	Send   SendID
	SentAt model.Instant
	LostAt model.Instant
	// EndedAt is when the end was first observed.
	EndedAt model.Instant
}

// Turn is the place of a VM among those that take turns to try refused causes, in an order on which
// they agree.
type Turn struct{ Index, Count int }

// wait returns the time until the next turn after a refusal that ends at until; 0 during the turn.
func (t Turn) wait(now, until model.Instant) time.Duration {
	since := now.Sub(until) - time.Duration(t.Index)*turnTime
	cycle := time.Duration(max(t.Count, 1)) * turnTime
	switch {
	case since < 0:
		return -since
	case since%cycle < turnTime-turnGuard:
		return 0
	}
	return cycle - since%cycle
}

// Verdict decides on a send of a request with some causes. It changes nothing: the send that it allows
// is recorded by Begin.
func (l *Ledger) Verdict(now model.Instant, causes []Cause, turn Turn) Verdict {
	var strictest Verdict
	for _, cause := range causes {
		if l.suspected[cause] == 0 {
			continue
		}
		v := l.judge(now, cause, turn)
		if v.Decision > strictest.Decision || v.Decision == strictest.Decision && v.For > strictest.For {
			strictest = v
		}
	}
	return strictest
}

func (l *Ledger) judge(now model.Instant, cause Cause, turn Turn) Verdict {
	h := l.history(now, cause)
	answeredPart := l.answeredPart(now, cause)
	if !cause.IsPart() || answeredPart {
		h.crashes = l.unexplained(now, cause, h.crashes)
	}
	if until := l.refusedUntil(now, cause, h.crashes); until != 0 {
		return h.refusal(now, cause, until, turn)
	}
	// What was sent counts before it has ended, so that two requests don't both use the last send
	// that the crashes leave. While crashes are only suspected, other sends don't count: a request
	// that is sent often has lost answers for many reasons.
	uncertain := h.pending
	if len(h.crashes) >= crashThreshold-1 {
		uncertain += h.open
	}
	if answeredPart || len(h.crashes)+uncertain < crashThreshold {
		return Verdict{}
	}
	return Verdict{Decision: Hold, For: holdInterval, Cause: cause, Crashes: h.crashes}
}

// answeredPart reports whether a cause is a part that was answered before.
func (l *Ledger) answeredPart(now model.Instant, cause Cause) bool {
	at := l.answeredAt(cause)
	return cause.IsPart() && at != 0 && now.Sub(at) < answerExpiry
}

// refusedUntil returns the end of the last refusal of a cause, 0 if its crashes are too few.
//
// Invariant: a refusal lasts from the crash that completes the number, and a new one begins only with a
// crash of a send that began after the last one had ended. The order in which VMs received the crashes
// has no influence.
func (l *Ledger) refusedUntil(now model.Instant, cause Cause, crashes []Crash) model.Instant {
	threshold := crashThreshold
	if l.answeredPart(now, cause) {
		threshold = answeredCrashThreshold
	}
	if len(crashes) < threshold {
		return 0
	}
	// Of a part that was answered, crashes alone never suffice: requests without it must have been
	// answered meanwhile, or the targets have another fault.
	span := crashes[len(crashes)-1].LostAt.Sub(crashes[0].LostAt)
	if threshold == answeredCrashThreshold && (span < answeredCrashSpan || l.answeredAt(0) <= crashes[0].LostAt) {
		return 0
	}
	level, until := 0, model.Instant(0)
	for _, c := range crashes[threshold-1:] {
		if c.SentAt >= until {
			until = c.LostAt.Add(refusalPeriods[min(level, len(refusalPeriods)-1)])
			level++
		}
	}
	return until
}

// unexplained returns the crashes of a cause that are not also those of a refused part which was never
// answered: requests with the cause only ran beside it, or held it.
func (l *Ledger) unexplained(now model.Instant, cause Cause, crashes []Crash) []Crash {
	if len(crashes) == 0 {
		return nil
	}
	left := slices.Clone(crashes)
	for part := range l.suspectedParts {
		if part == cause || l.suspected[part] < crashThreshold || l.answeredPart(now, part) {
			continue
		}
		if h := l.history(now, part); l.refusedUntil(now, part, h.crashes) != 0 {
			left = slices.DeleteFunc(left, func(c Crash) bool {
				return slices.ContainsFunc(h.crashes, func(o Crash) bool { return o.Target == c.Target })
			})
		}
	}
	return left
}

// refusal returns the verdict on a cause that is refused until some time, and on trial afterwards: one
// send at a time, by the VMs in turn, until it is answered or a target crashes on it.
func (h *history) refusal(now model.Instant, cause Cause, until model.Instant, turn Turn) Verdict {
	v := Verdict{Decision: Refuse, Cause: cause, Crashes: h.crashes}
	switch {
	case now < until:
		v.For = until.Sub(now)
	case h.pendingSentAt >= until, h.openSentAt >= until:
		v.Decision, v.For = Hold, holdInterval
	default:
		if v.For = turn.wait(now, until); v.For == 0 {
			v.Decision = Try
		}
	}
	return v
}
