package routing

import (
	"slices"
	"time"

	"tamarackreach/internal/model"
	"tamarackreach/internal/targets"
)

// candidate is a target that could hold a layer range, with the shortest way to
// it from the first layer.
type candidate struct {
	target *targets.Target
	// token and prefill are the expected times of a token and of the prompt.
	token, prefill time.Duration
	// own is the weighed time of the whole answer at the target.
	own time.Duration
	// reach is the weighed time from the first layer to the end of this range.
	reach   time.Duration
	reached bool
	// previous and first are the candidates before this one and at the start of
	// the shortest way; previous is -1 at the start.
	previous, first int
}

// graph is the layer boundaries of a model, joined by candidates.
type graph struct {
	table      *targets.Table
	request    *Request
	tokens     int64
	nodes      float64
	candidates []candidate
	// spans are in the order of their first layer, so that every span comes
	// after those that end where it starts.
	spans []span
}

// layers is the boundary at the end of the model.
func (g *graph) layers() uint32 {
	stages := g.request.Pipeline.Stages
	if len(stages) == 0 {
		return 0
	}
	return stages[len(stages)-1].Layers.End
}

// shortest returns the last candidate of the shortest chain. Its cost includes
// the link back to the first target, which every token but the first travels.
func (g *graph) shortest() (best int, ok bool) {
	shortest := time.Duration(0)
	for i := range g.spans {
		g.relax(i)
		if g.spans[i].layers.End != g.layers() {
			continue
		}
		for at := g.spans[i].from; at < g.spans[i].to; at++ {
			c := &g.candidates[at]
			if !c.reached {
				continue
			}
			reach := c.reach + g.linkTime(c, &g.candidates[c.first])
			if !ok || reach < shortest {
				best, shortest, ok = at, reach, true
			}
		}
	}
	return best, ok
}

// relax computes the shortest way to each candidate of a span.
func (g *graph) relax(index int) {
	s := g.spans[index]
	if s.layers.First == 0 {
		for at := s.from; at < s.to; at++ {
			c := &g.candidates[at]
			c.reach, c.reached, c.previous, c.first = c.own, true, -1, at
		}
		return
	}
	for _, before := range g.spans[:index] {
		if before.layers.End == s.layers.First {
			g.join(before, s)
		}
	}
}

func (g *graph) join(before, s span) {
	for at := s.from; at < s.to; at++ {
		c := &g.candidates[at]
		for j := before.from; j < before.to; j++ {
			p := &g.candidates[j]
			if !p.reached {
				continue
			}
			reach := p.reach + c.own + g.linkTime(p, c)
			if !c.reached || reach < c.reach {
				c.reach, c.reached, c.previous, c.first = reach, true, j, p.first
			}
		}
	}
}

// linkTime is the time that the tokens of the whole answer spend on a link; a
// chain of one target has none.
func (g *graph) linkTime(from, to *candidate) time.Duration {
	if from == to {
		return 0
	}
	return time.Duration(g.tokens) * link(from.target, to.target)
}

// path returns the candidates of the way to the last one.
func (g *graph) path(last int) []int {
	var path []int
	for at := last; at >= 0; at = g.candidates[at].previous {
		path = append(path, at)
	}
	slices.Reverse(path)
	return path
}

// chain adds up what is expected of a path.
func (g *graph) chain(path []int) Chain {
	chain := Chain{Hops: make([]model.Hop, 0, len(path))}
	prefill := time.Duration(0)
	for i, at := range path {
		c := &g.candidates[at]
		next := &g.candidates[path[(i+1)%len(path)]]
		chain.Hops = append(chain.Hops, hop(c.target))
		chain.IdlePerToken += idleTime(c.target)
		chain.PerToken += c.token
		if c != next {
			chain.IdlePerToken += link(c.target, next.target)
			chain.PerToken += link(c.target, next.target)
		}
		prefill = max(prefill, c.prefill)
	}
	chain.FirstToken = prefill + chain.PerToken
	pace := max(PaceTarget, chain.IdlePerToken)
	for _, at := range path {
		chain.Fullness = max(chain.Fullness, g.fullness(g.candidates[at].target, pace))
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
