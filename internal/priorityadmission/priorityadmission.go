// Package priorityadmission decides which requests are admitted while the kinds of requests of
// one service demand more than its targets serve. A kind leaves capacity free for the recent
// arrivals of more urgent ones; see docs/design/admission.md.
package priorityadmission

import (
	"cmp"
	"slices"
	"time"

	"tamarackreach/internal/model"
)

const (
	// rateWindow is the time constant of the rate of arrivals.
	rateWindow = 3 * time.Second
	// recentWindow is how long a kind counts after its last arrival: no capacity is held for
	// one that has stopped.
	recentWindow = 5 * time.Second
	// servedWindow is the time constant of the counts of admissions, refusals and ends.
	servedWindow = 10 * time.Second
	// updateInterval is how often the shares of workspaces are computed.
	updateInterval = 100 * time.Millisecond
	// forgotten is the number of recent requests below which a workspace is forgotten.
	forgotten = 0.01
	// reaction is the time for which capacity is reserved: two intervals of the messages by
	// which VMs learn of each other's load. Within it a refusal of less urgent requests does
	// not yet show in the loads.
	reaction = 400 * time.Millisecond
	// minStay is the least mean time in flight that is assumed.
	minStay = time.Millisecond
	// maxReserved bounds the fraction of the capacity that is reserved.
	maxReserved = 0.5
	// maxUrgentUse bounds the fraction of the prefill capacity that more urgent arrivals are
	// assumed to use, so that a request is admitted to an idle target.
	maxUrgentUse = 0.75
	// starvedShare is the fraction of the service's served share below which a kind or a
	// workspace is starved. The requirement is a quarter; the counts are of one VM and inexact.
	starvedShare = 0.35
	// initialArrivals is the number of arrivals assumed of each configured kind at the start.
	initialArrivals = 1
)

// Class is a set of requests that are admitted alike.
type Class struct {
	// Priority orders classes; 0 is the most urgent.
	Priority  int
	Workspace model.WorkspaceID
}

// Kind is a priority and a latency goal with which requests to a service are configured.
type Kind struct {
	Priority int
	// Goal is the objective for the time to the first event; 0 for none.
	Goal time.Duration
}

// Reason is why a request is refused.
type Reason uint8

// The reasons of a refusal.
const (
	// Reserved means that what is free is reserved for more urgent requests.
	Reserved Reason = iota + 1
	// Late means that the first event is predicted after the latency goal.
	Late
)

// Capacity is what the usable targets of a service hold together.
type Capacity struct {
	// Slots is the number of requests that they take as first hops, 0 if unlimited.
	Slots float64
	// Cache is the number of requests of mean length that fit into their KV caches, 0 if
	// unlimited.
	Cache float64
	// Copies is how many times they hold the whole model.
	Copies float64
}

// Request is a request that is to be admitted on a path.
type Request struct {
	Service model.ServiceID
	Class   Class
	// Goal is the request's latency goal, 0 for none.
	Goal time.Duration
	// VMs is the number of VMs that receive requests like this one.
	VMs      int
	Capacity Capacity
	// Slots is the fraction of the first hop's slots in use, and Cache the largest fraction
	// of a KV cache in use on the path.
	Slots, Cache float64
	// Prefill is the time of the request's own prefill, Queue that of the prompts of all
	// priorities that wait before it, and PromptTime that of one prompt, at the slowest hop.
	Prefill, Queue, PromptTime time.Duration
}

// Limits are the conditions under which requests of a class are admitted.
type Limits struct {
	// SlotsBelow is the fraction of slots in use below which a target takes the request as
	// first hop. CacheLeft is the fraction of the KV cache that has to remain free beside
	// what is free on a full target.
	SlotsBelow, CacheLeft float64
	// Ahead is the fraction of the waiting prompts that are at least as urgent.
	Ahead float64
	// Urgent is the rate of arrivals of more urgent requests at all VMs, per second.
	Urgent float64
}

// Verdict is the decision on a request.
type Verdict struct {
	Admit bool
	// Reason is why the request is not admitted.
	Reason Reason
	Limits Limits
	// Queue is the predicted wait of the request at its own priority.
	Queue time.Duration
	// Starved is true when the request's priority or workspace is served so seldom that the
	// limits are those of the most urgent priority, and OverShare when its workspace is
	// admitted more than its share.
	Starved, OverShare bool
}

