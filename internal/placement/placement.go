// Package placement decides which layers each target of a layered model holds.
// It is deterministic and does no I/O: the same targets give the same plan.
package placement

import (
	"cmp"
	"slices"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

// Member is a target that may be given layers.
type Member struct {
	ID   model.TargetID
	Zone model.AvailabilityZone
	Kind model.AcceleratorKind
	// Held is the range that the target serves or is loading; one that it cannot hold counts
	// as none.
	Held model.LayerRange
	// Slowdown multiplies the step time of the target's kind; values below 1 count
	// as 1.
	Slowdown float64
	// Fixed excludes the member from the plan because an order to it is pending.
	Fixed bool
}

// Order assigns a layer range to a target.
type Order struct {
	Target model.TargetID
	Layers model.LayerRange
}

const (
	// minRateGain is the factor by which a zone's request rate must grow before a
	// serving member is given other layers: the move interrupts the streams through
	// it, which lose most of their value, and the member is unavailable for seconds
	// while it loads the layers. About two fifths of a zone's streams pass through a
	// member whose layers are replicated.
	minRateGain = 1.4
	// maxServingMoves bounds the serving members moved in one plan: the others carry
	// their load meanwhile.
	maxServingMoves = 1
)

// memoryFractions are the fractions of a target's memory that its layers may take.
// With less, a zone cannot hold all layers of the model; with more, too little
// memory is left for the KV cache.
var memoryFractions = []float64{0.25, 0.35, 0.42, 0.5, 0.56, 0.62, 0.7, 0.76, 0.82}

// Plan returns the orders that improve the placement of a service, zone by zone.
// Layers without a holder come first. Empty targets then go where they raise the
// zone's request rate most. A serving target is moved only when its layers are
// replicated and the rate grows by minRateGain.
func Plan(engine *fleet.Engine, members []Member) []Order {
	var orders []Order
	for _, name := range zones(members) {
		z := newZone(engine, inZone(engine, members, name))
		if z.empty() {
			z.planInitial()
		}
		z.coverMissingLayers()
		z.placeIdle()
		z.rebalance()
		orders = append(orders, z.orders()...)
	}
	return orders
}

func zones(members []Member) []model.AvailabilityZone {
	var names []model.AvailabilityZone
	for _, m := range members {
		names = append(names, m.Zone)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// inZone returns the members of a zone whose hardware is configured, fastest first.
func inZone(engine *fleet.Engine, members []Member, name model.AvailabilityZone) []Member {
	var out []Member
	for _, m := range members {
		if _, known := engine.Hardware[m.Kind]; known && m.Zone == name {
			m.Slowdown = max(m.Slowdown, 1)
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(engine.Hardware[a.Kind].DecodeFactor*a.Slowdown, engine.Hardware[b.Kind].DecodeFactor*b.Slowdown),
			cmp.Compare(a.ID, b.ID))
	})
	return out
}

// zone is the state of planning one zone.
type zone struct {
	engine  *fleet.Engine
	members []Member
	// planned is the planned range of each member, by its index in members.
	planned []model.LayerRange
	model   *rateModel
}

func newZone(engine *fleet.Engine, members []Member) *zone {
	z := &zone{engine: engine, members: members, planned: make([]model.LayerRange, len(members)), model: newRateModel(engine)}
	for i, m := range members {
		if engine.CheckHeld(m.Kind, m.Held) == nil {
			z.planned[i] = m.Held
		}
	}
	return z
}

func (z *zone) empty() bool {
	return !slices.ContainsFunc(z.planned, func(r model.LayerRange) bool { return r.Len() > 0 })
}

// layerCapacity returns the number of layers that fit in a fraction of a member's
// memory.
func (z *zone) layerCapacity(i int, fraction float64) uint32 {
	n := uint32(z.engine.Hardware[z.members[i].Kind].MemoryMB * fraction / z.engine.LayerMB)
	return min(n, z.engine.Layers)
}

func (z *zone) quality() quality { return z.model.quality(z.members, z.planned) }

// planInitial plans a zone whose members are all empty, with the memory fraction
// that gives the best request rate.
func (z *zone) planInitial() {
	var best []model.LayerRange
	var bestQuality quality
	for _, fraction := range memoryFractions {
		z.fillFastestFirst(fraction)
		if q := z.quality(); best == nil || q.better(bestQuality) {
			best, bestQuality = slices.Clone(z.planned), q
		}
	}
	copy(z.planned, best)
}

// fillFastestFirst lays out as many complete copies of the model as fit, starting
// with the fastest members.
func (z *zone) fillFastestFirst(fraction float64) {
	total := uint32(0)
	for i := range z.members {
		total += z.layerCapacity(i, fraction)
	}
	remaining := total / z.engine.Layers * z.engine.Layers
	first := uint32(0)
	for i := range z.members {
		z.planned[i] = model.LayerRange{}
		n := min(z.layerCapacity(i, fraction), remaining, z.engine.Layers-first)
		if n == 0 {
			continue
		}
		z.planned[i] = model.LayerRange{First: first, End: first + n}
		remaining -= n
		first = (first + n) % z.engine.Layers
	}
}

// coverMissingLayers assigns layers without a holder to empty members, then to
// serving members whose range may be moved or extended.
func (z *zone) coverMissingLayers() {
	for _, mobilityOf := range []func(int) mobility{z.idleMobility, z.servingMobility} {
		for {
			before := z.quality()
			if before.missingLayers == 0 {
				return
			}
			i, r, q, found := z.bestMove(mobilityOf)
			if !found || q.missingLayers >= before.missingLayers {
				break
			}
			z.planned[i] = r
		}
	}
}

// placeIdle assigns empty members to the ranges that raise the request rate most.
func (z *zone) placeIdle() {
	for {
		i, r, q, found := z.bestMove(z.idleMobility)
		if !found || !q.better(z.quality()) {
			return
		}
		z.planned[i] = r
	}
}

// rebalance moves up to maxServingMoves serving members, each for a gain of at
// least minRateGain.
func (z *zone) rebalance() {
	for range maxServingMoves {
		before := z.quality()
		i, r, q, found := z.bestMove(z.servingMobility)
		if !found || before.missingLayers > 0 || q.missingLayers > 0 || q.requestsPerMs < before.requestsPerMs*minRateGain {
			return
		}
		z.planned[i] = r
	}
}

// mobility restricts the ranges that a member may be given.
type mobility uint8

const (
	// immovable: the member keeps its range.
	immovable mobility = iota
	// extendable: the member keeps its range and may be given adjacent layers.
	extendable
	// movable: the member may be given any range.
	movable
)

// idleMobility returns movable for members without planned layers, and immovable
// for all others.
func (z *zone) idleMobility(i int) mobility {
	if z.members[i].Fixed || z.planned[i].Len() > 0 {
		return immovable
	}
	return movable
}

// servingMobility returns the mobility of members that serve and were not moved in
// this plan: movable when every layer has another serving holder, else extendable.
// Other members are immovable.
func (z *zone) servingMobility(i int) mobility {
	if z.members[i].Fixed || z.planned[i].Len() == 0 || z.planned[i] != z.members[i].Held {
		return immovable
	}
	for l := z.planned[i].First; l < z.planned[i].End; l++ {
		if !z.servedByOther(i, l) {
			return extendable
		}
	}
	return movable
}

// servedByOther reports whether a member other than i serves layer l now.
func (z *zone) servedByOther(i int, l uint32) bool {
	for k, m := range z.members {
		if k != i && !m.Fixed && z.planned[k] == m.Held && m.Held.First <= l && l < m.Held.End {
			return true
		}
	}
	return false
}

// memberClass groups empty members that are interchangeable.
type memberClass struct {
	kind     model.AcceleratorKind
	slowdown float64
}

// bestMove returns the member and the range for it that give the best placement.
func (z *zone) bestMove(mobilityOf func(int) mobility) (member int, r model.LayerRange, q quality, found bool) {
	boundaries := z.boundaries()
	tried := map[memberClass]bool{}
	for i := range z.members {
		allowed := mobilityOf(i)
		if allowed == immovable {
			continue
		}
		// One empty member of each class is enough to try.
		if class := (memberClass{z.members[i].Kind, z.members[i].Slowdown}); z.planned[i].Len() == 0 {
			if tried[class] {
				continue
			}
			tried[class] = true
		}
		previous := z.planned[i]
		for _, candidate := range z.candidates(i, boundaries) {
			if allowed == extendable && (candidate.First > previous.First || candidate.End < previous.End) {
				continue
			}
			z.planned[i] = candidate
			if next := z.quality(); !found || next.better(q) {
				member, r, q, found = i, candidate, next, true
			}
		}
		z.planned[i] = previous
	}
	return member, r, q, found
}

// boundaries returns the layers at which the set of holders changes, in ascending
// order; candidate ranges begin or end at one of them.
func (z *zone) boundaries() []uint32 {
	layers := []uint32{0, z.engine.Layers}
	for _, r := range z.planned {
		if r.Len() > 0 {
			layers = append(layers, r.First, r.End)
		}
	}
	slices.Sort(layers)
	return slices.Compact(layers)
}

// candidates returns the ranges to try for a member: each length that its memory
// fractions allow, beginning or ending at a boundary.
func (z *zone) candidates(i int, boundaries []uint32) []model.LayerRange {
	var out []model.LayerRange
	lengths := make([]uint32, 0, len(memoryFractions))
	for _, fraction := range memoryFractions {
		if n := z.layerCapacity(i, fraction); n > 0 {
			lengths = append(lengths, n)
		}
	}
	lengths = slices.Compact(lengths)
	if len(lengths) == 0 {
		return nil
	}
	for _, boundary := range boundaries {
		for _, n := range lengths {
			if boundary+n <= z.engine.Layers {
				out = append(out, model.LayerRange{First: boundary, End: boundary + n})
			}
			if boundary >= n {
				out = append(out, model.LayerRange{First: boundary - n, End: boundary})
			}
		}
		if held := z.planned[i]; held.Len() > 0 && held.Len() < lengths[len(lengths)-1] {
			out = append(out, extended(held, boundary, lengths[len(lengths)-1]))
		}
		// The range up to the next boundary, when it is shorter than the longest allowed.
		if next, found := nextBoundary(boundaries, boundary); found && next-boundary < lengths[len(lengths)-1] {
			out = append(out, model.LayerRange{First: boundary, End: next})
		}
	}
	return out
}

// extended returns r extended towards a boundary, to at most longest layers.
func extended(r model.LayerRange, boundary, longest uint32) model.LayerRange {
	spare := longest - r.Len()
	if boundary < r.First {
		r.First -= min(spare, r.First-boundary)
	} else if boundary > r.End {
		r.End += min(spare, boundary-r.End)
	}
	return r
}

// nextBoundary returns the first boundary above the given one.
func nextBoundary(boundaries []uint32, boundary uint32) (uint32, bool) {
	i, _ := slices.BinarySearch(boundaries, boundary+1)
	if i == len(boundaries) {
		return 0, false
	}
	return boundaries[i], true
}

// orders returns the planned ranges that differ from the held ones.
func (z *zone) orders() []Order {
	var out []Order
	for i, m := range z.members {
		if m.Fixed || z.planned[i] == m.Held || z.planned[i].Len() == 0 {
			continue
		}
		out = append(out, Order{Target: m.ID, Layers: z.planned[i]})
	}
	return out
}
