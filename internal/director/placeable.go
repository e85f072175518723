package director

import (
	"math"
	"slices"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

// Placeable is a service with a layered model and the targets that can be given
// layers.
type Placeable struct {
	Service model.ServiceID
	Engine  *fleet.Engine
	Targets []fleet.Target
	// Interruptible is true when every request of the service may be repeated, so
	// that a target can release layers that requests in flight use.
	Interruptible bool
	// Slowness is the factor by which each target is slower than its kind.
	Slowness map[model.TargetID]float64
}

// Placeable returns the services with a layered model, in a fixed order, with their
// targets that are registered, ready and not down. It returns none while this VM is
// isolated.
func (s *State) Placeable(now model.Instant) []Placeable {
	if s.config == nil || s.Isolated() {
		return nil
	}
	var ids []model.ServiceID
	for id, service := range s.config.Services {
		if service.Engine != nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	var out []Placeable
	for _, id := range ids {
		p := Placeable{
			Service: id, Engine: s.config.Services[id].Engine, Interruptible: s.interruptible(id), Slowness: map[model.TargetID]float64{},
		}
		for _, t := range s.byService[id] {
			if !t.draining() && (t.missingSince == 0 || s.restore.pending(now)) && !s.down(now, t) {
				p.Targets = append(p.Targets, *t.Target)
				p.Slowness[t.ID] = math.Round(t.slowness(now))
			}
		}
		out = append(out, p)
	}
	return out
}

// interruptible reports whether requests of every route to a service may be
// repeated.
func (s *State) interruptible(id model.ServiceID) bool {
	for i := range s.config.Routes {
		route := &s.config.Routes[i]
		routed := slices.ContainsFunc(route.Split, func(part fleet.WeightedService) bool { return part.Service == id })
		if routed && !route.Repeatable() {
			return false
		}
	}
	return true
}
