package director

import (
	"math"
	"time"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/internal/priorityadmission"
)

// reasonReserved is the reason of a refusal while capacity is reserved for more urgent
// requests.
const reasonReserved = "the rest of the service's capacity is reserved for more urgent requests"

// capacityInterval is how long a computed capacity of a service is used: that of the messages
// which change loads.
const capacityInterval = 200 * time.Millisecond

// serviceCapacity is the capacity of a service as of at.
type serviceCapacity struct {
	priorityadmission.Capacity
	at model.Instant
}

func firstEventInTime(prefill, queue, goal time.Duration) bool {
	return Prediction{Prefill: prefill, Queue: queue}.inTime(goal)
}

// admissionKinds returns the priorities and latency goals with which requests can arrive at
// each service.
func admissionKinds(config *fleet.Config) map[model.ServiceID][]priorityadmission.Kind {
	priorities, withoutPriority := map[int]bool{}, len(config.Workspaces) == 0
	for i := range config.Workspaces {
		if w := &config.Workspaces[i]; w.HasPriority {
			priorities[w.Priority] = true
		} else {
			withoutPriority = true
		}
	}
	kinds := map[model.ServiceID][]priorityadmission.Kind{}
	for i := range config.Routes {
		route := &config.Routes[i]
		var list []priorityadmission.Kind
		if route.Public || withoutPriority {
			list = append(list, priorityadmission.Kind{Priority: route.Priority, Goal: route.LatencyGoal})
		}
		if !route.Public {
			for number := range priorities {
				list = append(list, priorityadmission.Kind{Priority: number, Goal: route.LatencyGoal})
			}
		}
		for _, part := range route.Split {
			if part.Weight > 0 {
				kinds[part.Service] = append(kinds[part.Service], list...)
			}
		}
	}
	return kinds
}

// class returns the class by which a request is admitted.
func (r *request) class() priorityadmission.Class {
	class := priorityadmission.Class{Priority: r.priority()}
	if r.workspace != nil {
		class.Workspace = r.workspace.ID
	}
	return class
}

// admit sends a request for the first time, or returns the reason why it is refused.
func (s *State) admit(now model.Instant, r *request) (*Send, string) {
	s.admission.Arrived(now, r.service.ID, r.class(), r.route.LatencyGoal)
	send, reason := s.send(now, r)
	switch reason {
	case "", reasonFull, reasonPromptBacklog, reasonReserved:
		s.admission.Decided(now, r.service.ID, r.class(), send != nil)
	}
	return send, reason
}

// admissionEnded counts the end of an admitted request.
func (s *State) admissionEnded(now model.Instant, r *request) {
	s.admission.Ended(now, r.service.ID, r.class(), now.Sub(r.sentAt))
}

// admissionRetryAfter returns the Retry-After of a request that is refused because of load,
// before its jitter; 0 where the priorities at its service do not differ.
func (s *State) admissionRetryAfter(now model.Instant, r *request) time.Duration {
	return s.admission.RetryAfter(now, r.service.ID, r.class(), r.expiresAt.Sub(now))
}

// admissionVMs returns the number of VMs that receive requests for a service, as far as they
// are known by their loads. A VM that is partitioned counts those that it has messages of.
func (s *State) admissionVMs(now model.Instant) int { return s.loads.VMs(now) + 1 }

// admissionRequest returns what the admission of a request depends on, without its path.
func (s *State) admissionRequest(now model.Instant, r *request) priorityadmission.Request {
	out := priorityadmission.Request{Service: r.service.ID, Class: r.class(), Goal: r.route.LatencyGoal}
	if s.admission.Enabled(r.service.ID) {
		out.VMs, out.Capacity = s.admissionVMs(now), s.capacity(now, r.service)
	}
	return out
}

// capacity returns the capacity of a service's usable targets.
func (s *State) capacity(now model.Instant, service *fleet.Service) priorityadmission.Capacity {
	c := s.capacities[service.ID]
	if c == nil {
		c = &serviceCapacity{}
		s.capacities[service.ID] = c
	}
	if c.at != 0 && now.Sub(c.at) < capacityInterval {
		return c.Capacity
	}
	*c = serviceCapacity{at: now}
	tokenLayers, engine := 0.0, service.Engine
	for _, t := range s.byService[service.ID] {
		switch {
		case !t.usable(now) || s.outOfRotation(now, t):
		case engine == nil:
			c.Slots += float64(max(t.Slots, 1))
		case t.Held.Len() > 0:
			if t.Held.First == 0 {
				c.Slots += float64(t.Slots)
			}
			tokenLayers += cacheTokenLayers(engine, t)
			c.Copies += float64(t.Held.Len()) / float64(engine.Layers)
		}
	}
	if engine != nil {
		c.Cache = tokenLayers / ((engine.MeanPromptTokens + meanAnswerFraction*engine.MeanAnswerTokens) * float64(engine.Layers))
	}
	return c.Capacity
}

