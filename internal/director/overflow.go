package director

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/internal/zoneoverflow"
)

const (
	// overflowInterval is the interval at which the shares of other zones are computed.
	overflowInterval = 100 * time.Millisecond
	// firstEventExpiry is how long the predicted queue of a request counts as observed.
	firstEventExpiry = 500 * time.Millisecond
	// demandUnits is the number of units of a demand in one request per second.
	demandUnits = 1000
	// maxSentDemands bounds the services whose demand a message states.
	maxSentDemands = 64
	// overflowSeed distinguishes the draw of a zone from the other uses of a request's random
	// number.
	overflowSeed = 0x6f766572
)

// overflow is the demand for each service, and what is sent to other zones because of it.
type overflow struct {
	services map[model.ServiceID]*serviceOverflow
	// changes are the changes since the last event.
	changes []Effect
}

// serviceOverflow is the demand for a service at this VM, and its overflow.
type serviceOverflow struct {
	demand zoneoverflow.Rate
	plan   zoneoverflow.Plan
	// expiresAt is when the plan is to be computed again: after overflowInterval, or when the
	// state of a zone becomes too old.
	expiresAt model.Instant
	// queue is the fraction of the time to the latency goal that the queue on the last path
	// in the home zone takes, as of queueAt.
	queue   float64
	queueAt model.Instant
	// sent counts the requests sent to each other zone by the draw.
	sent map[model.AvailabilityZone]uint64
}

func (s *State) overflowOf(id model.ServiceID) *serviceOverflow {
	o := s.overflow.services[id]
	if o == nil {
		if s.overflow.services == nil {
			s.overflow.services = map[model.ServiceID]*serviceOverflow{}
		}
		o = &serviceOverflow{sent: map[model.AvailabilityZone]uint64{}}
		s.overflow.services[id] = o
	}
	return o
}

// countDemand counts a request that has arrived for a service, before its first send.
func (s *State) countDemand(now model.Instant, r *request) {
	if r.sends == 0 {
		s.overflowOf(r.service.ID).demand.Count(now)
	}
}

// recordQueue records the predicted queue on a path that begins in the home zone.
func (s *State) recordQueue(now model.Instant, r *request, hops []fleet.Hop) {
	goal := r.route.LatencyGoal
	if goal == 0 || s.targets[hops[0].Target].Zone != s.settings.Zone {
		return
	}
	limit := time.Duration(lateFraction * float64(goal))
	// A prefill that takes most of the goal, or more, leaves little for the queue in any zone.
	left := max(limit-r.predicted.Prefill, limit/4)
	o := s.overflowOf(r.service.ID)
	o.queue, o.queueAt = float64(r.predicted.Queue)/float64(left), now
}

// countOverflow counts a request that is sent to the zone that was drawn for it.
func (s *State) countOverflow(now model.Instant, r *request, first *target) {
	if first.Zone != s.settings.Zone && r.sends == 0 && s.preferredZone(now, r) == first.Zone {
		s.overflowOf(r.service.ID).sent[first.Zone]++
	}
}

// preferredZone returns the zone whose targets serve a request at no additional cost: the
// home zone, but for the share of first sends that overflows.
func (s *State) preferredZone(now model.Instant, r *request) model.AvailabilityZone {
	if r.sends > 0 {
		return s.settings.Zone
	}
	o := s.overflowOf(r.service.ID)
	if now >= o.expiresAt {
		s.updateOverflow(now, r.service, o)
	}
	draw := rand.New(rand.NewPCG(math.Float64bits(r.random), overflowSeed))
	return o.plan.Draw(s.settings.Zone, draw.Float64())
}

// otherZonePath returns a path within another zone than the one whose path is late, nil
// where none of the zones with spare capacity has a path in time.
func (s *State) otherZonePath(now model.Instant, r *request, candidates []candidate) []fleet.Hop {
	late := r.predicted
	zones := []model.AvailabilityZone{s.settings.Zone}
	for _, z := range s.overflowOf(r.service.ID).plan.Zones() {
		if z.Zone != s.settings.Zone && z.Spare() > 0 {
			zones = append(zones, z.Zone)
		}
	}
	if len(zones) == 1 {
		return nil
	}
	for _, zone := range zones {
		hops := s.findPath(now, r, candidates, func(c *candidate) bool { return c.usable && !c.full && !c.ejected && c.Zone == zone })
		if hops == nil {
			continue
		}
		if r.predicted = s.timeToFirstEvent(now, r, hops); r.predicted.inTime(r.route.LatencyGoal) {
			return hops
		}
	}
	r.predicted = late
	return nil
}

// updateOverflow computes the shares of other zones.
func (s *State) updateOverflow(now model.Instant, service *fleet.Service, o *serviceOverflow) {
	o.expiresAt = now.Add(overflowInterval)
	zones := s.overflowZones(now, service, o)
	for _, z := range zones {
		if z.Zone != s.settings.Zone {
			o.expiresAt = min(o.expiresAt, now.Add(zoneoverflow.Expiry-z.Age+1))
		}
	}
	if !o.plan.Update(now, s.settings.Zone, zones) {
		return
	}
	what := "requests overflow to other zones"
	if !o.plan.Active() {
		what = "requests overflow no longer"
	}
	var detail []string
	for _, z := range o.plan.Zones() {
		detail = append(detail, fmt.Sprintf("zone %s: demand %.1f/s, capacity %.1f/s, used %.2f, age %s", z.Zone, z.Demand, z.Capacity, z.Used, z.Age))
	}
	s.overflow.changes = append(s.overflow.changes, &StateChanged{What: what, Subject: string(service.ID), Detail: strings.Join(detail, "; ")})
}

