package director

import (
	"math"
	"time"

	"tamarackreach/internal/model"
)

// LoadAgeBounds are the upper bounds of the buckets in which ages of loads are counted:
// from a part of a message interval to the expiry of a load.
var LoadAgeBounds = [...]time.Duration{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
	800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond,
}

// BalanceFigures state how well loads are known and balanced.
type BalanceFigures struct {
	// Ages counts sends by the age of the loads of other VMs on the first target and those
	// that could serve the same, up to each of LoadAgeBounds and not up to an earlier one.
	// Decisions counts all sends that used such loads, and AgeSum is the sum of the ages.
	Ages      [len(LoadAgeBounds)]uint64
	Decisions uint64
	AgeSum    time.Duration
	// RejectedWithSpare counts rejections by targets that had a free slot by the estimate.
	RejectedWithSpare uint64
	// Spread is the standard deviation of the stated requests per slot over targets that
	// could serve the same, as a mean over groups of two and more.
	Spread float64
}

// Balance returns the figures of the balance of load.
func (s *State) Balance(now model.Instant) BalanceFigures {
	out := s.balance.figures
	seen, sum := map[*loadGroup]bool{}, 0.0
	for _, list := range s.byService {
		for _, t := range list {
			if len(t.group.targets) > 1 && !seen[t.group] {
				seen[t.group] = true
				sum += s.spread(now, t.group)
			}
		}
	}
	out.Spread = sum / float64(max(len(seen), 1))
	return out
}

// spread returns the standard deviation of the stated requests per slot over the targets of
// a group that are usable.
func (s *State) spread(now model.Instant, g *loadGroup) float64 {
	var n, sum, squares float64
	for _, t := range g.targets {
		if t.usable(now) {
			used := float64(s.load(now, t).Requests) / float64(max(t.Slots, 1))
			n, sum, squares = n+1, sum+used, squares+used*used
		}
	}
	if n == 0 {
		return 0
	}
	return math.Sqrt(max(0, squares/n-sum/n*(sum/n)))
}

// recordLoadAge counts the age of the loads by which a target was chosen.
func (s *State) recordLoadAge(now model.Instant, t *target) {
	if !s.loads.Any(now) {
		return
	}
	age, f := s.groupOf(now, t).age, &s.balance.figures
	f.Decisions++
	f.AgeSum += age
	for i, bound := range LoadAgeBounds {
		if age <= bound {
			f.Ages[i]++
			return
		}
	}
}

// countRejection counts a rejection by a target that had a free slot by the estimate.
func (s *State) countRejection(now model.Instant, r *request, e SendEnded) {
	if e.Outcome != Rejected || len(r.hops) == 0 {
		return
	}
	t := s.targets[r.hops[0].Target]
	if t == nil {
		return
	}
	load := s.estimatedLoad(now, t)
	used := load.Requests
	if r.service.Engine != nil {
		used = load.First
	}
	if used-1 < t.Slots { // without the rejected request
		s.balance.figures.RejectedWithSpare++
	}
}