// InTime reports whether a first event after a prefill and a queue meets a latency goal, 0 for
// none.
type InTime func(prefill, queue, goal time.Duration) bool

// Controller decides on the requests that arrive at one VM. Without differing priorities of a
// service it admits all that are in time.
type Controller struct {
	inTime InTime
	// fullCache is the fraction of a KV cache in use above which a target takes no request.
	fullCache float64
	services  map[model.ServiceID]*service
}

// service is the recent demand for a service.
type service struct {
	// priorities are in order, the most urgent first.
	priorities []*priority
	goals      []*goal
	all        tally
	// stay and ended are the sum of the times in flight and the number of the requests that
	// ended recently.
	stay, ended counter
}

// goal is a configured kind and when a request of it last arrived.
type goal struct {
	Kind
	arrivedAt model.Instant
}

// priority is the recent demand of one priority.
type priority struct {
	priority         int
	arrived, ended   counter
	tally            tally
	workspaces       shares
	admitted, denied uint64
}

// New returns a controller without services.
func New(fullCache float64, inTime InTime) *Controller {
	return &Controller{inTime: inTime, fullCache: fullCache, services: map[model.ServiceID]*service{}}
}

// Configure sets the kinds of each service. Kinds that are new are assumed to arrive equally
// until their arrivals are known.
func (c *Controller) Configure(now model.Instant, kinds map[model.ServiceID][]Kind) {
	services := make(map[model.ServiceID]*service, len(kinds))
	for id, list := range kinds {
		if next := newService(now, list, c.services[id]); len(next.priorities) > 1 {
			services[id] = next
		}
	}
	c.services = services
}

// newService returns the state of a service with the history of an earlier configuration, nil
// without one.
func newService(now model.Instant, kinds []Kind, before *service) *service {
	s := &service{}
	if before != nil {
		*s = *before
	}
	known, knownGoals := s.priorities, s.goals
	s.priorities, s.goals = nil, nil
	for _, kind := range kinds {
		if s.find(kind.Priority) == nil {
			s.priorities = append(s.priorities, knownPriority(now, known, kind.Priority))
		}
		if !slices.ContainsFunc(s.goals, func(g *goal) bool { return g.Kind == kind }) {
			g := &goal{Kind: kind, arrivedAt: now}
			if i := slices.IndexFunc(knownGoals, func(g *goal) bool { return g.Kind == kind }); i >= 0 {
				g = knownGoals[i]
			}
			s.goals = append(s.goals, g)
		}
	}
	slices.SortFunc(s.priorities, func(a, b *priority) int { return cmp.Compare(a.priority, b.priority) })
	return s
}

func knownPriority(now model.Instant, known []*priority, number int) *priority {
	for _, p := range known {
		if p.priority == number {
			return p
		}
	}
	p := &priority{priority: number, workspaces: shares{byID: map[model.WorkspaceID]*workspace{}}}
	p.arrived.add(now, rateWindow, initialArrivals)
	p.tally.admitted.add(now, servedWindow, initialArrivals)
	return p
}

func (s *service) find(number int) *priority {
	for _, p := range s.priorities {
		if p.priority == number {
			return p
		}
	}
	return nil
}

// lookup returns the state of a service and of a priority there, nil where none is configured.
func (c *Controller) lookup(id model.ServiceID, number int) (*service, *priority) {
	s := c.services[id]
	if s == nil {
		return nil, nil
	}
	p := s.find(number)
	if p == nil {
		return nil, nil
	}
	return s, p
}

// Enabled reports whether the kinds of a service differ in priority.
func (c *Controller) Enabled(id model.ServiceID) bool { return c.services[id] != nil }

// Arrived counts the arrival of a request, before the decision on it.
func (c *Controller) Arrived(now model.Instant, id model.ServiceID, class Class, goal time.Duration) {
	s, p := c.lookup(id, class.Priority)
	if s == nil {
		return
	}
	p.arrived.add(now, rateWindow, 1)
	p.workspaces.get(class.Workspace).arrived.add(now, rateWindow, 1)
	for _, g := range s.goals {
		if g.Priority == class.Priority && g.Goal == goal {
			g.arrivedAt = now
		}
	}
}

