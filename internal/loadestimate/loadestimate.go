// Package loadestimate estimates loads from statements that are old, and chooses among
// targets of similar load. It is pure.
package loadestimate

import (
	"math"
	"time"

	"tamarackreach/internal/loadview"
)

// Weight returns the fraction of a load that still runs after age, when requests stay for
// stay on average: 1 for a new statement, and 1 while the stay is unknown (0).
func Weight(age, stay time.Duration) float64 {
	if age <= 0 || stay <= 0 {
		return 1
	}
	return math.Exp(-age.Seconds() / stay.Seconds())
}

// Estimate returns the load on a target: the own load in full, the load that others stated
// age ago by the fraction of it that still runs, and for the rest the mean of what others
// state over the targets that could serve the same. Over these targets the estimates add up
// to what was stated.
func Estimate(own, others loadview.Load, age, stay time.Duration, mean loadview.Load) loadview.Load {
	w := Weight(age, stay)
	count := func(own, others, mean int) int {
		return own + int(math.Round(w*float64(others)+(1-w)*float64(mean)))
	}
	return loadview.Load{
		Requests:    count(own.Requests, others.Requests, mean.Requests),
		TokenLayers: own.TokenLayers + w*others.TokenLayers + (1-w)*mean.TokenLayers,
		Waiting:     count(own.Waiting, others.Waiting, mean.Waiting),
		First:       count(own.First, others.First, mean.First),
	}
}

// HerdWidth returns how many requests other VMs are expected to have sent, on the same
// stated loads, to the least loaded of some targets: total is the sum of the loads there.
// Random numbers of this width added to the loads spread such requests over targets whose
// loads differ by less. Where next to nothing of the stated loads still runs, they cause no
// common choice, and the width is small.
func HerdWidth(total float64, age, stay time.Duration) float64 {
	w := Weight(age, stay)
	return w * (1 - w) * total
}

// Pick returns an index with a probability in proportion to its weight; random is uniform
// in [0,1). Weights that are not positive are never chosen unless all are: then each index
// is as probable. It returns -1 without weights.
func Pick(weights []float64, random float64) int {
	total := 0.0
	for _, w := range weights {
		total += positive(w)
	}
	if total == 0 {
		return min(int(random*float64(len(weights))), len(weights)-1)
	}
	left, last := random*total, -1
	for i, w := range weights {
		if positive(w) == 0 {
			continue
		}
		if left -= w; left < 0 {
			return i
		}
		last = i // reached by rounding only
	}
	return last
}

// positive returns a weight, 0 for one that is not a positive finite number.
func positive(w float64) float64 {
	if w > 0 && !math.IsInf(w, 1) {
		return w
	}
	return 0
}
