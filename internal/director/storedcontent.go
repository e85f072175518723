package director

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tamarackreach/internal/model"
)

const (
	// maxStoredQuarantines, maxStoredLostAnswers and maxStoredAnswers bound what a VM stores.
	maxStoredQuarantines, maxStoredLostAnswers, maxStoredAnswers = 16, 32, 32
	// storedConfirmWindow replaces crashConfirmWindow for lost answers that were read from
	// the store: it includes the restart of the VMs.
	storedConfirmWindow = 10 * time.Second
	// storedDelay is how long a VM that starts waits for the messages of the others before
	// it applies what they have stored: a little longer than their interval between zones.
	storedDelay = 700 * time.Millisecond
)

// StoredContent is what a VM stores of content that crashes targets, for VMs that start.
type StoredContent struct {
	VM model.NodeID
	// Process is that of the VM when it was written.
	Process     uint32
	Quarantines []Quarantine
	// LostAnswers are those to content of which enough targets may have crashed to
	// refuse it.
	LostAnswers []LostAnswer
	// Answers are the parts with lost answers on which answers were received before: VMs
	// that all start at once would take them for the cause of the crashes.
	Answers []AnsweredPart
	// Elapsed is the time since it was written, 0 while it is unknown.
	Elapsed time.Duration
	// EarlierEra is true when it was written in an earlier era of the store. What was
	// written later may be lost.
	EarlierEra bool
}

// storeThreshold is the number of targets that may have crashed from which the lost
// answers of a cause are stored. Those of a part are stored before they suffice to refuse
// it: each request with it crashes a target, and the VMs may all end between two crashes.
func (c Cause) storeThreshold() int {
	if c.IsPart() {
		return crashThreshold - 1
	}
	return crashThreshold
}

// ContentRead carries what the VMs have stored.
type ContentRead struct{ Stored []StoredContent }

func (ContentRead) event() {}

// ContentChanged counts the changes of what ContentToStore returns that are to be
// stored.
func (s *State) ContentChanged() uint64 { return s.contentChanged }

// ContentToStore returns what this VM stores: the quarantines that it has begun or
// ended, the latest first, and the lost answers to content that will be refused if all
// of their targets have crashed.
func (s *State) ContentToStore(now model.Instant) StoredContent {
	out := StoredContent{VM: s.settings.VM, Process: s.settings.Process}
	for _, q := range s.quarantines(now) {
		if s.crashRecords[q.Cause].own && len(out.Quarantines) < maxStoredQuarantines {
			q.Trial = false
			out.Quarantines = append(out.Quarantines, q)
		}
	}
	answers := s.sentAnswers(now)
	out.Answers = answers[:min(len(answers), maxStoredAnswers)]
	for _, cause := range s.causesToStore(now) {
		lost := s.lostOn(cause)
		if len(lost) < cause.storeThreshold() || s.answered(now, cause) || len(out.LostAnswers)+len(lost) > maxStoredLostAnswers {
			continue
		}
		for _, l := range lost {
			out.LostAnswers = append(out.LostAnswers, LostAnswer{Cause: cause, Target: l.ran.target, Born: l.ran.startedMs, Age: max(now.Sub(l.at), 0)})
		}
	}
	return out
}

// causesToStore returns the causes that are not quarantined and have lost answers, or are
// parts with recent crashes, in a fixed order.
func (s *State) causesToStore(now model.Instant) []Cause {
	causes := map[Cause]bool{}
	for _, l := range s.lostAnswers {
		if c := s.crashRecords[l.cause]; c == nil || !c.quarantined() {
			causes[l.cause] = true
		}
	}
	for cause, c := range s.crashRecords {
		if cause.IsPart() && !c.quarantined() && now.Sub(c.lostAt) < storedConfirmWindow {
			causes[cause] = true
		}
	}
	return slices.Sorted(maps.Keys(causes))
}

