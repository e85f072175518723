package director

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/internal/paths"
)

// pathCosts are the costs of a path beyond those of its layers, in milliseconds per
// decode step. Hop stands for the wait of half a pass at each target. ZoneChange is
// high because paths across zones share a link of low bandwidth: a path changes
// zones only when its zone lacks a layer. RemoteZone stands for the price of traffic
// to another zone, which is charged by the byte.
var pathCosts = paths.Costs{Hop: 0.3, ZoneChange: 60, RemoteZone: 3}

const (
	// highOccupancy is the fraction of a target's KV cache above which its cost grows
	// steeply, since long answers then preempt the newest requests.
	highOccupancy = 0.6
	// highOccupancyWeight is the relative growth of that cost per unit of occupancy
	// above highOccupancy, where 1 is the whole KV cache.
	highOccupancyWeight = 20
	// slotWeight is the cost per unit of the first target's slot use above
	// highOccupancy, where 1 is all slots, in milliseconds per decode step. It equals
	// the cost of a second path.
	slotWeight = 20
	// fullOccupancy is the occupancy above which a target gets no new requests. It is
	// below 1 since the estimated occupancy is only within a tenth of the reported one.
	fullOccupancy = 0.92
	// lateFraction is the fraction of the latency goal beyond which a predicted first
	// event is too late: a request refused at once can be served elsewhere or later,
	// and the requests queued before it still meet their goal.
	lateFraction = 0.9
	// abandonAfterGoals is the number of latency goals after which a caller without
	// an event is assumed to disconnect; the platform's clients wait for four.
	abandonAfterGoals = 3
	// firstEventWeight weighs the time to the first event against the time of each
	// later one: a usual answer has about fifty events.
	firstEventWeight = 0.02
	// costNoise is the relative random change of costs that spreads requests over
	// paths of similar cost, since VMs that decide at the same time use the same
	// loads.
	costNoise = 0.15
	// meanAnswerFraction is the mean fraction of its answer that a request holds in the
	// KV cache while it runs.
	meanAnswerFraction = 0.6
)

// candidate is a holder of layers that a path may pass through.
type candidate struct {
	paths.Holder
	target *target
	// usable is false under suspicion; full is true when the KV cache is full.
	usable, full bool
	// unreached is true when this VM does not reach the target, it runs, and no other VM
	// relays requests to it.
	unreached bool
	// limited is true when the target's limit allows no further request to it as the
	// first hop.
	limited bool
	// ejected is true while the target is out of rotation because of its errors.
	ejected bool
}

// choosePath returns the cheapest path with capacity for the request, or the reason
// why there is none.
func (s *State) choosePath(now model.Instant, r *request) ([]fleet.Hop, string) {
	candidates := s.candidates(now, r)
	hops := s.findInRotation(now, r, candidates)
	if hops == nil {
		return nil, s.noPathReason(now, r, candidates)
	}
	r.predicted = s.timeToFirstEvent(now, r, hops)
	s.recordQueue(now, r, hops)
	if r.sends > 0 {
		return hops, ""
	}
	hops, reason := s.admitPath(now, r, candidates, hops)
	if reason == reasonPromptBacklog {
		if other := s.otherZonePath(now, r, candidates); other != nil {
			return s.admitPath(now, r, candidates, other)
		}
	}
	return hops, reason
}

// findWithCapacity returns the cheapest path over candidates that are not full, as far as
// possible without those under suspicion.
func (s *State) findWithCapacity(now model.Instant, r *request, candidates []candidate) []fleet.Hop {
	hops := s.findPath(now, r, candidates, func(c *candidate) bool { return c.usable && !c.full })
	if hops == nil {
		hops = s.findPath(now, r, candidates, func(c *candidate) bool { return (c.usable || c.target.reportedSinceFault(now)) && !c.full })
	}
	if hops == nil && r.sends > 0 {
		// The request was admitted before; a full path is better than none.
		hops = s.findPath(now, r, candidates, func(c *candidate) bool { return c.usable || c.target.reportedSinceFault(now) })
	}
	return hops
}

// candidates returns the holders of layers that serve the request's service.
func (s *State) candidates(now model.Instant, r *request) []candidate {
	engine := r.service.Engine
	choice := s.newChoice(now, r)
	limitReached := s.targetLimitReached(now, r)
	var out []candidate
	for _, t := range s.byService[r.service.ID] {
		if t.Held.Len() == 0 || !t.serving(now) {
			continue
		}
		if limitReached && t.Held.First == 0 && !slices.Contains(r.possibleRuns, t.incarnation()) {
			continue // the target limit is reached: only earlier targets may be the first hop
		}
		load := s.estimatedLoad(now, t)
		used := occupancy(engine, t, load)
		load = choice.spread(t, load)
		limited, firstCost := !s.mayStartOn(now, t), firstHopCost(load, t.Slots)
		unreached := false
		if t.Held.First == 0 && !s.reaches(t) && s.runsUnreached(now, t) {
			unreached = s.relayTo(now, r, t) == nil
			firstCost += relayCost
		}
		if limited || unreached {
			firstCost = math.Inf(1)
		}
		out = append(out, candidate{
			Holder: paths.Holder{
				ID: t.ID, Address: t.Address, Zone: t.Zone, Layers: t.Held,
				CostPerLayer: choice.layerHolderCost(engine, t, load, used),
				FirstHopCost: firstCost,
			},
			target: t, usable: t.usable(now), full: used > fullOccupancy, limited: limited, unreached: unreached, ejected: s.ejected(now, r, t),
		})
	}
	return out
}

