// Package routing picks a chain of targets for a request. It works in three
// steps: filter takes a bounded set of candidates for each layer range, score
// gives each the time that a token is expected to spend there, and pick finds
// the chain with the shortest expected completion over the layer boundaries.
package routing

import (
	"math/rand/v2"
	"time"

	"tamarackreach/internal/model"
	"tamarackreach/internal/settings"
	"tamarackreach/internal/targets"
)

// defaultTokens is the answer length that is planned for when none is stated.
const defaultTokens = 64

// Request is what routing needs to know of a model request.
type Request struct {
	Pipeline  *settings.Pipeline
	PrefixKey string
	// PromptBytes is the length of the prompt that targets have to compute.
	PromptBytes int
	// Tokens is the length of the answer.
	Tokens uint32
	// Zone is this node's zone; its targets come first.
	Zone model.AvailabilityZone
	// Nodes is the number of entry VMs that send to the same targets.
	Nodes uint32
	// Rand draws candidates from large groups; nil takes the first.
	Rand *rand.Rand
	// Avoid holds targets that must not be used.
	Avoid map[model.TargetID]bool
	// Keep holds, by position in the chain, targets that must be used again.
	Keep map[int]model.TargetID
}

// Chain is a picked chain with its expected times.
type Chain struct {
	Hops []model.Hop
	// FirstToken is the expected time to the first token.
	FirstToken time.Duration
	// PerToken is the expected time between tokens.
	PerToken time.Duration
	// IdlePerToken is the time between tokens when nothing else runs.
	IdlePerToken time.Duration
	// Fullness is the part of this node's slots that is in use on the fullest
	// target of the chain; from 1 on the chain takes no more.
	Fullness float64
}

// Pick returns the chain with the shortest expected completion; ok is false
// when the usable targets do not join up to the whole model.
func Pick(table *targets.Table, request *Request) (chain Chain, ok bool) {
	g := newGraph(table, request)
	best, ok := g.shortest()
	if !ok {
		return Chain{}, false
	}
	return g.chain(g.path(best)), true
}

func newGraph(table *targets.Table, request *Request) *graph {
	g := &graph{
		table:   table,
		request: request,
		tokens:  int64(request.Tokens),
		nodes:   float64(max(request.Nodes, 1)),
	}
	if g.tokens == 0 {
		g.tokens = defaultTokens
	}
	g.filter()
	g.score()
	return g
}
