package admission

import (
	"math"
	"time"

	"tamarackreach/internal/model"
)

const (
	// backloggedFor is how long after a refusal a workspace counts as having
	// unmet demand.
	backloggedFor = 2 * time.Second
	// rateWindow is the time constant of the rates of refusals and completions.
	rateWindow = 5 * time.Second
	// minRetryAfter and maxRetryAfter bound the retry delay of a refusal.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// maxWeight bounds a workspace's weight, so that sums of products do not
	// overflow.
	maxWeight = 1_000_000_000
)

// pipelineState is the admission state of one pipeline.
type pipelineState struct {
	// inFlight is the number of requests in progress by workspace.
	inFlight map[model.WorkspaceID]uint64
	// backlogged holds the workspaces that were recently refused slots.
	backlogged map[model.WorkspaceID]backlog
	refused    rate
	ended      rate
}

type backlog struct {
	until  model.Instant
	weight uint64
}

func newPipelineState() *pipelineState {
	return &pipelineState{
		inFlight:   make(map[model.WorkspaceID]uint64),
		backlogged: make(map[model.WorkspaceID]backlog),
	}
}

// check returns the reason to refuse the request, or 0 to admit it.
func (g *pipelineState) check(now model.Instant, request RequestInfo) Reason {
	switch {
	case request.FirstToken > request.Within:
		return Deadline
	case request.Utilisation >= 1 || request.PerToken > max(MaxTimePerToken, request.IdlePerToken):
		return Saturated
	case request.Utilisation >= reserveThreshold && !g.underFairShare(now, request):
		return FairShare
	}
	return 0
}

// underFairShare is true if the workspace has at most its weighted share of the
// requests in progress of all backlogged workspaces. A workspace whose demand is
// met does not count, so that the slots it does not use go to the others. At least
// one backlogged workspace is always at or below its share, so that the last slots
// do not stay idle.
func (g *pipelineState) underFairShare(now model.Instant, request RequestInfo) bool {
	own, ownWeight := g.inFlight[request.Workspace], weight(request)
	inFlight, weights := own, ownWeight
	for id, other := range g.backlogged {
		if id == request.Workspace || other.until <= now {
			continue
		}
		inFlight += g.inFlight[id]
		weights += other.weight
	}
	return own*weights <= inFlight*ownWeight
}

func (g *pipelineState) markBacklogged(now model.Instant, request RequestInfo) {
	g.backlogged[request.Workspace] = backlog{until: now.Add(backloggedFor), weight: weight(request)}
}

func weight(request RequestInfo) uint64 {
	return max(1, min(maxWeight, uint64(request.Share)*(1+uint64(request.Priority))))
}

// expectedWait returns the expected time until a slot is free for one more refused
// request, given that those refused before it retry as well.
func (g *pipelineState) expectedWait(now model.Instant) time.Duration {
	ends := g.ended.perSecond(now)
	if ends == 0 {
		return minRetryAfter
	}
	wait := time.Duration(g.refused.perSecond(now) / ends * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// rate is an exponentially decaying count of events.
type rate struct {
	count   float64
	updated model.Instant
}

func (r *rate) decay(now model.Instant) {
	r.count *= math.Exp(-now.Sub(r.updated).Seconds() / rateWindow.Seconds())
	r.updated = now
}

func (r *rate) add(now model.Instant) {
	r.decay(now)
	r.count++
}

func (r *rate) perSecond(now model.Instant) float64 {
	r.decay(now)
	return r.count / rateWindow.Seconds()
}
