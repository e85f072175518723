// Package placement decides which layers each target of a layered model holds.
// It is pure: the same targets give the same plan.
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
	// Held is what the target serves, or what it is loading.
	Held model.LayerRange
	// Fixed members keep what they hold: they are busy with an order.
	Fixed bool
}

// Order asks a target to hold a range.
type Order struct {
	Target model.TargetID
	Layers model.LayerRange
}

const (
	// minFill and maxFill bound the part of a card's memory that layers take;
	// below, a zone cannot hold a path, above, too little is left for requests.
	// From the sweep of TestFillOfAZone.
	minFill = 0.35
	maxFill = 0.85
	// fillStep is the step of the search between them.
	fillStep = 0.05
	// repairFill is the part that layers may take on a card that closes a hole: a
	// crowded path serves more than none.
	repairFill = 0.8
	// usableState is the part of the memory for requests that is planned for;
	// the rest absorbs long answers.
	usableState = 0.8
)

// Plan returns the orders that bring the targets of a service to a good
// placement, zone by zone. Targets that hold layers keep them unless they
// duplicate layers while others are missing in their zone.
func Plan(engine *fleet.Engine, members []Member) []Order {
	var orders []Order
	for _, zone := range zones(members) {
		orders = append(orders, planZone(engine, inZone(members, zone))...)
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

// inZone returns the usable members of a zone, fastest first.
func inZone(members []Member, zone model.AvailabilityZone) []Member {
	var out []Member
	for _, m := range members {
		if m.Zone == zone {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func planZone(engine *fleet.Engine, members []Member) []Order {
	slices.SortStableFunc(members, func(a, b Member) int {
		return cmp.Compare(engine.Hardware[a.Kind].StepFactor, engine.Hardware[b.Kind].StepFactor)
	})
	z := newZone(engine, members)
	if z.empty() {
		z.layOut()
	} else {
		z.closeHoles()
	}
	z.duplicate()
	return z.orders()
}

// zone is the placement of one zone while it is planned.
type zone struct {
	engine  *fleet.Engine
	members []Member
	// want is the range of each member, by its position.
	want []model.LayerRange
	// fill is the part of a card's memory that layers take.
	fill float64
}

func newZone(engine *fleet.Engine, members []Member) *zone {
	z := &zone{engine: engine, members: members, want: make([]model.LayerRange, len(members))}
	for i, m := range members {
		z.want[i] = m.Held
	}
	z.fill = z.bestFill()
	return z
}

func (z *zone) empty() bool {
	return !slices.ContainsFunc(z.want, func(r model.LayerRange) bool { return r.Len() > 0 })
}

// room is the number of layers that a member takes at a fill.
func (z *zone) room(i int, fill float64) uint32 {
	n := uint32(z.engine.Hardware[z.members[i].Kind].MemoryMB * fill / z.engine.LayerMB)
	return min(n, z.engine.Layers)
}

// bestFill returns the fill at which the zone serves the most requests a second.
func (z *zone) bestFill() float64 {
	best, bestRate := repairFill, 0.0
	for fill := minFill; fill <= maxFill; fill += fillStep {
		if rate := z.rate(fill); rate > bestRate {
			best, bestRate = fill, rate
		}
	}
	return best
}

// rate predicts the requests a second of a zone that is filled fastest first:
// the requests that fit, over the time that each takes.
func (z *zone) rate(fill float64) float64 {
	total := uint32(0)
	for i := range z.members {
		total += z.room(i, fill)
	}
	copies := total / z.engine.Layers
	if copies == 0 {
		return 0
	}
	left := copies * z.engine.Layers
	// factor is the sum over the layers of one path of their step factor, in
	// layers; it is averaged over the copies.
	factor := 0.0
	for i := range z.members {
		n := min(z.room(i, fill), left)
		factor += float64(n) * z.engine.Hardware[z.members[i].Kind].StepFactor
		left -= n
	}
	factor /= float64(copies * z.engine.Layers)
	tokens := z.engine.UsualPrompt + z.engine.UsualAnswer
	// At a fill f a layer of LayerMB leaves LayerMB x (1-f)/f for requests.
	state := z.engine.LayerMB * (1 - fill) / fill / z.engine.StateMBPerTokenLayer()
	atOnce := usableState * state / tokens
	step := z.engine.StepMs + atOnce*(z.engine.StepMsPerSequence+z.engine.StepMsPerKToken*tokens/1000)
	return float64(copies) * atOnce / (z.engine.UsualAnswer * factor * step)
}

// layOut fills an empty zone fastest first, one whole path after the other.
func (z *zone) layOut() {
	total := uint32(0)
	for i := range z.members {
		total += z.room(i, z.fill)
	}
	left := total / z.engine.Layers * z.engine.Layers
	at := uint32(0)
	for i := range z.members {
		n := min(z.room(i, z.fill), left, z.engine.Layers-at)
		if n == 0 {
			continue
		}
		z.want[i] = model.LayerRange{First: at, End: at + n}
		left -= n
		at = (at + n) % z.engine.Layers
	}
}

// holders counts the members that hold each layer, without the one at except.
func (z *zone) holders(except int) []int {
	count := make([]int, z.engine.Layers)
	for i, r := range z.want {
		if i == except {
			continue
		}
		for l := r.First; l < min(r.End, z.engine.Layers); l++ {
			count[l]++
		}
	}
	return count
}

// closeHoles gives the layers that nobody holds to members that hold nothing,
// then to members whose layers others hold as well.
func (z *zone) closeHoles() {
	for _, free := range []func(int) bool{z.idle, z.redundant} {
		for i := range z.members {
			hole, found := z.longestHole()
			if !found {
				return
			}
			if z.members[i].Fixed || !free(i) {
				continue
			}
			fill := max(z.fill, repairFill)
			if n := min(z.room(i, fill), hole.Len()); n > 0 {
				z.want[i] = model.LayerRange{First: hole.First, End: hole.First + n}
			}
		}
	}
}

func (z *zone) idle(i int) bool { return z.want[i].Len() == 0 }

// redundant is true for a member each of whose layers has another holder.
func (z *zone) redundant(i int) bool {
	if z.want[i] != z.members[i].Held {
		return false // it was given a hole in this plan
	}
	count := z.holders(i)
	for l := z.want[i].First; l < min(z.want[i].End, z.engine.Layers); l++ {
		if count[l] == 0 {
			return false
		}
	}
	return true
}

func (z *zone) longestHole() (model.LayerRange, bool) {
	count := z.holders(-1)
	var best, run model.LayerRange
	for l := range z.engine.Layers {
		if count[l] > 0 {
			run = model.LayerRange{First: l + 1, End: l + 1}
			continue
		}
		run.End = l + 1
		if run.Len() > best.Len() {
			best = run
		}
	}
	return best, best.Len() > 0
}

// duplicate gives members that hold nothing a second copy of the layers whose
// holders have the least memory for requests.
func (z *zone) duplicate() {
	for i := range z.members {
		if z.members[i].Fixed || !z.idle(i) {
			continue
		}
		n := z.room(i, z.fill)
		if n == 0 {
			continue
		}
		z.want[i] = tightest(z.stateOfLayers(), n)
	}
}

// stateOfLayers is the memory for requests in tokens that the holders of each
// layer have together.
func (z *zone) stateOfLayers() []float64 {
	state := make([]float64, z.engine.Layers)
	for i, r := range z.want {
		if r.Len() == 0 {
			continue
		}
		free := z.engine.Hardware[z.members[i].Kind].MemoryMB - float64(r.Len())*z.engine.LayerMB
		tokens := free / float64(r.Len()) / z.engine.StateMBPerTokenLayer()
		for l := r.First; l < min(r.End, z.engine.Layers); l++ {
			state[l] += tokens
		}
	}
	return state
}

// tightest returns the n layers side by side with the least memory together.
func tightest(state []float64, n uint32) model.LayerRange {
	sum := 0.0
	best, bestSum := uint32(0), 0.0
	for l := range uint32(len(state)) {
		sum += state[l]
		if l+1 < n {
			continue
		}
		if l+1 > n {
			sum -= state[l-n]
		}
		if l+1 == n || sum < bestSum {
			best, bestSum = l+1-n, sum
		}
	}
	return model.LayerRange{First: best, End: best + n}
}

func (z *zone) orders() []Order {
	var out []Order
	for i, m := range z.members {
		if m.Fixed || z.want[i] == m.Held || z.want[i].Len() == 0 {
			continue
		}
		out = append(out, Order{Target: m.ID, Layers: z.want[i]})
	}
	return out
}
