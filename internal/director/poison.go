package director

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/quarantine"
)

const (
	// confirmWithin is how long after a lost answer the target's end still counts
	// as caused by what ran there: the time to find a target dead, or born again
	// in its registration.
	confirmWithin = 5 * time.Second
	// maxLosses bounds the lost answers that wait for a confirmation; the oldest
	// goes first.
	maxLosses = 1024
	// maxNotes bounds what one message to other VMs says of such content: a few
	// kilobytes.
	maxNotes = 64
)

// loss is an answer that was lost on a target that may have crashed.
type loss struct {
	content model.Fingerprint
	on      run
	at      model.Instant
}

// fingerprint identifies the content of a request whoever carries it again.
func (r *request) fingerprint() model.Fingerprint {
	var workspace model.WorkspaceID
	if r.workspace != nil {
		workspace = r.workspace.ID
	}
	return quarantine.FingerprintOf(workspace, model.ModelName(r.Path), string(r.Body))
}

// noteLoss remembers a lost answer until it is known whether its target crashed.
// A stream that had begun is not the cause of a crash most likely.
func (s *State) noteLoss(now model.Instant, r *request, outcome Outcome) {
	if outcome != Lost || len(r.ran) == 0 || len(r.hops) == 0 {
		return
	}
	on := r.ran[len(r.ran)-1]
	if on.target != r.hops[0].Target {
		return
	}
	if len(s.losses) >= maxLosses {
		s.losses = s.losses[1:]
	}
	s.losses = append(s.losses, loss{content: r.fingerprint(), on: on, at: now})
}

// confirmLosses counts a crash for each lost answer whose target has ended since.
func (s *State) confirmLosses(now model.Instant) []Effect {
	var effects []Effect
	kept := s.losses[:0]
	for _, l := range s.losses {
		switch t := s.targets[l.on.target]; {
		case now.Sub(l.at) > confirmWithin:
		case t == nil || t.dead() || t.Born != l.on.born:
			s.crashers.Crashed(now, l.content, false)
			if s.crashers.Remaining(now, l.content) > 0 {
				effects = append(effects, &Changed{
					What: "request content quarantined", Subject: strconv.FormatUint(uint64(l.content), 16), Detail: "the last target was " + string(l.on.target),
				})
			}
		default:
			kept = append(kept, l)
		}
	}
	s.losses = kept
	s.crashers.Lapse(now)
	return effects
}

// quarantined returns how long the content of a request stays refused because it
// crashed targets; 0 when it is not.
func (s *State) quarantined(now model.Instant, r *request) time.Duration {
	if s.crashers.Empty() {
		return 0
	}
	return s.crashers.Remaining(now, r.fingerprint())
}

// crasherNotes returns what other VMs should hear, what is refused first.
func (s *State) crasherNotes(now model.Instant) []event.QuarantineNote {
	notes := s.crashers.Notes(now)
	slices.SortStableFunc(notes, func(a, b event.QuarantineNote) int { return -cmp.Compare(a.Crashes, b.Crashes) })
	return notes[:min(len(notes), maxNotes)]
}
