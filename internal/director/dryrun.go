package director

import (
	"math"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/internal/outlier"
)

// DryRun is how a request would be routed now.
type DryRun struct {
	VM   model.NodeID           `json:"vm"`
	Zone model.AvailabilityZone `json:"zone"`
	// Configuration is the version in force, 0 before the first.
	Configuration model.Revision    `json:"configuration"`
	Route         string            `json:"route,omitempty"`
	Workspace     model.WorkspaceID `json:"workspace,omitempty"`
	Priority      int               `json:"priority"`
	// Refusal is that of a request which is refused whatever the state of targets.
	Refusal *DryRunRefusal `json:"refusal,omitempty"`
	// Services are those among which the route divides its requests.
	Services []DryRunService `json:"services,omitempty"`
}

// DryRunRefusal is a refusal. Requests get RetryAfterMs with a jitter of half of it.
type DryRunRefusal struct {
	Status       int    `json:"status"`
	Reason       string `json:"reason"`
	Detail       string `json:"detail,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms"`
}

// DryRunService is how the request would be routed to a service.
type DryRunService struct {
	Service model.ServiceID `json:"service"`
	// Share is the fraction of the route's requests that go to the service.
	Share float64 `json:"share"`
	// Admitted is true when a path was found; Refusal is set otherwise.
	Admitted bool           `json:"admitted"`
	Refusal  *DryRunRefusal `json:"refusal,omitempty"`
	Path     []DryRunHop    `json:"path,omitempty"`
	// Relay is the VM through which the first target is reached, empty for a direct send.
	Relay model.NodeID `json:"relay,omitempty"`
	// PrefillMs and QueueMs predict the time to the first event.
	PrefillMs  int64             `json:"prefill_ms"`
	QueueMs    int64             `json:"queue_ms"`
	Candidates []DryRunCandidate `json:"candidates"`
}

// DryRunHop is a hop of the chosen path.
type DryRunHop struct {
	Target model.TargetID   `json:"target"`
	Layers model.LayerRange `json:"layers"`
}

// DryRunCandidate is a target of the service.
type DryRunCandidate struct {
	Target model.TargetID         `json:"target"`
	Zone   model.AvailabilityZone `json:"zone"`
	Held   model.LayerRange       `json:"held"`
	// Requests, Waiting and First are the estimated load of all VMs, and
	// LoadAgeMs the age of the oldest statement of another VM in it, -1 without one.
	Requests  int   `json:"requests"`
	Waiting   int   `json:"waiting"`
	First     int   `json:"first"`
	Slots     int   `json:"slots"`
	LoadAgeMs int64 `json:"load_age_ms"`
	// CostPerLayer and FirstHopCost are in milliseconds per decode step, without the random
	// part; only targets of layered models that may take part have them, and only a target with
	// a free slot the second.
	CostPerLayer *float64 `json:"cost_per_layer,omitempty"`
	FirstHopCost *float64 `json:"first_hop_cost,omitempty"`
	// Excluded are the reasons for which the target is avoided, empty without one.
	Excluded []string `json:"excluded,omitempty"`
	Chosen   bool     `json:"chosen"`
}

// noJitter is the random number with which a duration is not changed by jitter, and a cost
// not by noise of the mean.
const noJitter = 0.5

// DryRun returns how a request would be routed now. The functions that decide are those for
// requests; nothing is sent, counted or reserved.
func (s *State) DryRun(now model.Instant, req *fleet.Request) DryRun {
	out := DryRun{VM: s.settings.VM, Zone: s.settings.Zone}
	if s.config != nil {
		out.Configuration = s.config.Version
	}
	var r *request
	effects := s.requestArrived(now, RequestArrived{Request: req, Random: noJitter, inspect: func(admitted *request) { r = admitted }})
	if r == nil {
		for _, effect := range effects {
			if refusal, ok := effect.(*Refuse); ok {
				out.Refusal = dryRunRefusal(refusal)
			}
		}
		return out
	}
	out.Route, out.Priority = r.route.Name, r.priority()
	if r.workspace != nil {
		out.Workspace = r.workspace.ID
	}
	total := 0.0
	for _, part := range r.route.Split {
		total += float64(part.Weight)
	}
	for _, part := range r.route.Split {
		if service := s.config.Services[part.Service]; service != nil && part.Weight > 0 {
			r.service = service
			run := s.dryRunService(now, r)
			run.Share = float64(part.Weight) / total
			out.Services = append(out.Services, run)
		}
	}
	return out
}

