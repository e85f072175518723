package director

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/loadestimate"
	"tamarackreach/internal/loadview"
	"tamarackreach/internal/model"
)

const (
	// herdSpread scales the random spread over targets that could serve the same. With the
	// width itself, requests that are drawn to the lower of two loads make up for their
	// difference twice over within one age of the loads.
	herdSpread = 1
	// groupSpread is the random spread of targets of other zones, relative to the mean load
	// as far as it is not known: all VMs of a zone see the same loads, and the requests that
	// they send elsewhere have to make up for the difference once, not several times over.
	groupSpread = 2
	// similarRequests is the difference of load, in requests, below which targets are
	// similar: they are chosen by their spare capacity.
	similarRequests = 0.5
	// tieNoise is the relative random change of costs that separates equal ones: it is less
	// than the cost of one request.
	tieNoise = 0.001
	// slowStart is the time in which a target that has joined or recovered counts as loaded
	// at first like the mean of those that could serve the same, then less and less: several
	// message intervals, after which all VMs know what it has received.
	slowStart = 2 * time.Second
)

// loadGroup is the targets that could serve the same: the loads that others state on them
// are known by age, and their mean beyond it.
type loadGroup struct {
	targets []*target
	// step is the step of the state for which the sums are computed, and at its time.
	step uint64
	at   model.Instant
	// mean is the mean over the targets of the loads of others, total the sum of their
	// requests and age the mean time since they were stated.
	mean  Load
	total float64
	age   time.Duration
	// settled is the mean over the targets that are not in slow start.
	settled Load
	stay    stay
	// unknown is the fraction of the stated loads that has ended since, and herd the width of
	// the random spread of the requests that others may have sent since.
	unknown, herd float64
	// noise is the random number of the group in the choice with the number choice.
	noise  float64
	choice uint64
}

// groupKey identifies the targets that could serve the same.
type groupKey struct {
	service model.ServiceID
	zone    model.AvailabilityZone
	kind    model.AcceleratorKind
	held    model.LayerRange
}

// stay is how long the requests of a service stay on targets, as a moving mean; 0 while it
// is unknown.
type stay struct {
	// whole is the time to the end of a request, first the time to its first event.
	whole, first loadestimate.Stay
}

// balance is what the choice among loaded targets keeps between events.
type balance struct {
	// steps counts events and choices counts choices; both mark what is computed once.
	steps, choices uint64
	stays          map[model.ServiceID]*stay
	// scored, weights and similar are the memory of choices, used again.
	scored  []scoredTarget
	weights []float64
	similar []*target
	figures BalanceFigures
}

func newBalance() balance { return balance{stays: map[model.ServiceID]*stay{}} }

// regroup rebuilds the groups of targets that could serve the same.
func (s *State) regroup() {
	groups := make(map[groupKey]*loadGroup, len(s.targets))
	for _, list := range s.byService {
		for _, t := range list {
			key := groupKey{t.Service, t.Zone, t.Kind, t.Held}
			g := groups[key]
			if g == nil {
				g = &loadGroup{}
				groups[key] = g
			}
			g.targets = append(g.targets, t)
			t.group, t.others = g, s.loads.Sum(t.ID)
		}
	}
}

// groupOf returns the group of a target with its sums as of this step.
func (s *State) groupOf(now model.Instant, t *target) *loadGroup {
	g := t.group
	if g.step != s.balance.steps || g.at != now {
		g.step, g.at, g.stay = s.balance.steps, now, s.stayOf(t.Service)
		g.sum(now)
		g.unknown = 1 - loadestimate.Weight(g.age, g.stay.whole.Mean())
		g.herd = herdSpread * loadestimate.HerdWidth(g.total, g.age, g.stay.whole.Mean())
	}
	return g
}

func (g *loadGroup) sum(now model.Instant) {
	var sum, settled loadview.Sum
	usable, settledCount := 0, 0
	for _, t := range g.targets {
		sum.Load = sum.Plus(t.others.Load)
		sum.StatedMs += t.others.StatedMs
		if !t.usable(now) {
			continue
		}
		usable++
		if t.starting(now) == 0 {
			settled.Load = settled.Plus(t.others.Load)
			settledCount++
		}
	}
	g.total, g.age = float64(sum.Requests), 0
	g.mean = sum.Times(1 / float64(max(usable, 1)))
	g.settled = settled.Times(1 / float64(max(settledCount, 1)))
	if sum.Requests > 0 {
		g.age = max(0, now.Sub(model.Instant(sum.StatedMs/int64(sum.Requests)*int64(time.Millisecond))))
	}
}