// lostOn returns a lost answer for each target that crashed, or may have crashed, while
// running some content that was not answered since, in a fixed order.
func (s *State) lostOn(cause Cause) []lostAnswer {
	latest := map[incarnation]lostAnswer{}
	add := func(l lostAnswer) {
		if known, found := latest[l.ran]; l.cause == cause && !l.answered && (!found || l.at > known.at) {
			latest[l.ran] = l
		}
	}
	if c := s.crashRecords[cause]; c != nil {
		for _, ran := range c.crashed[c.cleared:] {
			add(lostAnswer{cause: cause, ran: ran, at: c.at})
		}
	}
	for _, l := range s.lostAnswers {
		add(l)
	}
	for _, list := range s.peerLostAnswers {
		for _, l := range list.lost {
			add(l)
		}
	}
	return slices.SortedFunc(maps.Values(latest), func(a, b lostAnswer) int {
		return cmp.Or(cmp.Compare(a.ran.target, b.ran.target), cmp.Compare(a.ran.startedMs, b.ran.startedMs))
	})
}

// keepStored keeps what the VMs have stored until it is known whether one of them runs
// that knows it. The messages of such a VM are newer.
func (s *State) keepStored(now model.Instant, e ContentRead) {
	s.stored, s.storedReadAt = e.Stored, now
}

// dropStored drops the rows that another VM knows: its own, and those written while it
// was running.
func (s *State) dropStored(now model.Instant, e PeerState) {
	s.stored = slices.DeleteFunc(s.stored, func(row StoredContent) bool {
		return row.VM == e.VM && row.Process == e.Process || !row.EarlierEra && row.Elapsed+now.Sub(s.storedReadAt) < e.Uptime
	})
}

// contentRead applies the rows that no other VM knows, once all VMs have sent a message
// or had the time to.
//
// Invariant: what was written in an earlier era of the store only adds quarantines, for
// the time that they had left. A release in it may be of an earlier quarantine than one
// whose row was lost.
func (s *State) contentRead(now model.Instant) []Effect {
	if len(s.stored) == 0 || !s.allSentSince(s.storedReadAt) && now.Sub(s.storedReadAt) < storedDelay {
		return nil
	}
	var effects []Effect
	for _, earlierEra := range []bool{false, true} {
		for _, row := range s.stored {
			if row.EarlierEra == earlierEra {
				row.Elapsed += now.Sub(s.storedReadAt)
				effects = append(effects, s.applyStored(now, row)...)
			}
		}
	}
	s.stored = nil
	return effects
}

// allSentSince reports whether all other VMs have sent a message since some time.
func (s *State) allSentSince(at model.Instant) bool {
	vms := 1
	for _, p := range s.peers {
		if p.receivedAt >= at {
			vms++
		}
	}
	return s.listedVMs > 0 && vms >= s.listedVMs
}

func (s *State) applyStored(now model.Instant, row StoredContent) []Effect {
	var effects []Effect
	for _, q := range row.Quarantines[:min(len(row.Quarantines), maxStoredQuarantines)] {
		q.Remaining, q.Age = max(q.Remaining-row.Elapsed, 0), q.Age+row.Elapsed
		c := s.crashRecords[q.Cause]
		if q.Age > crashExpiry && q.Remaining == 0 || row.EarlierEra && (q.Cleared >= q.Level || c != nil && c.level > 0) {
			continue
		}
		effects = append(effects, effectList(s.applyQuarantine(now, q, row.VM))...)
		if row.VM == s.settings.VM {
			s.crashRecords[q.Cause].own = true
		}
	}
	for _, answer := range row.Answers[:min(len(row.Answers), maxStoredAnswers)] {
		if age := answer.Age + row.Elapsed; answer.Part.IsPart() && age < answerExpiry {
			s.answeredParts.record(answer.Part, now.Add(-age))
		}
	}
	return append(effects, s.applyStoredLostAnswers(now, row)...)
}

// applyStoredLostAnswers inherits the lost answers that a VM stored whose process has
// ended.
func (s *State) applyStoredLostAnswers(now model.Instant, row StoredContent) []Effect {
	if len(row.LostAnswers) == 0 {
		return nil
	}
	var lost []lostAnswer
	for _, sent := range row.LostAnswers[:min(len(row.LostAnswers), maxStoredLostAnswers)] {
		sent.Age += row.Elapsed
		l := sent.decode(now)
		l.stored = true
		lost = append(lost, l)
	}
	return s.inherit(now, vmProcess{row.VM, row.Process}, lost, "not running")
}
