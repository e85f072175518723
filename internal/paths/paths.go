// Package paths finds the cheapest path of a request through targets that together
// run each layer once and in order. It is pure.
package paths

import (
	"math"
	"slices"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

// Holder is a target that holds a layer range.
type Holder struct {
	ID      model.TargetID
	Address string
	Zone    model.AvailabilityZone
	Layers  model.LayerRange
	// CostPerLayer is the predicted time of a layer at the target's load, in
	// milliseconds per decode step.
	CostPerLayer float64
	// FirstHopCost is added when the target is the first hop; infinite when it accepts
	// no more requests as the first hop.
	FirstHopCost float64
}

// MaxHops is the platform's limit on the number of hops of a path.
const MaxHops = 32

// Costs are the costs of a path beyond those of its layers, in milliseconds per
// decode step.
type Costs struct {
	// Hop is the cost of each hop.
	Hop float64
	// ZoneChange is the cost of each change of zone inside the path.
	ZoneChange float64
	// RemoteZone is the cost of a path whose first hop is outside the home zone.
	RemoteZone float64
}

// partialPath is a cheapest path over the layers [0, at).
type partialPath struct {
	cost   float64
	holder int
	prev   int // index of the partial path without the last hop; -1 for none
	at     uint32
	start  uint32 // first layer of the last hop
	hops   int
}

// Find returns the cheapest path over the layers [0, layers) and its cost, or false
// when there is none.
func Find(holders []Holder, layers uint32, home model.AvailabilityZone, costs Costs) ([]fleet.Hop, float64, bool) {
	cuts := boundaries(holders, layers)
	partials := make([]partialPath, 0, len(holders)*4)
	// open[c] lists the partial paths that end at cut c, the cheapest of each zone.
	open := make([][]int, len(cuts))
	for c, at := range cuts {
		if at == layers {
			break
		}
		for h := range holders {
			if holders[h].Layers.First > at || holders[h].Layers.End <= at {
				continue
			}
			prev, base, hops := cheapestPredecessor(partials, open[c], holders, h, costs)
			if c == 0 {
				prev, base, hops = -1, remoteZoneCost(holders[h].Zone, home, costs)+holders[h].FirstHopCost, 0
			}
			if math.IsInf(base, 1) || hops >= MaxHops {
				continue
			}
			for next := c + 1; next < len(cuts) && cuts[next] <= holders[h].Layers.End; next++ {
				s := partialPath{
					cost:   base + costs.Hop + float64(cuts[next]-at)*holders[h].CostPerLayer,
					holder: h, prev: prev, at: cuts[next], start: at, hops: hops + 1,
				}
				partials, open[next] = addPartial(partials, open[next], holders, s)
			}
		}
	}
	return cheapestComplete(partials, open[len(cuts)-1], holders, costs)
}

// boundaries returns the layers at which a path may change targets, ascending from
// 0 to layers.
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

func remoteZoneCost(zone, home model.AvailabilityZone, costs Costs) float64 {
	if zone == home {
		return 0
	}
	return costs.RemoteZone
}

// cheapestPredecessor returns the index, cost and hops of the partial path that
// holder h continues at the lowest cost; -1 and an infinite cost for none.
func cheapestPredecessor(partials []partialPath, open []int, holders []Holder, h int, costs Costs) (int, float64, int) {
	best, bestCost, hops := -1, math.Inf(1), 0
	for _, i := range open {
		cost := partials[i].cost
		if holders[partials[i].holder].Zone != holders[h].Zone {
			cost += costs.ZoneChange
		}
		if cost < bestCost && !visited(partials, i, h) {
			best, bestCost, hops = i, cost, partials[i].hops
		}
	}
	return best, bestCost, hops
}

// visited reports whether partial path i contains holder h: a target must not appear
// twice on a path.
func visited(partials []partialPath, i, h int) bool {
	for ; i >= 0; i = partials[i].prev {
		if partials[i].holder == h {
			return true
		}
	}
	return false
}

// addPartial adds a partial path unless a cheaper one ends at the same cut in the
// same zone.
func addPartial(partials []partialPath, open []int, holders []Holder, s partialPath) ([]partialPath, []int) {
	for k, i := range open {
		if holders[partials[i].holder].Zone != holders[s.holder].Zone {
			continue
		}
		if s.cost < partials[i].cost {
			partials = append(partials, s)
			open[k] = len(partials) - 1
		}
		return partials, open
	}
	partials = append(partials, s)
	return partials, append(open, len(partials)-1)
}

// cheapestComplete returns the hops and the cost of the cheapest of the open paths,
// which end at the last layer.
func cheapestComplete(partials []partialPath, open []int, holders []Holder, costs Costs) ([]fleet.Hop, float64, bool) {
	best, bestCost := -1, math.Inf(1)
	for _, i := range open {
		cost := partials[i].cost
		if first := firstHolder(partials, i); holders[first].Zone != holders[partials[i].holder].Zone {
			cost += costs.ZoneChange // each token returns to the first target
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return nil, 0, false
	}
	var hops []fleet.Hop
	for i := best; i >= 0; i = partials[i].prev {
		h := holders[partials[i].holder]
		hops = append(hops, fleet.Hop{
			Target: h.ID, Address: h.Address,
			Layers: model.LayerRange{First: partials[i].start, End: partials[i].at},
		})
	}
	slices.Reverse(hops)
	return hops, bestCost, true
}

func firstHolder(partials []partialPath, i int) int {
	for partials[i].prev >= 0 {
		i = partials[i].prev
	}
	return partials[i].holder
}
