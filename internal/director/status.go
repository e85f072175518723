package director

import (
	"maps"
	"slices"
	"time"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

// Status is a VM's view of the system, for operators.
type Status struct {
	VM   model.NodeID           `json:"vm"`
	Zone model.AvailabilityZone `json:"zone"`
	// Configuration is the version in force, 0 before the first.
	Configuration model.Revision `json:"configuration"`
	// ConfirmedMs is the time since the start of the last read that confirmed it; -1
	// before the first.
	ConfirmedMs int64 `json:"confirmed_ms"`
	// StoreUnreachable is true while reads of the store by this VM fail and no other VM's copy
	// shows a later one.
	StoreUnreachable bool `json:"store_away"`
	// StoreEra is the era of the last read of the store.
	StoreEra fleet.StoreEra `json:"store_era"`
	// Isolated is true when the VM lost most targets while they run.
	Isolated bool `json:"isolated"`
	// InFlight is the number of requests in flight.
	InFlight int            `json:"in_flight"`
	Targets  []TargetStatus `json:"targets"`
	// Holes are the layers that no usable target of a zone holds.
	Holes []MissingLayers `json:"holes"`
}

// TargetStatus is a VM's view of a target.
type TargetStatus struct {
	ID      model.TargetID         `json:"id"`
	Service model.ServiceID        `json:"service"`
	Zone    model.AvailabilityZone `json:"zone"`
	Kind    model.AcceleratorKind  `json:"kind,omitempty"`
	Held    model.LayerRange       `json:"held"`
	// State is "ready", "draining", "suspected" or "dead".
	State string `json:"state"`
	// Reached is false when the VM fails to reach the target itself.
	Reached bool    `json:"reached"`
	Pace    float64 `json:"pace"`
	// Requests and Waiting count the load of all VMs, as far as it is known.
	Requests int `json:"requests"`
	Waiting  int `json:"waiting"`
}

// MissingLayers is a range of layers that no usable target of a zone holds.
type MissingLayers struct {
	Service model.ServiceID        `json:"service"`
	Zone    model.AvailabilityZone `json:"zone"`
	Layers  model.LayerRange       `json:"layers"`
}

// Quarantined returns how many parts of prompts and contents of requests are quarantined.
func (s *State) Quarantined() (parts, contents int) {
	for cause, c := range s.crashRecords {
		switch {
		case !c.quarantined():
		case cause.IsPart():
			parts++
		default:
			contents++
		}
	}
	return parts, contents
}

// LimitedTargets returns how many targets have named a rate limit that is in force.
func (s *State) LimitedTargets() int {
	limited := 0
	for id := range s.targets {
		if s.limits.Limited(id) {
			limited++
		}
	}
	return limited
}

// Status returns the VM's view at a time, in a fixed order.
func (s *State) Status(now model.Instant) Status {
	out := Status{
		VM: s.settings.VM, Zone: s.settings.Zone, ConfirmedMs: -1, StoreUnreachable: s.store.failedAt != 0, StoreEra: s.storeEra, InFlight: len(s.requests), Isolated: s.Isolated(),
		Targets: []TargetStatus{}, Holes: s.missingLayers(now),
	}
	if s.config != nil {
		out.Configuration = s.config.Version
		out.ConfirmedMs = now.Sub(s.confirmedAt).Milliseconds()
	}
	for _, service := range s.services() {
		for _, t := range s.byService[service] {
			load := s.load(now, t)
			out.Targets = append(out.Targets, TargetStatus{
				ID: t.ID, Service: service, Zone: t.Zone, Kind: t.Kind, Held: t.Held, State: t.stateName(now), Reached: s.reaches(t),
				Pace: t.slowness(now), Requests: load.Requests, Waiting: load.Waiting,
			})
		}
	}
	return out
}

// ConfigAge returns the time since the start of the last read that confirmed the
// configuration; 0 before the first.
func (s *State) ConfigAge(now model.Instant) time.Duration {
	if s.config == nil {
		return 0
	}
	return now.Sub(s.confirmedAt)
}

// TargetStates returns the number of targets in each state.
func (s *State) TargetStates(now model.Instant) map[string]int {
	counts := map[string]int{}
	for _, t := range s.targets {
		counts[t.stateName(now)]++
	}
	return counts
}

func (t *target) stateName(now model.Instant) string {
	switch {
	case t.dead(now):
		return "dead"
	case t.draining():
		return "draining"
	case now < t.suspectedUntil:
		return "suspected"
	}
	return "ready"
}

// services returns the services that have targets, in a fixed order.
func (s *State) services() []model.ServiceID { return slices.Sorted(maps.Keys(s.byService)) }

// zones returns the zones that have targets of a service, in a fixed order.
func (s *State) zones(id model.ServiceID) []model.AvailabilityZone {
	var names []model.AvailabilityZone
	for _, t := range s.byService[id] {
		names = append(names, t.Zone)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// missingLayers returns the layers that no usable target holds, by service and zone.
func (s *State) missingLayers(now model.Instant) []MissingLayers {
	out := []MissingLayers{}
	for _, id := range s.services() {
		if s.config == nil || s.config.Services[id] == nil || s.config.Services[id].Engine == nil {
			continue
		}
		layers := s.config.Services[id].Engine.Layers
		for _, zone := range s.zones(id) {
			out = append(out, s.missingLayersIn(now, id, zone, layers)...)
		}
	}
	return out
}

func (s *State) missingLayersIn(now model.Instant, id model.ServiceID, zone model.AvailabilityZone, layers uint32) []MissingLayers {
	held := make([]bool, layers)
	for _, t := range s.byService[id] {
		if t.Zone != zone || !t.usable(now) {
			continue
		}
		for l := t.Held.First; l < min(t.Held.End, layers); l++ {
			held[l] = true
		}
	}
	var out []MissingLayers
	for _, missing := range gaps(held) {
		out = append(out, MissingLayers{Service: id, Zone: zone, Layers: missing})
	}
	return out
}