// overflowZones returns the states of the zones with targets of a service whose demand is
// known; none where the service has targets in one zone only, or its capacity is unknown.
func (s *State) overflowZones(now model.Instant, service *fleet.Service, o *serviceOverflow) []zoneoverflow.ZoneState {
	stay := s.stayOf(service.ID).whole.Mean()
	if stay <= 0 {
		return nil
	}
	demands := s.zoneDemands(now, service.ID)
	if len(demands) < 2 {
		return nil
	}
	capacities := s.zoneCapacities(now, service)
	if capacities[s.settings.Zone] == nil {
		capacities[s.settings.Zone] = &zoneCapacity{}
	}
	if len(capacities) < 2 {
		return nil
	}
	var out []zoneoverflow.ZoneState
	for _, zone := range slices.Sorted(maps.Keys(capacities)) {
		d, c := demands[zone], capacities[zone]
		if d == nil || d.reporting == 0 {
			continue // no VM there, or VMs of an earlier build, which state no demand
		}
		rate, used := c.perSecond(stay)
		if zone == s.settings.Zone && now.Sub(o.queueAt) < firstEventExpiry {
			used = max(used, o.queue)
		}
		out = append(out, zoneoverflow.ZoneState{
			Zone: zone, Age: now.Sub(d.newest), Demand: d.perSecond(), Capacity: rate, Used: used,
		})
	}
	return out
}

// zoneDemand is the demand that the VMs of a zone state.
type zoneDemand struct {
	// own is that of this VM, and others the sum of the others' in units of 1/demandUnits:
	// a sum of integers does not depend on the order of the VMs.
	own    float64
	others int64
	// vms is the number of VMs whose last message counts, and reporting the number of those
	// that state their demand.
	vms, reporting int
	newest         model.Instant
}

// perSecond returns the demand of the zone in requests per second, with that of the VMs that
// state none as the mean of the others.
func (d *zoneDemand) perSecond() float64 {
	return (d.own + float64(d.others)/demandUnits) * float64(d.vms) / float64(d.reporting)
}

// zoneDemands returns the demand for a service in each zone.
func (s *State) zoneDemands(now model.Instant, id model.ServiceID) map[model.AvailabilityZone]*zoneDemand {
	out := map[model.AvailabilityZone]*zoneDemand{
		s.settings.Zone: {own: s.overflowOf(id).demand.At(now), vms: 1, reporting: 1, newest: now},
	}
	for _, p := range s.peers {
		if p.zone == "" || now.Sub(p.receivedAt) > zoneoverflow.Expiry {
			continue
		}
		d := out[p.zone]
		if d == nil {
			d = &zoneDemand{}
			out[p.zone] = d
		}
		d.vms++
		d.newest = max(d.newest, p.receivedAt)
		if p.demand != nil {
			d.reporting++
			d.others += int64(p.demand[id] * demandUnits)
		}
	}
	return out
}

// sentDemand returns the demand to state to other VMs, in requests per second: not nil, since
// nil means that it is not known.
func (s *State) sentDemand(now model.Instant) map[model.ServiceID]float64 {
	const negligible = 0.01
	out := map[model.ServiceID]float64{}
	for _, id := range slices.Sorted(maps.Keys(s.overflow.services)) {
		if rate := s.overflow.services[id].demand.At(now); rate >= negligible && len(out) < maxSentDemands {
			out[id] = rate
		}
	}
	return out
}

// takeOverflowChanges returns the changes of overflows since the last event, before others.
func (s *State) takeOverflowChanges(others []Effect) []Effect {
	if len(s.overflow.changes) == 0 {
		return others
	}
	changes := s.overflow.changes
	s.overflow.changes = nil
	return append(changes, others...)
}

// Overflow is the overflow of a service to a zone, for metrics.
type Overflow struct {
	Service model.ServiceID
	Zone    model.AvailabilityZone
	// Demand and Capacity are rates of requests per second of the zone, as last computed.
	Demand, Capacity float64
	// Share is the share of this zone's requests that the other zone is to serve.
	Share float64
	// Sent counts the requests of this VM that were sent there.
	Sent uint64
}

// Overflows returns the overflow of each service to each zone, in a fixed order.
func (s *State) Overflows() []Overflow {
	var out []Overflow
	for _, id := range slices.Sorted(maps.Keys(s.overflow.services)) {
		o := s.overflow.services[id]
		shares := o.plan.Shares()
		sent := maps.Clone(o.sent)
		for _, z := range o.plan.Zones() {
			out = append(out, Overflow{Service: id, Zone: z.Zone, Demand: z.Demand, Capacity: z.Capacity, Share: shares[z.Zone], Sent: sent[z.Zone]})
			delete(sent, z.Zone)
		}
		for _, zone := range slices.Sorted(maps.Keys(sent)) {
			out = append(out, Overflow{Service: id, Zone: zone, Sent: sent[zone]})
		}
	}
	return out
}
