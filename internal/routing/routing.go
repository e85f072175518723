// Package routing selects a chain of targets for a model request in three
// steps. collectCandidates samples a bounded set of targets for each layer
// range, scoreCandidates estimates the time that the answer spends at each, and
// shortest finds the chain with the least expected completion time in the graph
// whose nodes are the layer boundaries and whose edges are the candidates.
package routing

import (
	"math/rand/v2"
	"time"

	"tamarackreach/internal/model"
	"tamarackreach/internal/settings"
	"tamarackreach/internal/targets"
)

// defaultTokens is the answer length assumed when the request states none.
const defaultTokens = 64

// Request describes a model request for routing.
type Request struct {
	Pipeline  *settings.Pipeline
	PrefixKey string
	// PromptBytes is the length of the prompt that targets have to prefill.
	PromptBytes int
	// Tokens is the expected length of the answer; 0 stands for defaultTokens.
	Tokens uint32
	// Zone is this node's zone, whose targets are preferred as candidates.
	Zone model.AvailabilityZone
	// Nodes is the number of entry VMs that send to the same targets.
	Nodes uint32
	// Rand samples candidates from large groups; nil takes the first ones.
	Rand *rand.Rand
	// Avoid holds the targets that must not be used.
	Avoid map[model.TargetID]bool
	// Keep holds the targets that must be used again, keyed by their position in
	// the chain.
	Keep map[int]model.TargetID
}

// Chain is a selected chain with its expected times.
type Chain struct {
	Hops []model.Hop
	// FirstToken is the expected time to the first token.
	FirstToken time.Duration
	// PerToken is the expected time between tokens.
	PerToken time.Duration
	// IdlePerToken is the expected time between tokens on idle targets.
	IdlePerToken time.Duration
	// Utilisation is the fraction of this node's concurrency slots in use at the
	// most utilised target of the chain; at 1 or more the chain is full.
	Utilisation float64
}

// Pick returns the chain with the least expected completion time. ok is false
// when the usable targets do not cover all layers of the model.
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
	g.collectCandidates()
	g.scoreCandidates()
	return g
}
