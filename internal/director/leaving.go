package director

import (
	"cmp"
	"maps"
	"slices"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

// maxLeaving bounds the incarnations that are known to leave, and maxSentLeaving those in a
// message.
const maxLeaving, maxSentLeaving = 4096, 64

// targetLeaving records that a target stated in a response that it leaves.
//
// Invariant: an incarnation that leaves gets no new request, whatever its registration says,
// and also when the registration is missing for a while.
func (s *State) targetLeaving(now model.Instant, e TargetLeaving) Effect {
	r := s.requests[e.ID]
	if r == nil {
		return nil
	}
	return s.keepLeaving(now, r.sentTo, "stated in its response")
}

func (s *State) keepLeaving(now model.Instant, ran incarnation, detail string) Effect {
	if _, known := s.leaving[ran]; known || ran.target == "" {
		return nil
	}
	if len(s.leaving) >= maxLeaving {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(s.leaving)), func(a, b incarnation) int {
			return cmp.Or(cmp.Compare(s.leaving[a], s.leaving[b]), cmp.Compare(a.target, b.target), cmp.Compare(a.startedMs, b.startedMs))
		})
		delete(s.leaving, oldest)
	}
	s.leaving[ran] = now
	s.learned++
	if t := s.targets[ran.target]; t != nil {
		s.updateLeaving(t)
	}
	return &StateChanged{What: "target leaves", Subject: string(ran.target), Detail: detail}
}

// updateLeaving sets whether the registered incarnation of a target is known to leave.
func (s *State) updateLeaving(t *target) { _, t.leaves = s.leaving[t.incarnation()] }

// draining reports whether the target finishes its requests and takes no new ones.
func (t *target) draining() bool { return t.State == fleet.TargetDraining || t.leaves }

// applyLeaving applies which targets leave by the word of another VM.
func (s *State) applyLeaving(now model.Instant, e PeerState) []Effect {
	var effects []Effect
	for _, id := range slices.Sorted(maps.Keys(e.Leaving)) {
		ran := incarnation{target: id, startedMs: e.Leaving[id]}
		effects = append(effects, effectList(s.keepLeaving(now, ran, "reported by "+string(e.VM)))...)
	}
	return effects
}

// sentLeaving returns the targets that leave though their registrations say that they are
// ready.
func (s *State) sentLeaving() map[model.TargetID]int64 {
	var out map[model.TargetID]int64
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[id]
		if !t.leaves || t.State != fleet.TargetReady || len(out) >= maxSentLeaving {
			continue
		}
		if out == nil {
			out = map[model.TargetID]int64{}
		}
		out[id] = t.StartedMs
	}
	return out
}
