package attribution

import (
	"cmp"
	"slices"
	"time"

	"tamarackreach/internal/model"
)

// This file holds the times of records. Each record keeps the time by the clock of the VM that wrote it,
// and is passed on as it is.
//
// Invariant: the offset of a clock only decreases. It is the time of a message too large at most, and
// however often a record is passed on, its time at a VM does not grow.

// local returns a time by the clock of a VM as one by the clock of this VM; 0 remains 0.
func (l *Ledger) local(by Observer, at model.Instant) model.Instant {
	if at == 0 || by == l.self {
		return at
	}
	return max(at.Add(l.offsets[by]), 1)
}

func (l *Ledger) observedAt(o Observation) model.Instant { return l.local(o.By, o.At) }

// adjustOffsets applies evidence that was written age before now.
func (l *Ledger) adjustOffsets(now model.Instant, age time.Duration, e *Evidence) {
	lower := func(vm Observer, offset time.Duration) {
		if known, found := l.offsets[vm]; vm != l.self && (!found || offset < known) {
			l.offsets[vm] = offset
		}
	}
	lower(e.By, now.Add(-age).Sub(e.At))
	for vm, offset := range e.Offsets {
		lower(vm, l.offsets[e.By]+offset)
	}
}

// dates reports whether times by the clock of a VM are known. Records with others are dropped.
func (l *Ledger) dates(vm Observer) bool {
	_, known := l.offsets[vm]
	return known || vm == l.self
}

// join merges two records of one process.
func (l *Ledger) join(a, b Life) Life {
	out := Life{Ended: l.first(a.Ended, b.Ended), Alive: l.last(a.Alive, b.Alive)}
	for _, silent := range []Observation{a.Silent, b.Silent} {
		if l.observedAt(silent) > l.observedAt(out.Alive) {
			out.Silent = l.first(out.Silent, silent)
		}
	}
	return out
}

func (l *Ledger) first(a, b Observation) Observation {
	if b.At == 0 || !l.dates(b.By) || a.At != 0 && l.compareObservations(a, b) <= 0 {
		return a
	}
	return b
}

func (l *Ledger) last(a, b Observation) Observation {
	if !l.dates(b.By) || l.compareObservations(a, b) >= 0 {
		return a
	}
	return b
}

func (l *Ledger) compareObservations(a, b Observation) int {
	return cmp.Or(cmp.Compare(l.observedAt(a), l.observedAt(b)), compareObservers(a.By, b.By), cmp.Compare(a.At, b.At))
}

// endedAt returns when a process was observed to have ended, or to be silent and not alive since; 0 if it
// may run.
func (l *Ledger) endedAt(f Life) model.Instant {
	return earliest(l.observedAt(f.Ended), l.observedAt(f.Silent))
}

// latest returns the time of the last observation of a process.
func (l *Ledger) latest(f Life) model.Instant {
	return max(l.observedAt(f.Ended), l.observedAt(f.Alive), l.observedAt(f.Silent))
}

// changedAt returns the time of the last change of a send.
func (l *Ledger) changedAt(s *Send) model.Instant { return l.local(s.ID.By, max(s.SentAt, s.EndedAt)) }

// latestFirst returns sends by their last change, the latest first.
func (l *Ledger) latestFirst(sends []*Send) []*Send {
	slices.SortFunc(sends, func(a, b *Send) int {
		return cmp.Or(cmp.Compare(l.changedAt(b), l.changedAt(a)), compareObservers(a.ID.By, b.ID.By), cmp.Compare(a.ID.Number, b.ID.Number))
	})
	return sends
}

// earliest returns the earlier time, of which 0 is none.
func earliest(a, b model.Instant) model.Instant {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}
