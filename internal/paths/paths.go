// Package paths finds the targets that a request passes through: each layer
// once and in order, at the least cost. It is pure.
package paths

import (
	"math"
	"slices"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

// Holder is a target that serves a layer range.
type Holder struct {
	ID      model.TargetID
	Address string
	Zone    model.AvailabilityZone
	Layers  model.LayerRange
	// CostPerLayer is the predicted time of a layer at the target's load, in
	// milliseconds a token step.
	CostPerLayer float64
	// FirstCost is added when the target is the first of a path; infinite when it
	// takes no more requests as first.
	FirstCost float64
}

// MaxHops is the most hops that a path may have; the platform's limit.
const MaxHops = 32

// Costs weigh what a path has beyond the work of its layers, in milliseconds a
// token step.
type Costs struct {
	// Hop is the cost of each further target.
	Hop float64
	// Crossing is the cost of each change of zone inside the path.
	Crossing float64
	// Away is the cost of a path whose first target is outside the home zone.
	Away float64
}

// step is a cheapest way to a layer, ending at a holder.
type step struct {
	cost   float64
	holder int
	from   int // index of the step before; -1 at the start
	at     uint32
	begin  uint32
	hops   int
}

// Find returns the cheapest path over the layers [0, layers), or false when
// some layer has no holder.
func Find(holders []Holder, layers uint32, home model.AvailabilityZone, costs Costs) ([]fleet.Hop, float64, bool) {
	cuts := boundaries(holders, layers)
	steps := make([]step, 0, len(holders)*4)
	// open[c] lists the steps that end at cut c, the cheapest of each zone.
	open := make([][]int, len(cuts))
	for c, at := range cuts {
		if at == layers {
			break
		}
		for h := range holders {
			if holders[h].Layers.First > at || holders[h].Layers.End <= at {
				continue
			}
			from, base, hops := cheapest(steps, open[c], holders, h, costs)
			if c == 0 {
				from, base, hops = -1, awayCost(holders[h].Zone, home, costs)+holders[h].FirstCost, 0
			}
			if math.IsInf(base, 1) || hops >= MaxHops {
				continue
			}
			for next := c + 1; next < len(cuts) && cuts[next] <= holders[h].Layers.End; next++ {
				s := step{
					cost:   base + costs.Hop + float64(cuts[next]-at)*holders[h].CostPerLayer,
					holder: h, from: from, at: cuts[next], begin: at, hops: hops + 1,
				}
				steps, open[next] = keep(steps, open[next], holders, s)
			}
		}
	}
	return finish(steps, open[len(cuts)-1], holders, costs)
}

// boundaries returns the layers at which a path may change target, ascending,
// from 0 to layers.
func boundaries(holders []Holder, layers uint32) []uint32 {
	cuts := []uint32{0, layers}
	for _, h := range holders {
		if h.Layers.First < layers {
			cuts = append(cuts, h.Layers.First)
		}
		if h.Layers.End < layers {
			cuts = append(cuts, h.Layers.End)
		}
	}
	slices.Sort(cuts)
	return slices.Compact(cuts)
}

func awayCost(zone, home model.AvailabilityZone, costs Costs) float64 {
	if zone == home {
		return 0
	}
	return costs.Away
}

// cheapest returns the step after which holder h goes on at the least cost.
func cheapest(steps []step, open []int, holders []Holder, h int, costs Costs) (int, float64, int) {
	best, bestCost, hops := -1, math.Inf(1), 0
	for _, i := range open {
		cost := steps[i].cost
		if holders[steps[i].holder].Zone != holders[h].Zone {
			cost += costs.Crossing
		}
		if cost < bestCost && !visited(steps, i, h) {
			best, bestCost, hops = i, cost, steps[i].hops
		}
	}
	return best, bestCost, hops
}

// visited is true when the way to step i already passes holder h: a target must
// not appear twice on a path.
func visited(steps []step, i, h int) bool {
	for ; i >= 0; i = steps[i].from {
		if steps[i].holder == h {
			return true
		}
	}
	return false
}

// keep adds a step unless a cheaper one ends at the same cut in the same zone.
func keep(steps []step, open []int, holders []Holder, s step) ([]step, []int) {
	for k, i := range open {
		if holders[steps[i].holder].Zone != holders[s.holder].Zone {
			continue
		}
		if s.cost < steps[i].cost {
			steps = append(steps, s)
			open[k] = len(steps) - 1
		}
		return steps, open
	}
	steps = append(steps, s)
	return steps, append(open, len(steps)-1)
}

func finish(steps []step, open []int, holders []Holder, costs Costs) ([]fleet.Hop, float64, bool) {
	best, bestCost := -1, math.Inf(1)
	for _, i := range open {
		cost := steps[i].cost
		if first := firstHolder(steps, i); holders[first].Zone != holders[steps[i].holder].Zone {
			cost += costs.Crossing // the token returns to the first target
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return nil, 0, false
	}
	var hops []fleet.Hop
	for i := best; i >= 0; i = steps[i].from {
		h := holders[steps[i].holder]
		hops = append(hops, fleet.Hop{
			Target: h.ID, Address: h.Address,
			Layers: model.LayerRange{First: steps[i].begin, End: steps[i].at},
		})
	}
	slices.Reverse(hops)
	return hops, bestCost, true
}

func firstHolder(steps []step, i int) int {
	for steps[i].from >= 0 {
		i = steps[i].from
	}
	return steps[i].holder
}
