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
	// Pace is the factor by which the target is slower than its kind; at least 1.
	Pace float64
	// Fixed members keep what they hold: they are busy with an order.
	Fixed bool
}

// Order asks a target to hold a range.
type Order struct {
	Target model.TargetID
	Layers model.LayerRange
}

const (
	// worthwhile is the growth of a zone's rate for which a member that serves is
	// given other layers: the streams that pass it are interrupted and lose most of
	// their value, and loading takes it away for seconds. About two fifths of the
	// streams of a zone pass a member whose layers others hold as well.
	worthwhile = 1.4
	// maxMoves bounds the members that serve and are moved at a time: the rest
	// carries their load meanwhile.
	maxMoves = 1
)

// fills are the parts of a card's memory that layers may take. Below, a zone
// cannot hold a path; above, too little is left for requests.
var fills = []float64{0.25, 0.35, 0.42, 0.5, 0.56, 0.62, 0.7, 0.76, 0.82}

// Plan returns the orders that bring the targets of a service to a good
// placement, zone by zone. Missing layers come first; targets that hold nothing
// go where they raise the zone's rate most; a target that serves is moved only
// when others hold its layers and the gain outweighs its absence.
func Plan(engine *fleet.Engine, members []Member) []Order {
	var orders []Order
	for _, name := range zones(members) {
		z := newZone(engine, inZone(engine, members, name))
		if z.empty() {
			z.layOut()
		}
		z.closeHoles()
		z.useIdle()
		z.improve()
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

// inZone returns the members of a zone, fastest first.
func inZone(engine *fleet.Engine, members []Member, name model.AvailabilityZone) []Member {
	var out []Member
	for _, m := range members {
		if _, known := engine.Hardware[m.Kind]; known && m.Zone == name {
			m.Pace = max(m.Pace, 1)
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(engine.Hardware[a.Kind].StepFactor*a.Pace, engine.Hardware[b.Kind].StepFactor*b.Pace),
			cmp.Compare(a.ID, b.ID))
	})
	return out
}

// zone is the placement of one zone while it is planned.
type zone struct {
	engine  *fleet.Engine
	members []Member
	// want is the range of each member, by its position.
	want  []model.LayerRange
	model *rateModel
}

func newZone(engine *fleet.Engine, members []Member) *zone {
	z := &zone{engine: engine, members: members, want: make([]model.LayerRange, len(members)), model: newRateModel(engine)}
	for i, m := range members {
		z.want[i] = model.LayerRange{First: m.Held.First, End: min(m.Held.End, engine.Layers)}
	}
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

func (z *zone) quality() quality { return z.model.quality(z.members, z.want) }

// layOut fills an empty zone fastest first, one whole path after the other, at
// the fill that gives the best rate.
func (z *zone) layOut() {
	var best []model.LayerRange
	var bestQuality quality
	for _, fill := range fills {
		z.fillFastest(fill)
		if q := z.quality(); best == nil || q.better(bestQuality) {
			best, bestQuality = slices.Clone(z.want), q
		}
	}
	copy(z.want, best)
}

func (z *zone) fillFastest(fill float64) {
	total := uint32(0)
	for i := range z.members {
		total += z.room(i, fill)
	}
	left := total / z.engine.Layers * z.engine.Layers
	at := uint32(0)
	for i := range z.members {
		z.want[i] = model.LayerRange{}
		n := min(z.room(i, fill), left, z.engine.Layers-at)
		if n == 0 {
			continue
		}
		z.want[i] = model.LayerRange{First: at, End: at + n}
		left -= n
		at = (at + n) % z.engine.Layers
	}
}

// closeHoles gives layers that nobody holds to members that hold nothing, then
// to members that can spare theirs or take them in addition.
func (z *zone) closeHoles() {
	for _, free := range []func(int) freedom{z.idle, z.spare} {
		for {
			before := z.quality()
			if before.missing == 0 {
				return
			}
			i, r, q, found := z.bestMove(free)
			if !found || q.missing >= before.missing {
				break
			}
			z.want[i] = r
		}
	}
}

// useIdle places members that hold nothing where they raise the rate most.
func (z *zone) useIdle() {
	for {
		i, r, q, found := z.bestMove(z.idle)
		if !found || !q.better(z.quality()) {
			return
		}
		z.want[i] = r
	}
}

// improve moves members that serve while the gain outweighs the loading.
func (z *zone) improve() {
	for range maxMoves {
		before := z.quality()
		i, r, q, found := z.bestMove(z.spare)
		if !found || before.missing > 0 || q.missing > 0 || q.rate < before.rate*worthwhile {
			return
		}
		z.want[i] = r
	}
}

// freedom says which ranges a member may be given.
type freedom uint8

const (
	// none: the member keeps its range.
	none freedom = iota
	// wider: the member goes on serving its range and may take more beside it.
	wider
	// anywhere: the member may be given any range.
	anywhere
)

// idle leaves members free that are to hold nothing.
func (z *zone) idle(i int) freedom {
	if z.members[i].Fixed || z.want[i].Len() > 0 {
		return none
	}
	return anywhere
}

// spare leaves members free that serve and were not moved in this plan: anywhere
// when each of their layers has another holder that serves, else to take more.
func (z *zone) spare(i int) freedom {
	if z.members[i].Fixed || z.want[i].Len() == 0 || z.want[i] != z.members[i].Held {
		return none
	}
	for l := z.want[i].First; l < z.want[i].End; l++ {
		if !z.heldBesides(i, l) {
			return wider
		}
	}
	return anywhere
}

// heldBesides is true when a member other than i serves layer l now.
func (z *zone) heldBesides(i int, l uint32) bool {
	for k, m := range z.members {
		if k != i && !m.Fixed && z.want[k] == m.Held && m.Held.First <= l && l < m.Held.End {
			return true
		}
	}
	return false
}

// likeness is what tells members apart that hold nothing.
type likeness struct {
	kind model.AcceleratorKind
	pace float64
}

// bestMove returns the member among the free ones and the range for it that
// give the best placement.
func (z *zone) bestMove(free func(int) freedom) (member int, r model.LayerRange, q quality, found bool) {
	starts := z.starts()
	tried := map[likeness]bool{}
	for i := range z.members {
		allowed := free(i)
		if allowed == none {
			continue
		}
		// Members of a kind and pace that hold nothing are alike.
		if like := (likeness{z.members[i].Kind, z.members[i].Pace}); z.want[i].Len() == 0 {
			if tried[like] {
				continue
			}
			tried[like] = true
		}
		was := z.want[i]
		for _, candidate := range z.candidates(i, starts) {
			if allowed == wider && (candidate.First > was.First || candidate.End < was.End) {
				continue
			}
			z.want[i] = candidate
			if next := z.quality(); !found || next.better(q) {
				member, r, q, found = i, candidate, next, true
			}
		}
		z.want[i] = was
	}
	return member, r, q, found
}

// starts returns the layers at which a range may begin or end: those at which
// the holders change.
func (z *zone) starts() []uint32 {
	cuts := []uint32{0, z.engine.Layers}
	for _, r := range z.want {
		if r.Len() > 0 {
			cuts = append(cuts, r.First, r.End)
		}
	}
	slices.Sort(cuts)
	return slices.Compact(cuts)
}

// candidates returns the ranges that a member may be given: each length that
// its card allows, beginning or ending where holders change.
func (z *zone) candidates(i int, cuts []uint32) []model.LayerRange {
	var out []model.LayerRange
	lengths := make([]uint32, 0, len(fills))
	for _, fill := range fills {
		if n := z.room(i, fill); n > 0 {
			lengths = append(lengths, n)
		}
	}
	lengths = slices.Compact(lengths)
	if len(lengths) == 0 {
		return nil
	}
	for _, cut := range cuts {
		for _, n := range lengths {
			if cut+n <= z.engine.Layers {
				out = append(out, model.LayerRange{First: cut, End: cut + n})
			}
			if cut >= n {
				out = append(out, model.LayerRange{First: cut - n, End: cut})
			}
		}
		if held := z.want[i]; held.Len() > 0 && held.Len() < lengths[len(lengths)-1] {
			out = append(out, stretched(held, cut, lengths[len(lengths)-1]))
		}
		// The piece up to the next cut, when it is shorter than the card allows.
		if next, found := after(cuts, cut); found && next-cut < lengths[len(lengths)-1] {
			out = append(out, model.LayerRange{First: cut, End: next})
		}
	}
	return out
}

// stretched returns a range that is widened towards a cut, to at most longest.
func stretched(r model.LayerRange, cut, longest uint32) model.LayerRange {
	room := longest - r.Len()
	if cut < r.First {
		r.First -= min(room, r.First-cut)
	} else if cut > r.End {
		r.End += min(room, cut-r.End)
	}
	return r
}

func after(cuts []uint32, cut uint32) (uint32, bool) {
	i, _ := slices.BinarySearch(cuts, cut+1)
	if i == len(cuts) {
		return 0, false
	}
	return cuts[i], true
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
