// Package routing picks a chain of targets for a request: candidates are
// filtered for each stage, scored by expected time, and the chain with the
// shortest expected completion is picked.
package routing

import (
	"slices"
	"time"

	"tamarackreach/internal/model"
	"tamarackreach/internal/settings"
	"tamarackreach/internal/targets"
)

// defaultLink is the cost of a link that no engine has reported.
const defaultLink = 200 * time.Microsecond

// cacheHitFactor scales the wait at a target that holds the prompt's prefix.
const cacheHitFactor = 0.5

// Request is what routing needs to know of a model request.
type Request struct {
	Pipeline  *settings.Pipeline
	PrefixKey string
	// Avoid holds targets that must not be used.
	Avoid map[model.TargetID]bool
	// Keep holds, by stage, targets that must be used again.
	Keep map[int]model.TargetID
}

// Chain is a picked chain with its expected times.
type Chain struct {
	Hops []model.Hop
	// FirstToken is the expected time to the first token.
	FirstToken time.Duration
	// PerToken is the expected time between tokens.
	PerToken time.Duration
}

// candidate is a target that could hold a stage, with its best chain so far.
type candidate struct {
	target *targets.Target
	// reach is the expected time from the start to the end of this stage.
	reach time.Duration
	// previous is the index of the best candidate of the stage before.
	previous int
}

// Pick returns the chain with the shortest expected completion; ok is false
// when some stage has no usable target.
func Pick(table *targets.Table, request *Request) (chain Chain, ok bool) {
	stages := make([][]candidate, len(request.Pipeline.Stages))
	for i, stage := range request.Pipeline.Stages {
		stages[i] = filter(table, request, i, stage)
		if len(stages[i]) == 0 {
			return Chain{}, false
		}
		relax(stages, i, request.PrefixKey)
	}
	return trace(stages), true
}

// filter returns the targets that may run the stage.
func filter(table *targets.Table, request *Request, index int, stage settings.Stage) []candidate {
	candidates := make([]candidate, 0, len(stage.Targets))
	keep, mustKeep := request.Keep[index]
	for _, id := range stage.Targets {
		target, known := table.Get(id)
		if !known || !holds(target, request.Pipeline, stage) || request.Avoid[id] {
			continue
		}
		if mustKeep && id != keep || !mustKeep && !target.Usable() {
			continue
		}
		candidates = append(candidates, candidate{target: target})
	}
	return candidates
}

// holds is true when the target reported that it holds what the stage needs.
func holds(target *targets.Target, pipeline *settings.Pipeline, stage settings.Stage) bool {
	return target.Model == pipeline.Model && target.Version == pipeline.Version && target.Layers == stage.Layers
}

// relax computes the shortest way to each candidate of a stage.
func relax(stages [][]candidate, index int, prefixKey string) {
	for i := range stages[index] {
		current := &stages[index][i]
		own := score(current.target, prefixKey)
		if index == 0 {
			current.reach = own
			continue
		}
		best := time.Duration(-1)
		for j := range stages[index-1] {
			before := &stages[index-1][j]
			reach := before.reach + link(before.target, current.target) + own
			if best < 0 || reach < best {
				best = reach
				current.previous = j
			}
		}
		current.reach = best
	}
}

// score is the expected time that a request spends at a target.
func score(target *targets.Target, prefixKey string) time.Duration {
	load := float64(target.Queued + target.Running + target.SentSince)
	batch := float64(max(target.MaxBatch, 1))
	wait := load / batch
	if prefixKey != "" && target.Cache[prefixKey] {
		wait *= cacheHitFactor
	}
	return time.Duration((1 + wait) * float64(target.StepTime))
}

func link(from, to *targets.Target) time.Duration {
	if latency, ok := from.Links[to.ID]; ok {
		return latency
	}
	return defaultLink
}

// trace walks back from the best candidate of the last stage.
func trace(stages [][]candidate) Chain {
	last := len(stages) - 1
	best := 0
	for i := range stages[last] {
		if stages[last][i].reach < stages[last][best].reach {
			best = i
		}
	}
	chain := Chain{FirstToken: stages[last][best].reach}
	for i := last; i >= 0; i-- {
		picked := &stages[i][best]
		chain.Hops = append(chain.Hops, hop(picked.target))
		chain.PerToken += picked.target.StepTime
		best = picked.previous
	}
	slices.Reverse(chain.Hops)
	return chain
}

func hop(target *targets.Target) model.Hop {
	return model.Hop{
		Target:      target.ID,
		Incarnation: target.Incarnation,
		Address:     target.Address,
		Layers:      target.Layers,
		Rebuild:     true,
	}
}
