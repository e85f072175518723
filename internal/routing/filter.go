package routing

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tamarackreach/internal/model"
	"tamarackreach/internal/targets"
)

const (
	// spanCandidates is the most targets that are looked at for a layer range.
	spanCandidates = 16
	// remoteCandidates is how many of them are of other zones, if there are.
	remoteCandidates = 4
)

// span is the candidates that hold the same layers: graph.candidates[from:to].
type span struct {
	layers   model.LayerRange
	from, to int
}

// filter collects the candidates of every layer range, in the order of the
// ranges. A range that overlaps a kept target's is left to that target.
func (g *graph) filter() {
	pool := g.table.Pool(g.request.Pipeline)
	g.candidates = make([]candidate, 0, spanCandidates*max(len(g.request.Pipeline.Stages), 1))
	if !g.keep() {
		return
	}
	kept := len(g.spans)
	for at := 0; at < len(pool.Groups); {
		end := at + 1
		for end < len(pool.Groups) && pool.Groups[end].Layers == pool.Groups[at].Layers {
			end++
		}
		if !overlapsAny(g.spans[:kept], pool.Groups[at].Layers) {
			g.fill(pool.Groups[at:end])
		}
		at = end
	}
	slices.SortStableFunc(g.spans, func(a, b span) int { return cmp.Compare(a.layers.First, b.layers.First) })
}

// keep makes each kept target the only candidate for its layers. Kept targets
// hold the request's state, so that they may be used when they get no new work;
// keep is false when one of them cannot be used.
func (g *graph) keep() bool {
	for _, position := range slices.Sorted(maps.Keys(g.request.Keep)) {
		id := g.request.Keep[position]
		target, known := g.table.Get(id)
		if !known || g.request.Avoid[id] || !g.matches(target.Model, target.Version) {
			g.spans = nil
			return false
		}
		from := len(g.candidates)
		g.candidates = append(g.candidates, candidate{target: target})
		g.spans = append(g.spans, span{layers: target.Layers, from: from, to: from + 1})
	}
	return true
}

func overlapsAny(spans []span, layers model.LayerRange) bool {
	return slices.ContainsFunc(spans, func(s span) bool {
		return layers.First < s.layers.End && s.layers.First < layers.End
	})
}

func (g *graph) matches(name model.ModelName, version model.ModelVersion) bool {
	return name == g.request.Pipeline.Model && version == g.request.Pipeline.Version
}

// fill adds the span of groups that hold the same layers: this node's zone
// first, then an even part of each other zone.
func (g *graph) fill(groups []*targets.Group) {
	s := span{layers: groups[0].Layers, from: len(g.candidates)}
	remote := 0
	for _, group := range groups {
		if group.Zone != g.request.Zone {
			remote += len(group.IDs)
		}
	}
	limit := s.from + spanCandidates
	for _, group := range groups {
		if group.Zone == g.request.Zone {
			g.draw(group, s.from, limit-min(remoteCandidates, remote))
		}
	}
	for _, group := range groups {
		if group.Zone != g.request.Zone && remote > 0 {
			room := limit - len(g.candidates)
			part := (room*len(group.IDs) + remote - 1) / remote
			g.draw(group, s.from, len(g.candidates)+part)
			remote -= len(group.IDs)
		}
	}
	s.to = len(g.candidates)
	if s.to > s.from {
		g.spans = append(g.spans, s)
	}
}

// draw adds usable targets of a group until there are limit candidates. A
// random start and a stride without a common factor with the group's size visit
// each target at most once without a copy of the group.
func (g *graph) draw(group *targets.Group, from, limit int) {
	size := len(group.IDs)
	if !g.matches(group.Model, group.Version) {
		return
	}
	if g.request.PrefixKey != "" && size > limit-len(g.candidates) {
		g.add(group.IDs[preferred(g.request.PrefixKey, size)], from)
	}
	start, stride := 0, 1
	if g.request.Rand != nil && size > 1 {
		start = g.request.Rand.IntN(size)
		stride = coprime(1+g.request.Rand.IntN(size-1), size)
	}
	for i := 0; i < size && len(g.candidates) < limit; i++ {
		g.add(group.IDs[(start+i*stride)%size], from)
	}
}

func (g *graph) add(id model.TargetID, from int) {
	target, known := g.table.Get(id)
	if !known || !target.Usable() || g.request.Avoid[id] {
		return
	}
	for i := from; i < len(g.candidates); i++ {
		if g.candidates[i].target == target {
			return
		}
	}
	g.candidates = append(g.candidates, candidate{target: target})
}

// coprime returns the first number from stride on that has no factor in common
// with size.
func coprime(stride, size int) int {
	for {
		a, b := stride, size
		for b != 0 {
			a, b = b, a%b
		}
		if a == 1 {
			return stride
		}
		stride++
	}
}

// preferred is the member of a group that requests with a prefix go to when
// nothing else speaks against it (jump consistent hash): when the group grows
// by one, only that member takes over prefixes.
func preferred(prefix string, size int) int {
	const multiplier, bits = 2862933555777941757, 31
	hash := xxhash.Sum64String(prefix)
	at, next := int64(-1), int64(0)
	for next < int64(size) {
		at = next
		hash = hash*multiplier + 1
		next = int64(float64(at+1) * (float64(int64(1)<<bits) / float64(hash>>(64-bits-2)+1)))
	}
	return int(at)
}
