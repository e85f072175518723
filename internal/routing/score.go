package routing

import (
	"time"

	"tamarackreach/internal/targets"
)

const (
	// plannedTokenInterval is the inter-token time from which the number of
	// concurrency slots of a target is computed. It is below the one promised to
	// callers, because the times of single tokens vary around it.
	plannedTokenInterval = 40 * time.Millisecond
	// defaultLinkLatency is the latency assumed for a link that no engine has
	// reported.
	defaultLinkLatency = 200 * time.Microsecond
	// prefillBytesPerStep is the number of prompt bytes prefilled in the time of
	// one decode step.
	prefillBytesPerStep = 512
	// minStepTime is the least step time; it replaces a reported step time of 0.
	minStepTime = time.Microsecond
	// batchWaitSteps is the expected wait for the running batch to end, in steps.
	batchWaitSteps = 0.5
	// fullPenalty is added to the time per token of a full target, so that it is
	// selected only when no other target is left.
	fullPenalty = time.Second
	// utilisationWeight is the relative increase of the time per token at a target
	// on which this node's even share of the slots is in use.
	utilisationWeight = 2.0
	// maxCorrelatedNodes is the number of entry VMs that are assumed to route to
	// the same target at the same time; further ones sample other candidates.
	maxCorrelatedNodes = 4.0
	// lendingLoadLimit is the reported load below which slots of other nodes are
	// assumed to be idle and lent to this node.
	lendingLoadLimit = 0.85
	// saturatedJobBatches is the average number of jobs, in batches, at a
	// saturated target: one batch running and half a batch queued.
	saturatedJobBatches = 1.5
)

// scoreCandidates estimates the weighted time of the whole answer at each
// candidate.
func (g *graph) scoreCandidates() {
	for i := range g.candidates {
		c := &g.candidates[i]
		c.perToken = g.tokenTime(c.target)
		c.prefill = g.prefillTime(c.target)
		utilisation := g.utilisation(c.target, plannedTokenInterval)
		load := float64(c.target.InFlight) / g.evenShare(c.target, plannedTokenInterval)
		weighted := time.Duration(float64(c.perToken) * (1 + utilisationWeight*load))
		if utilisation >= 1 {
			weighted += fullPenalty
		}
		c.ownCost = time.Duration(g.tokens)*weighted + c.prefill
	}
}

// tokenTime returns the expected time of one token at a target. It is the larger
// of one step plus the wait for the running batch and, by Little's law, the
// number of jobs at the target divided by its throughput.
func (g *graph) tokenTime(target *targets.Target) time.Duration {
	batch := float64(max(target.MaxBatch, 1))
	jobs := g.jobs(target)
	steps := max(1+batchWaitSteps*min(1, jobs), jobs/batch)
	return time.Duration(steps * float64(stepTime(target)))
}

// jobs returns the expected number of jobs at a target: the reported
// average plus the deviation of this node's in-flight requests from their average
// at the times of those reports. The deviation is scaled by the number of entry VMs that are
// assumed to act alike, and divided by the number of hops, because a request has a
// job at only one of its targets at a time.
func (g *graph) jobs(target *targets.Target) float64 {
	hops := float64(max(len(g.request.Pipeline.Stages), 1))
	deviation := float64(target.InFlight) - target.InFlightAverage
	return max(0, target.LoadAverage+deviation*min(g.nodes, maxCorrelatedNodes)/hops)
}

// idleTokenTime returns the expected time of one token at a target without
// queued jobs: one step and the wait for the running batch.
func idleTokenTime(target *targets.Target) time.Duration {
	return time.Duration((1 + batchWaitSteps) * float64(stepTime(target)))
}

func stepTime(target *targets.Target) time.Duration { return max(target.StepTime, minStepTime) }

// prefillTime returns the time to prefill the prompt; it is 0 when the target
// has the prefix cached.
func (g *graph) prefillTime(target *targets.Target) time.Duration {
	if g.request.PrefixKey != "" && target.Cache[g.request.PrefixKey] {
		return 0
	}
	steps := (g.request.PromptBytes + prefillBytesPerStep - 1) / prefillBytesPerStep
	return time.Duration(steps) * stepTime(target)
}

// utilisation returns the part of this node's slots at a target that is in use.
// A target that decodes max_batch tokens per step sustains max_batch * interval /
// step_time concurrent requests at that inter-token time. Each entry VM uses an
// even share of these slots, which keeps the sum within the throughput of the
// target without messages between nodes. Slots that are idle according to the
// reports of the target are lent to any node that needs them.
func (g *graph) utilisation(target *targets.Target, interval time.Duration) float64 {
	batch := float64(max(target.MaxBatch, 1))
	load := target.LoadAverage / (saturatedJobBatches * batch)
	lending := g.nodes
	if load > 0 {
		lending = min(max(lendingLoadLimit/load, 1), g.nodes)
	}
	return float64(target.InFlight) / (g.evenShare(target, interval) * lending)
}

// evenShare returns this node's share of the slots of a target, split evenly
// among the entry VMs; it is at least one slot.
func (g *graph) evenShare(target *targets.Target, interval time.Duration) float64 {
	slots := float64(max(target.MaxBatch, 1)) * float64(interval) / float64(stepTime(target))
	return max(slots/g.nodes, 1)
}

// linkLatency returns the reported latency of a link, or defaultLinkLatency.
func linkLatency(from, to *targets.Target) time.Duration {
	if latency, ok := from.Links[to.ID]; ok {
		return latency
	}
	return defaultLinkLatency
}