const (
	// minStaters is the number of VMs from whose statements on it is known what is usual.
	minStaters = 4
	// usualFactor and usualSlack bound what a VM states of one target, against the mean over
	// the VMs of its zone.
	usualFactor, usualSlack = 3, 4
)

// plausible returns the loads that a VM states, without impossible counts. What is far more
// on one target than VMs of its zone usually have counts on all targets that could serve the
// same: the sum stays, for the limits of memory and slots, and a VM that states false loads
// keeps the others from no single target.
func (s *State) plausible(now model.Instant, e PeerState) loadview.Loads {
	stated, staters := loadview.Bounded(e.Loads), s.loads.Staters(now)
	if staters < minStaters {
		return stated
	}
	usual := map[model.TargetID]float64{} // of the targets with more
	for id, l := range stated {
		t := s.targets[id]
		if l.Requests <= usualSlack || t == nil || t.group == nil || len(t.group.targets) < 2 {
			continue
		}
		g := s.groupOf(now, t)
		if bound := usualFactor*g.total/float64(staters*len(g.targets)) + usualSlack; float64(l.Requests) > bound {
			usual[id] = bound
		}
	}
	if len(usual) == 0 {
		return stated
	}
	out := maps.Clone(stated)
	for _, id := range slices.Sorted(maps.Keys(usual)) {
		targets := s.targets[id].group.targets
		excess := stated[id].Times(1 - usual[id]/float64(stated[id].Requests))
		out[id] = out[id].Plus(excess.Times(-1))
		for _, t := range targets {
			out[t.ID] = out[t.ID].Plus(excess.Times(1 / float64(len(targets))))
		}
	}
	return out
}

// stayOf returns how long requests of a service stay; zero durations while it is unknown.
func (s *State) stayOf(service model.ServiceID) stay {
	if known := s.balance.stays[service]; known != nil {
		return *known
	}
	return stay{}
}

// recordStay includes a complete request in the moving mean of the stay.
func (s *State) recordStay(now model.Instant, r *request) {
	if len(r.hops) > 0 {
		s.stay(r).whole.Add(now.Sub(r.sentAt))
	}
}

// recordFirst includes the time to a request's first event in its moving mean.
func (s *State) recordFirst(now model.Instant, r *request) {
	s.stay(r).first.Add(now.Sub(r.sentAt))
}

func (s *State) stay(r *request) *stay {
	known := s.balance.stays[r.service.ID]
	if known == nil {
		known = &stay{}
		s.balance.stays[r.service.ID] = known
	}
	return known
}

// estimatedLoad returns the load of all VMs on a target as it is estimated now. Without
// messages of other VMs it is the own load.
func (s *State) estimatedLoad(now model.Instant, t *target) Load {
	if !s.loads.Any(now) || t.group == nil {
		return s.load(now, t)
	}
	g := s.groupOf(now, t)
	load := loadestimate.Estimate(t.ownLoad, t.others.Load, g.age, g.stay.whole.Mean(), g.mean)
	if first := g.stay.first.Mean(); first > 0 && g.age > first {
		// Most of the prompts that were waiting are read, and a rounded rest would outweigh
		// differences of the other counts.
		load.Waiting = t.ownLoad.Waiting + g.mean.Waiting
	}
	return g.started(now, t, load)
}

// starting returns the part of slow start that is left: 1 when the target has just joined or
// recovered, 0 when slow start is over.
func (t *target) starting(now model.Instant) float64 {
	since := max(t.joinedAt, t.layersChangedAt, t.suspectedUntil)
	if elapsed := now.Sub(since); since != 0 && elapsed < slowStart {
		return 1 - max(0, elapsed.Seconds()/slowStart.Seconds())
	}
	return 0
}

// started returns the load of a target with what slow start adds to it.
func (g *loadGroup) started(now model.Instant, t *target, load Load) Load {
	left := t.starting(now)
	if left == 0 {
		return load
	}
	least := g.settled.Times(left)
	load.Requests, load.First = max(load.Requests, least.Requests), max(load.First, least.First)
	load.Waiting = max(load.Waiting, least.Waiting)
	return load
}

