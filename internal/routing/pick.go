package routing

import (
	"slices"
	"time"

	"tamarackreach/internal/model"
	"tamarackreach/internal/targets"
)

// candidate is a target that could serve a layer range, with the shortest path
// to it from the first layer.
type candidate struct {
	target *targets.Target
	// perToken and prefill are the expected times of one token and of the
	// prefill of the prompt.
	perToken, prefill time.Duration
	// ownCost is the weighted time of the whole answer at the target.
	ownCost time.Duration
	// pathCost is the weighted time of the shortest path from the first layer to
	// the end of this range; it is valid if reachable is true.
	pathCost  time.Duration
	reachable bool
	// previous and first are the indexes of the preceding and of the first
	// candidate of the shortest path; previous is -1 at the start.
	previous, first int
}

// graph has the layer boundaries of a model as nodes and candidates as edges.
type graph struct {
	table      *targets.Table
	request    *Request
	tokens     int64
	nodes      float64
	candidates []candidate
	// spans are sorted by first layer, so that every span comes after those that
	// end where it begins.
	spans []span
}

// layers returns the layer boundary at the end of the model.
func (g *graph) layers() uint32 {
	stages := g.request.Pipeline.Stages
	if len(stages) == 0 {
		return 0
	}
	return stages[len(stages)-1].Layers.End
}

// shortest returns the index of the last candidate of the shortest chain. The
// cost includes the link back to the first target, which every token but the
// first traverses.
func (g *graph) shortest() (best int, ok bool) {
	shortest := time.Duration(0)
	for i := range g.spans {
		g.relax(i)
		if g.spans[i].layers.End != g.layers() {
			continue
		}
		for at := g.spans[i].from; at < g.spans[i].to; at++ {
			c := &g.candidates[at]
			if !c.reachable {
				continue
			}
			pathCost := c.pathCost + g.linkCost(c, &g.candidates[c.first])
			if !ok || pathCost < shortest {
				best, shortest, ok = at, pathCost, true
			}
		}
	}
	return best, ok
}

// relax computes the shortest path to each candidate of a span.
func (g *graph) relax(index int) {
	s := g.spans[index]
	if s.layers.First == 0 {
		for at := s.from; at < s.to; at++ {
			c := &g.candidates[at]
			c.pathCost, c.reachable, c.previous, c.first = c.ownCost, true, -1, at
		}
		return
	}
	for _, before := range g.spans[:index] {
		if before.layers.End == s.layers.First {
			g.relaxEdges(before, s)
		}
	}
}

// relaxEdges updates the shortest paths to the candidates of s over those of
// before, whose range ends where that of s begins.
func (g *graph) relaxEdges(before, s span) {
	for at := s.from; at < s.to; at++ {
		c := &g.candidates[at]
		for j := before.from; j < before.to; j++ {
			p := &g.candidates[j]
			if !p.reachable {
				continue
			}
			pathCost := p.pathCost + c.ownCost + g.linkCost(p, c)
			if !c.reachable || pathCost < c.pathCost {
				c.pathCost, c.reachable, c.previous, c.first = pathCost, true, j, p.first
			}
		}
	}
}

// linkCost returns the time that the tokens of the whole answer spend on a link;
// it is 0 for a chain of one target, which has no links.
func (g *graph) linkCost(from, to *candidate) time.Duration {
	if from == to {
		return 0
	}
	return time.Duration(g.tokens) * linkLatency(from.target, to.target)
}

// path returns the indexes of the candidates of the shortest path to last.
func (g *graph) path(last int) []int {
	var path []int
	for at := last; at >= 0; at = g.candidates[at].previous {
		path = append(path, at)
	}
	slices.Reverse(path)
	return path
}

// chain returns the hops of a path with their expected times summed up.
func (g *graph) chain(path []int) Chain {
	chain := Chain{Hops: make([]model.Hop, 0, len(path))}
	prefill := time.Duration(0)
	for i, at := range path {
		c := &g.candidates[at]
		next := &g.candidates[path[(i+1)%len(path)]]
		chain.Hops = append(chain.Hops, hop(c.target))
		chain.IdlePerToken += idleTokenTime(c.target)
		chain.PerToken += c.perToken
		if c != next {
			chain.IdlePerToken += linkLatency(c.target, next.target)
			chain.PerToken += linkLatency(c.target, next.target)
		}
		prefill = max(prefill, c.prefill)
	}
	chain.FirstToken = prefill + chain.PerToken
	interval := max(plannedTokenInterval, chain.IdlePerToken)
	for _, at := range path {
		chain.Utilisation = max(chain.Utilisation, g.utilisation(g.candidates[at].target, interval))
	}
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
