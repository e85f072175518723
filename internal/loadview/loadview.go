// Package loadview holds the loads that other VMs put on targets. It keeps their sum for
// each target, so that a decision costs the same whatever the number of VMs.
package loadview

import (
	"math"
	"time"

	"tamarackreach/internal/model"
)

// Expiry is how long a load counts after it was received: ten message intervals.
const Expiry = 2 * time.Second

// Load is the work in flight on a target.
type Load struct {
	// Requests is the number of requests.
	Requests int
	// TokenLayers is the sum over requests of tokens times layers run by the target.
	TokenLayers float64
	// Waiting is the number of requests without an answer yet: their prompts are in
	// prefill.
	Waiting int
	// First counts the requests whose first hop is the target.
	First int
}

// Plus returns the sum of two loads.
func (l Load) Plus(other Load) Load {
	return Load{
		Requests: l.Requests + other.Requests, TokenLayers: l.TokenLayers + other.TokenLayers,
		Waiting: l.Waiting + other.Waiting, First: l.First + other.First,
	}
}

// Times returns a part of a load, or a multiple, with counts rounded to the nearest.
func (l Load) Times(factor float64) Load {
	count := func(n int) int { return int(math.Round(float64(n) * factor)) }
	return Load{Requests: count(l.Requests), TokenLayers: l.TokenLayers * factor, Waiting: count(l.Waiting), First: count(l.First)}
}

// maxCount is the highest count of a load that is stated: sums of all VMs do not overflow.
const maxCount = 1 << 20

// Bounded returns a copy of loads without negative counts and without impossible ones.
func Bounded(loads Loads) Loads {
	count := func(n int) int { return min(max(n, 0), maxCount) }
	out := make(Loads, len(loads))
	for id, l := range loads {
		out[id] = Load{Requests: count(l.Requests), TokenLayers: max(l.TokenLayers, 0), Waiting: count(l.Waiting), First: count(l.First)}
	}
	return out
}

// Loads are loads by target.
type Loads map[model.TargetID]Load

// Sum is the load of other VMs on a target.
type Sum struct {
	Load
	// StatedMs is the sum over the requests of when they were stated, in milliseconds of the
	// receiver's clock. It is an integer, so that additions and subtractions leave no
	// rounding errors.
	StatedMs int64
}

// source is what a VM or a zone last stated.
type source struct {
	receivedAt model.Instant
	// statedMs is when the loads were stated, as a mean over the VMs of a zone.
	statedMs int64
	loads    Loads
}

// zone is the last digest of a zone.
type zone struct {
	source
	// members are the VMs whose loads the digest contains.
	members map[model.NodeID]bool
}

// View is the loads of all other VMs, as received from them or in digests of their zones.
//
// Invariant: the load of a VM counts once. While a digest of its zone that contains it
// counts, its own messages do not.
type View struct {
	vms   map[model.NodeID]*source
	zones map[model.AvailabilityZone]*zone
	sums  map[model.TargetID]*Sum
	// nextExpiry is when the oldest load expires; 0 without loads.
	nextExpiry model.Instant
}

// New returns a view without loads.
func New() *View {
	return &View{vms: map[model.NodeID]*source{}, zones: map[model.AvailabilityZone]*zone{}, sums: map[model.TargetID]*Sum{}}
}

// Sum returns the sum of the loads on a target. It stays valid, and current after Expire,
// until Forget.
func (v *View) Sum(id model.TargetID) *Sum {
	sum := v.sums[id]
	if sum == nil {
		sum = &Sum{}
		v.sums[id] = sum
	}
	return sum
}

// Forget discards the sum of a target that is gone, unless a load on it still counts.
func (v *View) Forget(id model.TargetID) {
	if sum := v.sums[id]; sum != nil && sum.Requests == 0 {
		delete(v.sums, id)
	}
}

// SetVM replaces the loads of a VM by those in its own message.
func (v *View) SetVM(now model.Instant, vm model.NodeID, in model.AvailabilityZone, loads Loads) {
	v.Expire(now)
	v.removeVM(vm)
	if z := v.zones[in]; z != nil && z.members[vm] {
		return
	}
	v.vms[vm] = &source{receivedAt: now, statedMs: milliseconds(now), loads: loads}
	v.add(v.vms[vm])
}

// SetZone replaces the loads of a zone by those in a digest, which contains those of its
// members. age is the mean time since the members stated them.
func (v *View) SetZone(now model.Instant, in model.AvailabilityZone, members []model.NodeID, age time.Duration, loads Loads) {
	v.Expire(now)
	v.removeZone(in)
	stated := milliseconds(now.Add(-max(age, 0)))
	z := &zone{source: source{receivedAt: now, statedMs: stated, loads: loads}, members: make(map[model.NodeID]bool, len(members))}
	for _, vm := range members {
		v.removeVM(vm)
		z.members[vm] = true
	}
	v.zones[in] = z
	v.add(&z.source)
}

// Expire discards the loads that are too old to count.
func (v *View) Expire(now model.Instant) {
	if v.nextExpiry == 0 || now <= v.nextExpiry {
		return
	}
	v.nextExpiry = 0
	for vm, s := range v.vms {
		if now.Sub(s.receivedAt) > Expiry {
			v.removeVM(vm)
		} else {
			v.expireLater(s.receivedAt)
		}
	}
	for name, z := range v.zones {
		if now.Sub(z.receivedAt) > Expiry {
			v.removeZone(name)
		} else {
			v.expireLater(z.receivedAt)
		}
	}
}

// Any reports whether loads of another VM count, also if they are zero.
func (v *View) Any(now model.Instant) bool {
	v.Expire(now)
	return len(v.vms) > 0 || len(v.zones) > 0
}

// Staters returns the number of VMs whose loads count by their own messages.
func (v *View) Staters(now model.Instant) int {
	v.Expire(now)
	return len(v.vms)
}

// VMs returns the number of VMs whose loads count.
func (v *View) VMs(now model.Instant) int {
	v.Expire(now)
	count := len(v.vms)
	for _, z := range v.zones {
		count += len(z.members)
	}
	return count
}

func (v *View) expireLater(receivedAt model.Instant) {
	if at := receivedAt.Add(Expiry); v.nextExpiry == 0 || at < v.nextExpiry {
		v.nextExpiry = at
	}
}

// milliseconds returns an instant as a whole number of milliseconds.
func milliseconds(at model.Instant) int64 { return int64(at) / int64(time.Millisecond) }

func (v *View) add(from *source) {
	v.expireLater(from.receivedAt)
	for id, l := range from.loads {
		sum := v.Sum(id)
		sum.Load = sum.Plus(l)
		sum.StatedMs += int64(l.Requests) * from.statedMs
	}
}

func (v *View) subtract(from *source) {
	for id, l := range from.loads {
		sum := v.Sum(id)
		sum.Load = sum.Plus(Load{Requests: -l.Requests, TokenLayers: -l.TokenLayers, Waiting: -l.Waiting, First: -l.First})
		sum.StatedMs -= int64(l.Requests) * from.statedMs
		if sum.Requests == 0 {
			sum.Load = Load{} // discards rounding errors of TokenLayers
		}
	}
}

func (v *View) removeVM(vm model.NodeID) {
	if s := v.vms[vm]; s != nil {
		v.subtract(s)
		delete(v.vms, vm)
	}
}

func (v *View) removeZone(name model.AvailabilityZone) {
	if z := v.zones[name]; z != nil {
		v.subtract(&z.source)
		delete(v.zones, name)
	}
}
