// Package zoneoverflow decides which share of the requests of a zone is sent to other
// zones, from the demand that arrives in each zone and the capacity of its targets. It is
// pure.
package zoneoverflow

import (
	"math"
	"time"

	"tamarackreach/internal/model"
)

const (
	// Expiry is the age from which the state of another zone does not count.
	Expiry = 2 * time.Second
	// targetUse is the use of capacity to which overflow reduces the home zone, and up to
	// which it fills others. Both are the same, so that no zone sends on what it receives.
	targetUse = 0.65
	// reducedUse is the observed use from which the spare capacity of another zone is
	// reduced, and fullUse the one from which it has none: demand and capacity are
	// estimates.
	reducedUse, fullUse = 0.8, 0.95
	// maxUse bounds an observed use.
	maxUse = 4
)

// ZoneState is the state of the targets of one service in a zone.
type ZoneState struct {
	Zone model.AvailabilityZone
	// Age is the age of the newest message from the zone; 0 for the home zone.
	Age time.Duration
	// Demand is the rate at which requests arrive in the zone, and Capacity the rate that its
	// targets can serve, in requests per second. Demand does not depend on where requests
	// are sent, so that shares computed from it do not oscillate.
	Demand, Capacity float64
	// Used is the observed use of the targets, where 1 is all of the scarcest resource.
	Used float64
}

// Use returns the use of the zone that is to be expected: that of its demand, or the
// observed one where that is higher.
func (z ZoneState) Use() float64 {
	if z.Capacity <= 0 {
		return maxUse
	}
	return min(max(z.Demand/z.Capacity, z.Used), maxUse)
}

// Spare returns the rate that the zone can serve beyond its own demand.
func (z ZoneState) Spare() float64 {
	free := targetUse*z.Capacity - z.Demand
	return max(free, 0) * min(max((fullUse-z.Used)/(fullUse-reducedUse), 0), 1)
}

// valid reports whether the figures can be computed with.
func (z ZoneState) valid() bool {
	finite := func(f float64) bool { return f >= 0 && !math.IsInf(f, 0) && !math.IsNaN(f) }
	return finite(z.Demand) && finite(z.Capacity) && finite(z.Used) && z.Age >= 0 && z.Age <= Expiry
}

// Shares returns the shares of the demand of the home zone that other zones are to serve,
// each above 0 and at most 1 in total. The excess of the home zone is divided in proportion
// to the spare capacity of the others. Where several zones have an excess, all compute the
// same division, so that they do not use the same spare capacity twice.
func Shares(home model.AvailabilityZone, zones []ZoneState) map[model.AvailabilityZone]float64 {
	var own ZoneState
	spare, excess := 0.0, 0.0
	for _, z := range zones {
		switch {
		case !z.valid():
		case z.Zone == home:
			own = z
		default:
			spare += z.Spare()
			excess += max(z.Demand-targetUse*z.Capacity, 0)
		}
	}
	demand := max(own.Demand, own.Used*own.Capacity)
	ownExcess := max(demand-targetUse*own.Capacity, 0)
	if own.Zone == "" || ownExcess <= 0 || spare <= 0 {
		return nil
	}
	total := ownExcess / demand * min(1, spare/(excess+ownExcess))
	out := map[model.AvailabilityZone]float64{}
	for _, z := range zones {
		if z.Zone != home && z.valid() && z.Spare() > 0 {
			out[z.Zone] = total * z.Spare() / spare
		}
	}
	return out
}
