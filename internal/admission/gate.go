package admission

import (
	"math"
	"time"

	"tamarackreach/internal/model"
)

const (
	// constrainedFor is how long a workspace counts as wanting more after a
	// refusal.
	constrainedFor = 2 * time.Second
	// rateWindow is the time constant of the rates of refusals and ends.
	rateWindow = 5 * time.Second
	// leastRetry and mostRetry bound when a refused caller may come back.
	leastRetry = 250 * time.Millisecond
	mostRetry  = 10 * time.Second
	// maxWeight bounds a workspace's weight, so that sums stay exact.
	maxWeight = 1_000_000_000
)

// gate is the admission state of one pipeline.
type gate struct {
	// held counts the requests in progress by workspace.
	held map[model.WorkspaceID]uint64
	// constrained holds the workspaces that were refused slots of late.
	constrained map[model.WorkspaceID]constraint
	refused     rate
	ended       rate
}

type constraint struct {
	until  model.Instant
	weight uint64
}

func newGate() *gate {
	return &gate{
		held:        make(map[model.WorkspaceID]uint64),
		constrained: make(map[model.WorkspaceID]constraint),
	}
}

// judge returns the reason for a refusal, 0 for none.
func (g *gate) judge(now model.Instant, ask Ask) Reason {
	switch {
	case ask.FirstToken > ask.Within:
		return Deadline
	case ask.Fullness >= 1 || ask.PerToken > max(TokenPace, ask.IdlePerToken):
		return Pace
	case ask.Fullness >= reserveFrom && !g.underFairPart(now, ask):
		return FairPart
	}
	return 0
}

// underFairPart compares the workspace's requests in progress with its weighted
// part of those of all workspaces that want more than they have. A workspace
// that gets all it asks for is not among them, so that what it leaves over goes
// to the others; of those that are, one is always at or under its part, so that
// the last slots do not stay free.
func (g *gate) underFairPart(now model.Instant, ask Ask) bool {
	own, ownWeight := g.held[ask.Workspace], weight(ask)
	held, weights := own, ownWeight
	for id, constraint := range g.constrained {
		if id == ask.Workspace || constraint.until <= now {
			continue
		}
		held += g.held[id]
		weights += constraint.weight
	}
	return own*weights <= held*ownWeight
}

func (g *gate) constrain(now model.Instant, ask Ask) {
	g.constrained[ask.Workspace] = constraint{until: now.Add(constrainedFor), weight: weight(ask)}
}

func weight(ask Ask) uint64 {
	return max(1, min(maxWeight, uint64(ask.Share)*(1+uint64(ask.Priority))))
}

// drain is the expected time until a slot is free for one more of those that
// were refused: those before it come back as well.
func (g *gate) drain(now model.Instant) time.Duration {
	ends := g.ended.perSecond(now)
	if ends == 0 {
		return leastRetry
	}
	wait := time.Duration(g.refused.perSecond(now) / ends * float64(time.Second))
	return min(max(wait, leastRetry), mostRetry)
}

// rate is an exponentially decaying count of events.
type rate struct {
	count float64
	at    model.Instant
}

func (r *rate) decay(now model.Instant) {
	r.count *= math.Exp(-now.Sub(r.at).Seconds() / rateWindow.Seconds())
	r.at = now
}

func (r *rate) add(now model.Instant) {
	r.decay(now)
	r.count++
}

func (r *rate) perSecond(now model.Instant) float64 {
	r.decay(now)
	return r.count / rateWindow.Seconds()
}
