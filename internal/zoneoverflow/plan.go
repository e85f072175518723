package zoneoverflow

import (
	"maps"
	"math"
	"slices"
	"time"

	"tamarackreach/internal/model"
)

const (
	// beginUse is the expected use of the home zone from which requests overflow, and
	// endUse the one below which they no longer do: between them the state does not change.
	beginUse, endUse = 0.75, 0.55
	// calmUse is the observed use of the home zone below which no overflow begins, whatever
	// the demand: the estimate of the capacity may be too low.
	calmUse = 0.35
	// riseTime and fallTime are the time constants with which shares follow their targets:
	// a peak builds up within a second, and noise of the demand must not show in the shares.
	riseTime, fallTime = 300 * time.Millisecond, time.Second
	// usedTime is the time constant of the mean of the observed use. Overflow changes what
	// is observed, up to 2 s later in other zones: a shorter mean would oscillate.
	usedTime = time.Second
	// minShare is the share below which a share ends.
	minShare = 0.005
)

// Plan is the overflow of one service from the home zone over time.
type Plan struct {
	updatedAt model.Instant
	active    bool
	used      map[model.AvailabilityZone]float64
	shares    map[model.AvailabilityZone]float64
	zones     []ZoneState
}

// Update replaces the states of the zones; zones that are not given do not count. It reports
// whether overflow began or ended.
func (p *Plan) Update(now model.Instant, home model.AvailabilityZone, zones []ZoneState) (changed bool) {
	elapsed := now.Sub(p.updatedAt)
	if p.updatedAt == 0 {
		elapsed = 0
	}
	p.updatedAt = now
	p.zones = p.smoothed(zones, elapsed)
	was := p.active
	p.active = p.isActive(home)
	var targets map[model.AvailabilityZone]float64
	if p.active {
		targets = Shares(home, p.zones)
	}
	p.follow(home, targets, elapsed)
	return was != p.active
}

// smoothed returns the states that count, with the mean of the observed use.
func (p *Plan) smoothed(zones []ZoneState, elapsed time.Duration) []ZoneState {
	used := make(map[model.AvailabilityZone]float64, len(zones))
	out := make([]ZoneState, 0, len(zones))
	for _, z := range zones {
		if !z.valid() {
			continue
		}
		z.Used = min(z.Used, maxUse)
		if mean, known := p.used[z.Zone]; known {
			z.Used = mean + (z.Used-mean)*approach(elapsed, usedTime)
		}
		used[z.Zone] = z.Used
		out = append(out, z)
	}
	p.used = used
	return out
}

func (p *Plan) isActive(home model.AvailabilityZone) bool {
	i := slices.IndexFunc(p.zones, func(z ZoneState) bool { return z.Zone == home })
	switch {
	case i < 0 || len(p.zones) < 2:
		return false
	case p.active:
		return p.zones[i].Use() >= endUse
	}
	return p.zones[i].Use() > beginUse && (p.zones[i].Used > calmUse || p.zones[i].Capacity <= 0)
}

// follow moves the shares towards their targets. The share of a zone that does not count
// ends at once.
func (p *Plan) follow(home model.AvailabilityZone, targets map[model.AvailabilityZone]float64, elapsed time.Duration) {
	shares := map[model.AvailabilityZone]float64{}
	for _, z := range p.zones {
		if z.Zone == home {
			continue
		}
		share, target := p.shares[z.Zone], targets[z.Zone]
		constant := riseTime
		if target < share {
			constant = fallTime
		}
		share += (target - share) * approach(elapsed, constant)
		if share >= minShare {
			shares[z.Zone] = min(share, 1)
		}
	}
	p.shares = shares
}

// approach returns the fraction of its distance that a value with a time constant covers.
func approach(elapsed, constant time.Duration) float64 {
	return -math.Expm1(-elapsed.Seconds() / constant.Seconds())
}

// Active reports whether requests overflow.
func (p *Plan) Active() bool { return p.active }

// Shares returns the share of the requests that each zone is to serve.
func (p *Plan) Shares() map[model.AvailabilityZone]float64 { return maps.Clone(p.shares) }

// Zones returns the states behind the shares, with the mean of the observed use.
func (p *Plan) Zones() []ZoneState { return slices.Clone(p.zones) }

// Draw returns the zone that serves a request with a random number in [0,1), the home zone
// unless the number falls into the share of another one.
func (p *Plan) Draw(home model.AvailabilityZone, random float64) model.AvailabilityZone {
	if len(p.shares) == 0 {
		return home
	}
	for _, zone := range slices.Sorted(maps.Keys(p.shares)) {
		if random -= p.shares[zone]; random < 0 {
			return zone
		}
	}
	return home
}