// choice is the choice among targets for one send. Its random numbers come from that of the
// request, so that it is the same whenever the same events are applied.
type choice struct {
	state  *State
	now    model.Instant
	random *rand.Rand
	// shared is true when loads of other VMs count, which may choose by the same loads.
	shared bool
	number uint64
	scored []scoredTarget
}

// scoredTarget is a target with its score, which is lower for a better one.
type scoredTarget struct {
	*target
	load  Load
	score float64
}

func (s *State) newChoice(now model.Instant, r *request) *choice {
	s.balance.choices++
	return &choice{
		state: s, now: now, random: rand.New(rand.NewPCG(math.Float64bits(r.random), uint64(r.sends))),
		shared: s.loads.Any(now), number: s.balance.choices, scored: s.balance.scored[:0],
	}
}

// groupNoise returns a random number in [0,1) that all targets of a group share.
func (c *choice) groupNoise(t *target) float64 {
	if t.group.choice != c.number {
		t.group.choice, t.group.noise = c.number, c.random.Float64()
	}
	return t.group.noise
}

// herd returns a random number of requests that others may have sent to the target on the
// same loads.
func (c *choice) herd(t *target) float64 {
	return c.random.Float64() * c.state.groupOf(c.now, t).herd
}

// score adds a target of a plain service with its estimated load and the penalties that it
// has.
func (c *choice) score(t *target, load Load, penalties float64) {
	c.scored = append(c.scored, scoredTarget{target: t, load: load, score: float64(load.Requests)/float64(max(t.Slots, 1)) + penalties})
}

// target returns the target of the lowest score or one that is similar, nil without any.
// Without other VMs it is the first of the lowest score.
func (c *choice) target() *target {
	if c.shared {
		c.spreadScores()
	}
	best := math.Inf(1)
	for i := range c.scored {
		best = min(best, c.scored[i].score)
	}
	memory := &c.state.balance
	weights, similar := memory.weights[:0], memory.similar[:0]
	for i := range c.scored {
		t := &c.scored[i]
		slots := float64(max(t.Slots, 1))
		switch {
		case t.score == best && !c.shared:
			return t.target
		case c.shared && t.score-best < similarRequests/slots:
			weights, similar = append(weights, slots-float64(t.load.Requests)), append(similar, t.target)
		}
	}
	memory.scored, memory.weights, memory.similar = c.scored, weights, similar
	if len(similar) == 0 {
		return nil
	}
	return similar[loadestimate.Pick(weights, c.random.Float64())]
}

// spreadScores adds random numbers to the scores, in proportion to what is not known of the
// loads. A target of another zone is raised only, so that requests leave their zone no
// sooner, and in proportion to the difference of the loads instead of all at once.
func (c *choice) spreadScores() {
	requests := 0.0
	for i := range c.scored {
		t := &c.scored[i]
		requests += float64(t.load.Requests)
	}
	mean := requests / float64(max(len(c.scored), 1))
	for i := range c.scored {
		t := &c.scored[i]
		added := c.herd(t.target)
		if t.Zone != c.state.settings.Zone {
			added += groupSpread * c.groupNoise(t.target) * c.state.groupOf(c.now, t.target).unknown * mean
		}
		t.score += added / float64(max(t.Slots, 1))
	}
}

// costFactor returns the random factor of a holder's cost. Holders of the same layers share
// it: between them their loads decide.
func (c *choice) costFactor(t *target) float64 {
	if !c.shared {
		return 1 - costNoise + 2*costNoise*c.random.Float64()
	}
	return (1 - costNoise + 2*costNoise*c.groupNoise(t)) * (1 + tieNoise*c.random.Float64())
}

// spread returns a load with what others may have sent to the target on the same loads.
func (c *choice) spread(t *target, load Load) Load {
	if !c.shared {
		return load
	}
	unseen := int(c.herd(t))
	load.Requests += unseen
	if t.Slots > 0 {
		load.First = max(load.First, min(load.First+unseen, t.Slots-1)) // it still has a slot
	}
	return load
}

// layerHolderCost returns the cost of one layer on a target; see layerCost.
func (c *choice) layerHolderCost(engine *fleet.Engine, t *target, load Load, used float64) float64 {
	return layerCost(engine, t, load, used) * t.slowness(c.now) * c.costFactor(t)
}