// Decided counts the decision on a request that arrived. Refusals that have nothing to do with
// the load are not to be counted.
func (c *Controller) Decided(now model.Instant, id model.ServiceID, class Class, admitted bool) {
	s, p := c.lookup(id, class.Priority)
	if s == nil {
		return
	}
	if admitted {
		p.admitted++
	} else {
		p.denied++
	}
	s.all.add(now, admitted)
	p.tally.add(now, admitted)
	p.workspaces.get(class.Workspace).tally.add(now, admitted)
}

// Ended counts the end of an admitted request after its time in flight.
func (c *Controller) Ended(now model.Instant, id model.ServiceID, class Class, stay time.Duration) {
	s, p := c.lookup(id, class.Priority)
	if s == nil {
		return
	}
	p.ended.add(now, servedWindow, 1)
	s.ended.add(now, servedWindow, 1)
	s.stay.add(now, servedWindow, stay.Seconds())
}

// Decide returns whether a request is admitted on a path. It changes no count.
//
// Invariant: of two requests on the same path, alike but for their priority, the more urgent is
// admitted if the other is, unless the other is starved.
func (c *Controller) Decide(now model.Instant, r Request) Verdict {
	s, p := c.lookup(r.Service, r.Class.Priority)
	if s == nil {
		v := Verdict{Admit: c.inTime(r.Prefill, r.Queue, r.Goal), Limits: Limits{SlotsBelow: 1, Ahead: 1}, Queue: r.Queue}
		if !v.Admit {
			v.Reason = Late
		}
		return v
	}
	p.workspaces.update(now)
	rank := p
	w := p.workspaces.byID[r.Class.Workspace]
	v := Verdict{OverShare: w != nil && p.workspaces.exceeds(now, w)}
	if v.Starved = s.starved(now, p, w); v.Starved {
		rank, v.OverShare = s.priorities[0], false
	}
	v.Limits = s.limits(now, r, rank, v.OverShare)
	v.Queue = v.Limits.wait(r)
	switch {
	case r.Slots > 0 && r.Slots >= v.Limits.SlotsBelow, r.Cache > 0 && r.Cache > c.fullCache-v.Limits.CacheLeft:
		v.Reason = Reserved
	case !c.inTime(r.Prefill, v.Queue, r.Goal) || !c.meetsGoals(now, s, rank, r.Prefill, v.Queue):
		v.Reason = Late
	default:
		v.Admit = true
	}
	return v
}

// meetsGoals reports whether a first event would meet the goals of the kinds at least as urgent
// that arrived recently, so that a longer goal is no advantage. Kinds of the same priority
// are left out: within one priority a longer goal may wait longer.
func (c *Controller) meetsGoals(now model.Instant, s *service, rank *priority, prefill, queue time.Duration) bool {
	for _, g := range s.goals {
		if g.Priority < rank.priority && now.Sub(g.arrivedAt) <= recentWindow && !c.inTime(prefill, queue, g.Goal) {
			return false
		}
	}
	return true
}

// starved reports whether a priority, or a workspace in it, is served so much less often than
// all requests that it is admitted like the most urgent.
func (s *service) starved(now model.Instant, p *priority, w *workspace) bool {
	all := s.all.served(now, 1)
	served := p.tally.served(now, all)
	if served < starvedShare*all {
		return true
	}
	return w != nil && w.tally.served(now, served) < starvedShare*all
}

// limits returns the conditions for requests of a priority.
func (s *service) limits(now model.Instant, r Request, rank *priority, over bool) Limits {
	perVM, ahead, admitted := 0.0, 0.0, 0.0
	for _, p := range s.priorities {
		recent := p.tally.admitted.over(now, servedWindow)
		admitted += recent
		if p.priority <= rank.priority {
			ahead += recent
		}
		if p.priority < rank.priority {
			perVM += rate(now, &p.arrived)
		}
	}
	if over {
		perVM += min(rank.workspaces.underRate, rate(now, &rank.arrived))
	}
	l := Limits{Urgent: perVM * float64(max(r.VMs, 1)), Ahead: 1}
	if admitted > 0 {
		l.Ahead = ahead / admitted
	}
	l.SlotsBelow, l.CacheLeft = 1-s.reserved(now, l.Urgent, r.Capacity.Slots), s.reserved(now, l.Urgent, r.Capacity.Cache)
	return l
}

// rate returns a rate of arrivals, per second; 0 when the last was not recent.
func rate(now model.Instant, c *counter) float64 {
	if now.Sub(c.at) > recentWindow {
		return 0
	}
	return c.over(now, rateWindow) / rateWindow.Seconds()
}
