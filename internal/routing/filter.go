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
	// maxRangeCandidates bounds the candidates of a layer range.
	maxRangeCandidates = 16
	// reservedRemoteCandidates is the part of maxRangeCandidates reserved for
	// targets of other zones, if there are any.
	reservedRemoteCandidates = 4
)

// span is the candidates of one layer range: graph.candidates[from:to].
type span struct {
	layers   model.LayerRange
	from, to int
}

// collectCandidates collects the candidates of every layer range and sorts the
// spans by first layer. A range that overlaps the range of a kept target gets no
// other candidates.
func (g *graph) collectCandidates() {
	pool := g.table.Pool(g.request.Pipeline)
	g.candidates = make([]candidate, 0, maxRangeCandidates*max(len(g.request.Pipeline.Stages), 1))
	if !g.addKept() {
		return
	}
	kept := len(g.spans)
	for at := 0; at < len(pool.Groups); {
		end := at + 1
		for end < len(pool.Groups) && pool.Groups[end].Layers == pool.Groups[at].Layers {
			end++
		}
		if !overlapsAny(g.spans[:kept], pool.Groups[at].Layers) {
			g.addRange(pool.Groups[at:end])
		}
		at = end
	}
	slices.SortStableFunc(g.spans, func(a, b span) int { return cmp.Compare(a.layers.First, b.layers.First) })
}

// addKept makes each kept target the only candidate for its layers. Kept targets
// hold the state of the request, so they are used even when they are not usable
// for new work. addKept returns false when a kept target is unknown, avoided or
// serves another model or version.
func (g *graph) addKept() bool {
	for _, position := range slices.Sorted(maps.Keys(g.request.Keep)) {
		id := g.request.Keep[position]
		target, known := g.table.Get(id)
		if !known || g.request.Avoid[id] || !g.servesPipeline(target.Model, target.Version) {
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

func (g *graph) servesPipeline(name model.ModelName, version model.ModelVersion) bool {
	return name == g.request.Pipeline.Model && version == g.request.Pipeline.Version
}

// addRange adds the span of the groups of one layer range: candidates of this
// node's zone first, then of the other zones in proportion to their size.
func (g *graph) addRange(groups []*targets.Group) {
	s := span{layers: groups[0].Layers, from: len(g.candidates)}
	remote := 0
	for _, group := range groups {
		if group.Zone != g.request.Zone {
			remote += len(group.IDs)
		}
	}
	limit := s.from + maxRangeCandidates
	for _, group := range groups {
		if group.Zone == g.request.Zone {
			g.sample(group, s.from, limit-min(reservedRemoteCandidates, remote))
		}
	}
	for _, group := range groups {
		if group.Zone != g.request.Zone && remote > 0 {
			room := limit - len(g.candidates)
			part := (room*len(group.IDs) + remote - 1) / remote
			g.sample(group, s.from, len(g.candidates)+part)
			remote -= len(group.IDs)
		}
	}
	s.to = len(g.candidates)
	if s.to > s.from {
		g.spans = append(g.spans, s)
	}
}

// sample adds usable targets of a group until there are limit candidates. A
// random start and a random stride coprime to the size of the group visit each
// target at most once without copying the group.
func (g *graph) sample(group *targets.Group, from, limit int) {
	size := len(group.IDs)
	if !g.servesPipeline(group.Model, group.Version) {
		return
	}
	if g.request.PrefixKey != "" && size > limit-len(g.candidates) {
		g.addUsable(group.IDs[jumpHash(g.request.PrefixKey, size)], from)
	}
	start, stride := 0, 1
	if g.request.Rand != nil && size > 1 {
		start = g.request.Rand.IntN(size)
		stride = coprime(1+g.request.Rand.IntN(size-1), size)
	}
	for i := 0; i < size && len(g.candidates) < limit; i++ {
		g.addUsable(group.IDs[(start+i*stride)%size], from)
	}
}

// addUsable adds a target to the span that begins at from, unless it is already
// in the span, avoided or not usable.
func (g *graph) addUsable(id model.TargetID, from int) {
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

// coprime returns the least number not below stride that is coprime to size.
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

// jumpHash returns the index of the group member that is sampled first for a
// prefix, by jump consistent hashing: when the group grows by one member, only the
// new member takes over prefixes.
func jumpHash(prefix string, size int) int {
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
