package attempt

import (
	"slices"
	"time"

	"tamarackreach/internal/model"
)

const (
	// minStallTimeout is the least time without a token that counts as a stall.
	minStallTimeout = 1500 * time.Millisecond
	// stallTokenIntervals is the stall timeout in expected inter-token times.
	stallTokenIntervals = 12
	// maxStallDoublings bounds how often repeated stalls double the timeout.
	maxStallDoublings = 3
	// rebuildBytesPerStep is the number of bytes of prompt and tokens that a
	// target processes in one step when it rebuilds its state.
	rebuildBytesPerStep = 512
)

// StallAfter returns the time without a token after which the current attempt
// counts as stalled. It doubles with each consecutive stall, so that a chain that
// is only slow is not restarted repeatedly.
func (r *Request) StallAfter() time.Duration {
	return max(minStallTimeout, stallTokenIntervals*r.TokenInterval) << min(r.Stalls, maxStallDoublings)
}

// Uses reports whether the current chain uses this incarnation of the target.
func (r *Request) Uses(target model.TargetID, incarnation model.Incarnation) bool {
	return slices.ContainsFunc(r.Chain, func(hop model.Hop) bool {
		return hop.Target == target && hop.Incarnation == incarnation
	})
}

// HopOf returns the hop of the current chain that uses the target, if any.
func (r *Request) HopOf(target model.TargetID) (model.Hop, bool) {
	at := slices.IndexFunc(r.Chain, func(hop model.Hop) bool { return hop.Target == target })
	if at < 0 {
		return model.Hop{}, false
	}
	return r.Chain[at], true
}

// Suspect records a suspicion of a target of the chain. A refused connection shows
// that the attempt has not run on the target only if no connection of the attempt to
// it was open before: the target may have crashed after the attempt reached it.
func (r *Request) Suspect(suspicion Suspicion) {
	failedBefore := r.Suspicion.Target == suspicion.Target && !r.Suspicion.NotRun
	if failedBefore || r.StreamReopened || r.AttemptTokens > 0 {
		suspicion.NotRun = false
	}
	r.Suspicion = suspicion
}

// MayHaveRunOn reports whether the current attempt may have run on a failed
// target: the attempt began no later than the target was first suspected and is
// not known not to have run there.
func (r *Request) MayHaveRunOn(target model.TargetID, suspectedAt model.Instant) bool {
	return r.StartedAt <= suspectedAt && (!r.Suspicion.NotRun || r.Suspicion.Target != target)
}

// HasRunOn reports whether the request has already produced a token on the
// target, in this attempt or in the one from which the target was kept.
func (r *Request) HasRunOn(target model.TargetID) bool {
	hop, ok := r.HopOf(target)
	return ok && r.hasState(hop)
}

// Last returns the last hop of the chain, which streams the tokens.
func (r *Request) Last() model.Hop { return r.Chain[len(r.Chain)-1] }

// Avoid excludes a target from further attempts.
func (r *Request) Avoid(target model.TargetID) {
	if target != "" && !slices.Contains(r.Avoided, target) {
		r.Avoided = append(r.Avoided, target)
	}
}

// Keep returns the targets of the current chain that satisfy holds and are not
// avoided, keyed by their position in the chain.
func (r *Request) Keep(holds func(model.Hop) bool) map[int]model.TargetID {
	keep := make(map[int]model.TargetID, len(r.Chain))
	for i, hop := range r.Chain {
		if holds(hop) && !slices.Contains(r.Avoided, hop.Target) {
			keep[i] = hop.Target
		}
	}
	return keep
}

// MarkKept clears the rebuild flag of the hops of the next chain whose targets
// still hold the state of the request from the current chain. The target named by
// rebuild has lost its state and keeps the flag.
func (r *Request) MarkKept(chain []model.Hop, rebuild model.TargetID) {
	for i := range chain {
		if i < len(r.Chain) && chain[i].Target != rebuild && r.hasState(r.Chain[i]) && sameHop(chain[i], r.Chain[i]) {
			chain[i].Rebuild = false
		}
	}
}

// hasState reports whether a target of the current chain is known to hold the
// state of the request: the attempt produced a token, or the target was kept with
// its state.
func (r *Request) hasState(hop model.Hop) bool { return r.AttemptTokens > 0 || !hop.Rebuild }

// sameHop reports whether two hops use the same incarnation of the same target.
func sameHop(a, b model.Hop) bool { return a.Target == b.Target && a.Incarnation == b.Incarnation }

// UnusedHops returns the hops of the current chain that the next chain does not
// use.
func (r *Request) UnusedHops(next []model.Hop) []model.Hop {
	var unused []model.Hop
	for _, hop := range r.Chain {
		if !slices.ContainsFunc(next, func(other model.Hop) bool { return sameHop(hop, other) }) {
			unused = append(unused, hop)
		}
	}
	return unused
}

// Cost returns the work that an attempt on a chain adds to that of an undisturbed
// answer, in steps of single stages: every stage repeats the token in progress,
// and targets without state process the prompt and the tokens so far.
func (r *Request) Cost(chain []model.Hop) int {
	bytes := len(r.Prompt)
	for _, token := range r.Tokens {
		bytes += len(token)
	}
	rebuild := (bytes + rebuildBytesPerStep - 1) / rebuildBytesPerStep
	cost := 0
	for _, hop := range chain {
		cost++
		if hop.Rebuild {
			cost += rebuild
		}
	}
	return cost
}
