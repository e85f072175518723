package attempt

import (
	"slices"
	"time"

	"tamarackreach/internal/model"
)

const (
	// minStall is the shortest time without a token that counts as a stall.
	minStall = 1500 * time.Millisecond
	// stallPaces is the number of expected token times that count as a stall.
	stallPaces = 12
	// maxStallDoublings bounds how far repeated stalls stretch the time.
	maxStallDoublings = 3
	// rebuildBytes is the number of bytes of prompt and tokens that one step
	// of a target takes in when it rebuilds its state.
	rebuildBytes = 512
)

// StallAfter returns the time without a token after which the current attempt
// counts as stalled. It doubles with each stall, so that a chain that is only
// slow is not started over and over.
func (r *Request) StallAfter() time.Duration {
	return max(minStall, stallPaces*r.Pace) << min(r.Stalls, maxStallDoublings)
}

// Uses is true when the current chain runs on this incarnation of the target.
func (r *Request) Uses(target model.TargetID, life model.Incarnation) bool {
	return slices.ContainsFunc(r.Chain, func(hop model.Hop) bool {
		return hop.Target == target && hop.Incarnation == life
	})
}

// HopOf returns the hop of the current chain that runs on the target.
func (r *Request) HopOf(target model.TargetID) (model.Hop, bool) {
	at := slices.IndexFunc(r.Chain, func(hop model.Hop) bool { return hop.Target == target })
	if at < 0 {
		return model.Hop{}, false
	}
	return r.Chain[at], true
}

// RanOn is true when the current attempt may have run on the judged target: it
// began before the first sign that the target was lost.
func (r *Request) RanOn(target model.TargetID, sign model.Instant) bool {
	return r.Begun <= sign && (!r.Doubt.NotRun || r.Doubt.Target != target)
}

// Passed is true when the request had given a token on the target before: in
// this attempt, or in the one from which the target was kept.
func (r *Request) Passed(target model.TargetID) bool {
	hop, ok := r.HopOf(target)
	return ok && r.hasState(hop)
}

// Last returns the hop that streams the tokens.
func (r *Request) Last() model.Hop { return r.Chain[len(r.Chain)-1] }

// Avoid keeps the request from going back to a target.
func (r *Request) Avoid(target model.TargetID) {
	if target != "" && !slices.Contains(r.Avoided, target) {
		r.Avoided = append(r.Avoided, target)
	}
}

// Keep returns, by stage, the targets of the current chain that pass the test.
func (r *Request) Keep(holds func(model.Hop) bool) map[int]model.TargetID {
	keep := make(map[int]model.TargetID, len(r.Chain))
	for i, hop := range r.Chain {
		if holds(hop) && !slices.Contains(r.Avoided, hop.Target) {
			keep[i] = hop.Target
		}
	}
	return keep
}

// MarkKept clears the rebuild flag of the targets of the next chain that hold
// the state of the request from the current one.
func (r *Request) MarkKept(chain []model.Hop, rebuild model.TargetID) {
	for i := range chain {
		if i < len(r.Chain) && chain[i].Target != rebuild && r.hasState(r.Chain[i]) && sameLife(chain[i], r.Chain[i]) {
			chain[i].Rebuild = false
		}
	}
}

// hasState is true when a target of the current chain surely built its state:
// it gave a token in this attempt or came into it with state.
func (r *Request) hasState(hop model.Hop) bool { return r.Delivered > 0 || !hop.Rebuild }

func sameLife(a, b model.Hop) bool { return a.Target == b.Target && a.Incarnation == b.Incarnation }

// Dropped returns the targets of the current chain that the next does not use.
func (r *Request) Dropped(next []model.Hop) []model.Hop {
	var dropped []model.Hop
	for _, hop := range r.Chain {
		if !slices.ContainsFunc(next, func(other model.Hop) bool { return sameLife(hop, other) }) {
			dropped = append(dropped, hop)
		}
	}
	return dropped
}

// Cost returns the steps of single stages that a chain costs beyond those of
// an undisturbed answer: the token in progress is run again, and targets
// without state take in the prompt and the tokens so far.
func (r *Request) Cost(chain []model.Hop) int {
	bytes := len(r.Prompt)
	for _, token := range r.Tokens {
		bytes += len(token)
	}
	rebuild := (bytes + rebuildBytes - 1) / rebuildBytes
	cost := 0
	for _, hop := range chain {
		cost++
		if hop.Rebuild {
			cost += rebuild
		}
	}
	return cost
}
