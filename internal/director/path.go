package director

import (
	"math"
	"math/rand/v2"
	"time"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/internal/paths"
)

// pathCosts weigh what a path has beyond its layers, milliseconds a token step:
// a hop waits for half a pass; a crossing shares a narrow pipe, which a path
// uses only when its zone has lost a layer; a path in another zone costs its
// bytes.
var pathCosts = paths.Costs{Hop: 0.3, Crossing: 60, Away: 3}

const (
	// crowded is the part of a target's memory for requests above which its cost
	// grows steeply: beyond, long answers preempt the newest requests.
	crowded = 0.6
	// crowdedWeight is that growth for each further whole of the memory.
	crowdedWeight = 20
	// slotWeight is the cost of a path whose first target has no slot left, in
	// milliseconds a token step: that of a second path.
	slotWeight = 20
	// fullAt is the part of the memory at which a target takes nothing more: the
	// estimate is within a tenth of what targets report.
	fullAt = 0.92
	// lateAt is the part of the latency goal beyond which a predicted first event
	// is too late: a request that is refused at once can be served elsewhere or
	// later, and those before it stay in time.
	lateAt = 0.9
	// patience is the number of latency goals after which a caller that has no
	// event yet is taken to leave; the platform's clients stay for four.
	patience = 3
	// firstWeight weighs the wait for the first event against the time of each
	// later one: a usual answer has some fifty events.
	firstWeight = 0.02
	// costNoise spreads requests over paths that cost nearly the same, since VMs
	// that decide together see the same loads.
	costNoise = 0.15
	// meanProgress is the part of its answer that a request holds on the mean.
	meanProgress = 0.6
)

// candidate is a holder of layers that a path may use.
type candidate struct {
	paths.Holder
	target *target
	// usable is false under suspicion, and full when the memory for requests is.
	usable, full bool
}

// path returns the cheapest path with room for the request, or why there is
// none.
func (s *State) path(now model.Instant, r *request) ([]fleet.Hop, string) {
	candidates := s.candidates(now, r)
	hops := s.find(r, candidates, func(c *candidate) bool { return c.usable && !c.full })
	if hops == nil {
		hops = s.find(r, candidates, func(c *candidate) bool { return (c.usable || c.target.answersAgain()) && !c.full })
	}
	if hops == nil && r.sends > 0 {
		// It was admitted once; a full path is better than none.
		hops = s.find(r, candidates, func(c *candidate) bool { return c.usable || c.target.answersAgain() })
	}
	if hops == nil {
		return nil, s.whyNone(now, r, candidates)
	}
	r.predicted = s.timeToFirst(now, r, hops)
	if r.sends == 0 && !r.predicted.inTime(r.route.LatencyGoal) {
		return nil, whyLate
	}
	return hops, ""
}

// candidates returns the holders of layers that serve the request's service.
func (s *State) candidates(now model.Instant, r *request) []candidate {
	engine := r.service.Engine
	noise := rand.New(rand.NewPCG(math.Float64bits(r.random), uint64(r.sends)))
	spent := s.targetsSpent(r)
	var out []candidate
	for _, t := range s.byService[r.service.ID] {
		if t.Held.Len() == 0 || !t.serving() {
			continue
		}
		if spent && t.Held.First == 0 && !r.mayHaveRunOn(t.ID) {
			continue // only targets that had the request may have it again
		}
		load := s.load(now, t)
		used := occupancy(engine, t, load)
		out = append(out, candidate{
			Holder: paths.Holder{
				ID: t.ID, Address: t.Address, Zone: t.Zone, Layers: t.Held,
				CostPerLayer: layerCost(engine, t, load, used) * t.slowness(now) * (1 - costNoise + 2*costNoise*noise.Float64()),
				FirstCost:    firstCost(load, t.Slots),
			},
			target: t, usable: t.usable(now), full: used > fullAt,
		})
	}
	return out
}

