package priorityadmission

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"tamarackreach/internal/model"
)

// headroom returns for how many requests of a capacity room is left: for those that arrive at a
// rate within the reaction time, or in the time that one is in flight where that is shorter,
// less those that end meanwhile when the capacity is used, and two standard deviations of a
// Poisson process.
func (s *service) headroom(now model.Instant, perSecond, capacity float64) float64 {
	period, ending := reaction.Seconds(), 0.0
	if ended := s.ended.over(now, servedWindow); ended >= 1 {
		stay := max(s.stay.over(now, servedWindow)/ended, minStay.Seconds())
		period = min(period, stay)
		ending = capacity * period / stay
	}
	expected := perSecond * period
	return max(expected-ending, 0) + 2*math.Sqrt(expected)
}

// reserved returns the fraction of a capacity that is left for arrivals at a rate; 0 where it
// is unlimited.
func (s *service) reserved(now model.Instant, perSecond, capacity float64) float64 {
	if capacity <= 0 {
		return 0
	}
	return min(s.headroom(now, perSecond, capacity)/capacity, maxReserved)
}

// wait returns the predicted wait of a request at its own priority: the prompts that are at
// least as urgent, and the more urgent ones that arrive in the meantime and are served before it
// (the waiting time of a queue with priorities). Without a queue it is 0, so that a request is
// admitted to an idle target whatever the rate of the others.
func (l Limits) wait(r Request) time.Duration {
	urgent := 0.0
	if r.Capacity.Copies > 0 {
		urgent = min(l.Urgent/r.Capacity.Copies*r.PromptTime.Seconds(), maxUrgentUse)
	}
	return time.Duration(l.Ahead * float64(r.Queue) / (1 - urgent))
}

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After before it is multiplied by a random
	// factor from 0.5 to 1.5, so that the product is between 250 ms and 10 s.
	minRetryAfter, maxRetryAfter = 500 * time.Millisecond, 6600 * time.Millisecond
	// fewRequests is added to the requests from which a backlog is computed, so that the first
	// refusals after a start give no long Retry-After.
	fewRequests = 4
	// timeLeftFraction bounds the Retry-After before the random factor: callers honour it up to
	// a third of their remaining time.
	timeLeftFraction = 1.0 / 3 / 1.5
)

// RetryAfter returns the Retry-After of a refused request, before a random factor from 0.5 to
// 1.5. It rises with the backlog of the request's priority, which is the recent refusals
// against the ends of requests. It is 0 where the kinds of the service do not differ.
func (c *Controller) RetryAfter(now model.Instant, id model.ServiceID, class Class, timeLeft time.Duration) time.Duration {
	s, p := c.lookup(id, class.Priority)
	if s == nil {
		return 0
	}
	refused, ended := p.tally.refused.over(now, servedWindow), p.ended.over(now, servedWindow)
	backlog := refused / (refused + ended + fewRequests)
	after := min(max(time.Duration(backlog*float64(servedWindow)), minRetryAfter), maxRetryAfter)
	return min(after, time.Duration(timeLeftFraction*float64(timeLeft)))
}

// String returns the limits that were applied, for the log.
func (v Verdict) String() string {
	return fmt.Sprintf("slots below %.2f, cache left %.2f, %.1f more urgent requests a second, starved %t, over its share %t",
		v.Limits.SlotsBelow, v.Limits.CacheLeft, v.Limits.Urgent, v.Starved, v.OverShare)
}

// Figures are the counts of one priority of a service.
type Figures struct {
	Service  model.ServiceID
	Priority int
	// Admitted and Refused count requests since the process started.
	Admitted, Refused uint64
	// Headroom is the number of requests for which capacity is reserved against this priority.
	Headroom float64
	// WorkspacesOver is the number of workspaces over their share.
	WorkspacesOver int
}

// Figures returns the counts of all priorities of a service, the most urgent first. vms is the
// number of VMs that receive its requests, and capacity that of its targets.
func (c *Controller) Figures(now model.Instant, id model.ServiceID, vms int, capacity Capacity) []Figures {
	s := c.services[id]
	if s == nil {
		return nil
	}
	out := make([]Figures, 0, len(s.priorities))
	for _, p := range s.priorities {
		p.workspaces.update(now)
		limits := s.limits(now, Request{VMs: vms, Capacity: capacity}, p, false)
		out = append(out, Figures{
			Service: id, Priority: p.priority, Admitted: p.admitted, Refused: p.denied,
			Headroom: s.headroom(now, limits.Urgent, cmp.Or(capacity.Slots, capacity.Cache)), WorkspacesOver: p.workspaces.over,
		})
	}
	return out
}