// findPath returns the cheapest path over the candidates that admit accepts, nil
// without one.
func (s *State) findPath(now model.Instant, r *request, candidates []candidate, admit func(*candidate) bool) []fleet.Hop {
	holders := make([]paths.Holder, 0, len(candidates))
	for i := range candidates {
		if admit(&candidates[i]) {
			holders = append(holders, candidates[i].Holder)
		}
	}
	hops, _, ok := paths.Find(holders, r.service.Engine.Layers, s.preferredZone(now, r), pathCosts)
	if !ok {
		return nil
	}
	return hops
}

// noPathReason returns whether the targets are full, take no more requests at the rates
// that they named, or a layer has no usable target. In the last case it marks the targets
// under suspicion to be probed next.
func (s *State) noPathReason(now model.Instant, r *request, candidates []candidate) string {
	limited, unreached := false, false
	for i := range candidates {
		candidates[i].FirstHopCost = 0 // as if slots were free
		unreached = unreached || candidates[i].unreached && candidates[i].usable
		limited = limited || candidates[i].limited && candidates[i].usable && candidates[i].target.Held.First == 0
	}
	if s.findPath(now, r, candidates, func(c *candidate) bool { return c.usable }) != nil {
		switch {
		case limited:
			return cmp.Or(s.notTakenReason(now, r.service.ID), reasonLimited)
		case unreached:
			return reasonUnreached
		}
		return reasonFull
	}
	for i := range candidates {
		if !candidates[i].usable {
			candidates[i].target.neededAt = now
		}
	}
	return reasonMissingLayer
}

// Prediction is the expected time to the first event.
type Prediction struct {
	// Prefill is the time of the prefill over all hops. Queue is the time of the
	// prompts queued before it, at the hop where it is longest.
	Prefill, Queue time.Duration
}

// Total returns the time from the send to the first event.
func (p Prediction) Total() time.Duration { return p.Prefill + p.Queue }

// inTime reports whether the first event meets the latency goal. A path whose
// prefill alone misses the goal, because of a slow target, is accepted until the
// caller is assumed to have disconnected: a late answer is better than none.
func (p Prediction) inTime(goal time.Duration) bool {
	limit := time.Duration(lateFraction * float64(goal))
	if p.Prefill > limit {
		limit = abandonAfterGoals * goal
	}
	return goal == 0 || p.Total() < limit
}

// firstHopCost returns the cost of a target as the first hop, in milliseconds per
// decode step. It grows with the slots in use and is infinite without a free one.
func firstHopCost(load Load, slots int) float64 {
	if slots <= 0 {
		return 0
	}
	used := float64(load.First) / float64(slots)
	switch {
	case used >= 1:
		return math.Inf(1)
	case used > highOccupancy:
		return slotWeight * (used - highOccupancy)
	}
	return 0
}

// timeToFirstEvent predicts the time to the first event on a path: the prefill
// passes at each hop, and the queue at the hop where it is longest.
func (s *State) timeToFirstEvent(now model.Instant, r *request, hops []fleet.Hop) Prediction {
	engine := r.service.Engine
	var prefill, queue float64
	for _, hop := range hops {
		t := s.targets[hop.Target]
		load := s.estimatedLoad(now, t)
		pass := engine.PassMs(engine.Hardware[t.Kind], hop.Layers.Len(), float64(load.Requests)) * t.slowness(now)
		prefill += pass * max(float64(r.PromptTokens)/engine.PrefillChunkTokens, 1)
		queue = max(queue, pass*float64(load.Waiting)*meanPromptPasses(engine))
	}
	return Prediction{Prefill: millis(prefill), Queue: millis(queue)}
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// meanPromptPasses returns the number of passes that prefill a prompt of mean length.
func meanPromptPasses(engine *fleet.Engine) float64 {
	return max(engine.MeanPromptTokens/engine.PrefillChunkTokens, 1)
}

// occupancy returns the fraction of a target's KV cache that a load takes.
func occupancy(engine *fleet.Engine, t *target, load Load) float64 {
	capacity := cacheTokenLayers(engine, t)
	if capacity <= 0 {
		return math.Inf(1)
	}
	return load.TokenLayers / capacity
}

// cacheTokenLayers returns the size of a target's KV cache in tokens times layers.
func cacheTokenLayers(engine *fleet.Engine, t *target) float64 {
	free := engine.Hardware[t.Kind].MemoryMB - float64(t.Held.Len())*engine.LayerMB
	return free / engine.KVMBPerTokenLayer()
}

// layerCost predicts the time of one layer in a decode step at normal speed, in
// milliseconds, including a share of the queued prefill at the target. used is the
// target's occupancy.
func layerCost(engine *fleet.Engine, t *target, load Load, used float64) float64 {
	hardware := engine.Hardware[t.Kind]
	step := hardware.DecodeFactor * engine.StepMsAt(float64(load.Requests))
	prefill := engine.PassMs(hardware, engine.Layers, float64(load.Requests)) * float64(load.Waiting) * meanPromptPasses(engine)
	cost := (step + prefill*firstEventWeight) / float64(engine.Layers)
	if used > highOccupancy {
		cost *= 1 + highOccupancyWeight*(min(used, 2)-highOccupancy)
	}
	return cost
}