// find returns the cheapest path over the candidates that admit allows.
func (s *State) find(r *request, candidates []candidate, admit func(*candidate) bool) []fleet.Hop {
	holders := make([]paths.Holder, 0, len(candidates))
	for i := range candidates {
		if admit(&candidates[i]) {
			holders = append(holders, candidates[i].Holder)
		}
	}
	hops, _, ok := paths.Find(holders, r.service.Engine.Layers, s.settings.Zone, pathCosts)
	if !ok {
		return nil
	}
	return hops
}

// whyNone tells a full deployment from one that lacks a layer. Targets under
// suspicion that would close the hole are looked at next.
func (s *State) whyNone(now model.Instant, r *request, candidates []candidate) string {
	for i := range candidates {
		candidates[i].FirstCost = 0 // as if slots were free
	}
	if s.find(r, candidates, func(c *candidate) bool { return c.usable }) != nil {
		return whyFull
	}
	for i := range candidates {
		if !candidates[i].usable {
			candidates[i].target.wantedAt = now
		}
	}
	return whyHole
}

// Prediction is the expected time to the first event.
type Prediction struct {
	// Work is the time to read the prompt at each hop, Queue the time that prompts
	// before it take where they take longest.
	Work, Queue time.Duration
}

// Total is the time from the send to the first event.
func (p Prediction) Total() time.Duration { return p.Work + p.Queue }

// inTime is false when the prompts that wait make the first event late, or so
// late that the caller has left. A path that is late by itself, because of a
// slow target, still serves: a late answer is better than none.
func (p Prediction) inTime(goal time.Duration) bool {
	limit := time.Duration(lateAt * float64(goal))
	if p.Work > limit {
		limit = patience * goal
	}
	return goal == 0 || p.Total() < limit
}

// firstCost grows with the slots that are taken of a path's first target, and is
// infinite when none is left.
func firstCost(load Load, slots int) float64 {
	if slots <= 0 {
		return 0
	}
	taken := float64(load.First) / float64(slots)
	switch {
	case taken >= 1:
		return math.Inf(1)
	case taken > crowded:
		return slotWeight * (taken - crowded)
	}
	return 0
}

// timeToFirst predicts the time to the first event on a path: the passes that
// read the prompt at each hop, and the queue at the hop where it is longest.
func (s *State) timeToFirst(now model.Instant, r *request, hops []fleet.Hop) Prediction {
	engine := r.service.Engine
	var work, queue float64
	for _, hop := range hops {
		t := s.targets[hop.Target]
		load := s.load(now, t)
		pass := engine.PassMs(engine.Hardware[t.Kind], hop.Layers.Len(), float64(load.Requests)) * t.slowness(now)
		work += pass * max(float64(r.PromptTokens)/engine.ReadTokensPerPass, 1)
		queue = max(queue, pass*float64(load.Waiting)*usualPasses(engine))
	}
	return Prediction{Work: millis(work), Queue: millis(queue)}
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// usualPasses is the passes that read a usual prompt.
func usualPasses(engine *fleet.Engine) float64 {
	return max(engine.UsualPrompt/engine.ReadTokensPerPass, 1)
}

// occupancy is the part of a target's memory for requests that a load takes.
func occupancy(engine *fleet.Engine, t *target, load Load) float64 {
	free := engine.Hardware[t.Kind].MemoryMB - float64(t.Held.Len())*engine.LayerMB
	capacity := free / engine.StateMBPerTokenLayer()
	if capacity <= 0 {
		return math.Inf(1)
	}
	return load.TokenLayers / capacity
}

// layerCost predicts the time of one layer in a token step at normal pace, in
// milliseconds, with a part for the prompts that wait to be read there. used is
// the target's occupancy.
func layerCost(engine *fleet.Engine, t *target, load Load, used float64) float64 {
	hardware := engine.Hardware[t.Kind]
	step := hardware.StepFactor * engine.StepMsAt(float64(load.Requests))
	read := engine.PassMs(hardware, engine.Layers, float64(load.Requests)) * float64(load.Waiting) * usualPasses(engine)
	cost := (step + read*firstWeight) / float64(engine.Layers)
	if used > crowded {
		cost *= 1 + crowdedWeight*(min(used, 2)-crowded)
	}
	return cost
}