// admitPath returns the path of a request that is admitted: the one given, or another that
// leaves the capacity free which is reserved for more urgent requests. Without one it returns
// the reason.
func (s *State) admitPath(now model.Instant, r *request, candidates []candidate, hops []fleet.Hop) ([]fleet.Hop, string) {
	request := s.admissionRequest(now, r)
	verdict := s.decidePath(now, r, request, hops)
	if verdict.Reason == priorityadmission.Reserved {
		r.verdict = verdict
		if hops = s.unreservedPath(now, r, candidates, verdict.Limits); hops == nil {
			return nil, reasonReserved
		}
		r.predicted = s.timeToFirstEvent(now, r, hops)
		verdict = s.decidePath(now, r, request, hops)
	}
	r.verdict = verdict
	r.predicted.Queue = verdict.Queue
	switch {
	case verdict.Admit:
		return hops, ""
	case verdict.Reason == priorityadmission.Late:
		return nil, reasonPromptBacklog
	}
	return nil, reasonReserved
}

// decidePath decides on a request and a path with the prediction r.predicted.
func (s *State) decidePath(now model.Instant, r *request, request priorityadmission.Request, hops []fleet.Hop) priorityadmission.Verdict {
	request.Prefill, request.Queue = r.predicted.Prefill, r.predicted.Queue
	if !s.admission.Enabled(r.service.ID) {
		return s.admission.Decide(now, request)
	}
	engine := r.service.Engine
	for i, hop := range hops {
		t := s.targets[hop.Target]
		load := s.estimatedLoad(now, t)
		if i == 0 {
			request.Slots = slotUse(load.First, t.Slots)
		}
		request.Cache = max(request.Cache, occupancy(engine, t, load))
		pass := engine.PassMs(engine.Hardware[t.Kind], hop.Layers.Len(), float64(load.Requests)) * t.slowness(now)
		request.PromptTime = max(request.PromptTime, millis(pass*meanPromptPasses(engine)))
	}
	return s.admission.Decide(now, request)
}

// unreservedPath returns the cheapest path over targets that have more capacity left than is
// reserved, nil without one. It changes the candidates.
func (s *State) unreservedPath(now model.Instant, r *request, candidates []candidate, limits priorityadmission.Limits) []fleet.Hop {
	for i := range candidates {
		c := &candidates[i]
		load := s.estimatedLoad(now, c.target)
		c.full = c.full || occupancy(r.service.Engine, c.target, load) > fullOccupancy-limits.CacheLeft
		if slotUse(load.First, c.target.Slots) >= limits.SlotsBelow {
			c.FirstHopCost = math.Inf(1)
		}
	}
	return s.findInRotation(now, r, candidates)
}

// admitTarget reports whether a request is admitted to the least loaded target of a plain
// service. The most urgent kind always is.
func (s *State) admitTarget(now model.Instant, r *request, t *target) bool {
	if !s.admission.Enabled(r.service.ID) {
		return true
	}
	request := s.admissionRequest(now, r)
	request.Slots = slotUse(s.estimatedLoad(now, t).Requests, max(t.Slots, 1))
	r.verdict = s.admission.Decide(now, request)
	return r.verdict.Admit || r.verdict.Limits.Urgent == 0
}

// slotUse returns the fraction of slots in use; 0 where they are not limited.
func slotUse(used, slots int) float64 {
	if slots <= 0 {
		return 0
	}
	return float64(used) / float64(slots)
}

// Admission returns the admission figures of all services whose requests differ in priority,
// in a fixed order.
func (s *State) Admission(now model.Instant) []priorityadmission.Figures {
	var out []priorityadmission.Figures
	for _, id := range s.services() {
		if s.admission.Enabled(id) && s.config.Services[id] != nil {
			out = append(out, s.admission.Figures(now, id, s.admissionVMs(now), s.capacity(now, s.config.Services[id]))...)
		}
	}
	return out
}
