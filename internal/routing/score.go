package routing

import (
	"time"

	"tamarackreach/internal/targets"
)

const (
	// PaceTarget is the time between tokens that the slots of a target are
	// counted for; it lies under the pace promised to callers, because single
	// tokens spread around it.
	PaceTarget = 40 * time.Millisecond
	// defaultLink is the latency of a link that no engine has reported.
	defaultLink = 200 * time.Microsecond
	// prefillBytes is the number of prompt bytes that one step's time covers.
	prefillBytes = 512
	// leastStep stands in for a step time of zero.
	leastStep = time.Microsecond
	// joinWait is the part of a step that passes until a running batch ends.
	joinWait = 0.5
	// fullPenalty is the time per token that a full target counts for, so that
	// it is picked only when nothing else is left.
	fullPenalty = time.Second
	// crowdingWeight is the part by which a token's time counts for more on a
	// target whose even part of slots is in use.
	crowdingWeight = 2.0
	// maxHerd is the number of entry VMs that are taken to send the same at the
	// same moment; more draw different candidates.
	maxHerd = 4.0
	// reliefLoad is the reported load up to which a target's other slots are
	// taken for free and lent to this node.
	reliefLoad = 0.85
	// busyJobs is the number of jobs, in batches, that a target working at its
	// full speed has on average: one running, half a batch waiting.
	busyJobs = 1.5
)

// score computes the expected time of the whole answer at each candidate.
func (g *graph) score() {
	for i := range g.candidates {
		c := &g.candidates[i]
		c.token = g.tokenTime(c.target)
		c.prefill = g.prefillTime(c.target)
		fullness := g.fullness(c.target, PaceTarget)
		crowding := float64(c.target.InFlight) / g.evenPart(c.target, PaceTarget)
		weighed := time.Duration(float64(c.token) * (1 + crowdingWeight*crowding))
		if fullness >= 1 {
			weighed += fullPenalty
		}
		c.own = time.Duration(g.tokens)*weighed + c.prefill
	}
}

// tokenTime is the expected time of one token at a target: a step and the wait
// for the running batch to end, or, by Little's law, the jobs there over the
// jobs that the target finishes per second.
func (g *graph) tokenTime(target *targets.Target) time.Duration {
	batch := float64(max(target.MaxBatch, 1))
	jobs := g.jobs(target)
	steps := max(1+joinWait*min(1, jobs), jobs/batch)
	return time.Duration(steps * float64(step(target)))
}

// jobs is the expected number of jobs at a target: the reported average, and
// what this node started or ended since, taken for what some other entry VMs do
// as well. A request has a job at one of its targets at a time.
func (g *graph) jobs(target *targets.Target) float64 {
	hops := float64(max(len(g.request.Pipeline.Stages), 1))
	since := float64(target.InFlight) - target.InFlightAverage
	return max(0, target.LoadAverage+since*min(g.nodes, maxHerd)/hops)
}

func idleTime(target *targets.Target) time.Duration {
	return time.Duration((1 + joinWait) * float64(step(target)))
}

func step(target *targets.Target) time.Duration { return max(target.StepTime, leastStep) }

// prefillTime is the time to compute the prompt; a cached prefix saves it.
func (g *graph) prefillTime(target *targets.Target) time.Duration {
	if g.request.PrefixKey != "" && target.Cache[g.request.PrefixKey] {
		return 0
	}
	steps := (g.request.PromptBytes + prefillBytes - 1) / prefillBytes
	return time.Duration(steps) * step(target)
}

// fullness is the part of this node's slots of a target that is in use. A
// target that steps max_batch tokens at once keeps up with max_batch * pace /
// step_time requests at that pace. Each entry VM counts on an even part of
// them, which keeps their sum within the target's speed without a message; what
// a target's reports show to be free is lent to those who ask.
func (g *graph) fullness(target *targets.Target, pace time.Duration) float64 {
	batch := float64(max(target.MaxBatch, 1))
	load := target.LoadAverage / (busyJobs * batch)
	relief := g.nodes
	if load > 0 {
		relief = min(max(reliefLoad/load, 1), g.nodes)
	}
	return float64(target.InFlight) / (g.evenPart(target, pace) * relief)
}

// evenPart is this node's part of a target's slots when all entry VMs send the
// same; it is at least one.
func (g *graph) evenPart(target *targets.Target, pace time.Duration) float64 {
	slots := float64(max(target.MaxBatch, 1)) * float64(pace) / float64(step(target))
	return max(slots/g.nodes, 1)
}

func link(from, to *targets.Target) time.Duration {
	if latency, ok := from.Links[to.ID]; ok {
		return latency
	}
	return defaultLink
}