func dryRunRefusal(e *Refuse) *DryRunRefusal {
	return &DryRunRefusal{Status: e.Status, Reason: e.Reason, Detail: e.Detail, RetryAfterMs: e.RetryAfter.Milliseconds()}
}

// dryRunService chooses a path for a request that is not in flight.
func (s *State) dryRunService(now model.Instant, r *request) DryRunService {
	out := DryRunService{Service: r.service.ID, Candidates: s.dryRunCandidates(now, r)}
	hops, reason := s.chooseUnchanged(now, r)
	if hops == nil {
		out.Refusal = dryRunRefusal(s.refuseFirst(now, r, reason, noJitter))
		return out
	}
	out.Admitted = true
	if relay := s.relayFor(now, r, s.targets[hops[0].Target]); relay != nil {
		out.Relay = relay.VM
	}
	out.PrefillMs, out.QueueMs = r.predicted.Prefill.Milliseconds(), r.predicted.Queue.Milliseconds()
	for _, hop := range hops {
		out.Path = append(out.Path, DryRunHop{Target: hop.Target, Layers: hop.Layers})
		for i := range out.Candidates {
			out.Candidates[i].Chosen = out.Candidates[i].Chosen || out.Candidates[i].Target == hop.Target
		}
	}
	return out
}

// chooseUnchanged chooses a path and keeps what the search records: a failed one would have
// the targets under suspicion probed, and the predicted queue counts for the overflow.
func (s *State) chooseUnchanged(now model.Instant, r *request) ([]fleet.Hop, string) {
	needed := map[*target]model.Instant{}
	for _, t := range s.byService[r.service.ID] {
		needed[t] = t.neededAt
	}
	before := *s.overflowOf(r.service.ID)
	defer func() {
		for t, at := range needed {
			t.neededAt = at
		}
		o := s.overflowOf(r.service.ID)
		o.queue, o.queueAt = before.queue, before.queueAt
	}()
	return s.choose(now, r)
}

func (s *State) dryRunCandidates(now model.Instant, r *request) []DryRunCandidate {
	considered := map[*target]*candidate{}
	if r.service.Engine != nil {
		list := s.candidates(now, r)
		for i := range list {
			considered[list[i].target] = &list[i]
		}
	}
	out := []DryRunCandidate{}
	for _, t := range s.byService[r.service.ID] {
		load := s.estimatedLoad(now, t)
		c := DryRunCandidate{
			Target: t.ID, Zone: t.Zone, Held: t.Held, Requests: load.Requests, Waiting: load.Waiting, First: load.First, Slots: t.Slots,
			LoadAgeMs: -1, Excluded: s.excluded(now, r, t, considered[t]),
		}
		if age, ok := s.loads.Age(now, t.ID); ok {
			c.LoadAgeMs = age.Milliseconds()
		}
		if found := considered[t]; found != nil {
			cost := layerCost(r.service.Engine, t, load, occupancy(r.service.Engine, t, load)) * t.slowness(now)
			c.CostPerLayer = finite(cost)
			if t.Held.First == 0 {
				c.FirstHopCost = finite(found.FirstHopCost)
			}
		}
		out = append(out, c)
	}
	return out
}

// finite returns nil for an infinite cost, which JSON cannot hold.
func finite(cost float64) *float64 {
	if math.IsInf(cost, 0) || math.IsNaN(cost) {
		return nil
	}
	return &cost
}

// excluded returns why a target is avoided.
func (s *State) excluded(now model.Instant, r *request, t *target, c *candidate) (out []string) {
	add := func(holds bool, reason string) {
		if holds {
			out = append(out, reason)
		}
	}
	add(t.dead(now), "dead")
	add(t.draining(), "draining")
	add(r.service.Engine != nil && t.Held.Len() == 0, "holds no layers")
	add(now < t.suspectedUntil, "suspected for "+t.suspectedUntil.Sub(now).String())
	add(s.ejected(now, r, t), "out of rotation for its errors")
	add(s.outliers.Standing(now, t.outlierTarget(), r.route.Repeatable()) == outlier.TrialDue, "a trial is due, which would begin with this request")
	add(!s.mayStartOn(now, t), "named a limit or a backoff")
	add(!s.reaches(t) && s.runsUnreached(now, t) && s.relayTo(now, r, t) == nil, "not reached by this VM or a relay")
	if c != nil {
		add(c.full, "KV cache is full")
		add(t.Held.First == 0 && t.Slots > 0 && s.estimatedLoad(now, t).First >= t.Slots, "no free slot as first hop")
	}
	return out
}
