package director

import (
	"slices"
	"time"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

// DecideWithoutAdmission returns the path of a request that arrives, or the reason and the
// Retry-After of its refusal, by the rules that apply where no priorities differ: a path that is
// not full and a first event in time on a layered service, the least loaded target on a plain
// one.
func (s *State) DecideWithoutAdmission(now model.Instant, req *fleet.Request, random float64) ([]fleet.Hop, string, time.Duration) {
	route := s.route(req.Host, req.Path)
	r := &request{Request: req, route: route, workspace: s.workspaceByKey[req.Key], random: random, expiresAt: now.Add(timeoutFor(req, route)), service: s.config.Services[chooseService(route.Split, random)]}
	hops, reason := s.chooseWithoutAdmission(now, r)
	if hops != nil {
		return hops, "", 0
	}
	if slices.Contains([]string{reasonFull, reasonPromptBacklog}, reason) {
		return nil, reason, jitter(overloadRetryAfter, random)
	}
	return nil, reason, jitter(s.retryAfter(now, r, reason), random)
}

func (s *State) chooseWithoutAdmission(now model.Instant, r *request) ([]fleet.Hop, string) {
	if r.service.Engine == nil {
		t := s.leastLoadedTarget(now, r)
		if t == nil {
			return nil, s.noTargetReason(now, r)
		}
		return []fleet.Hop{{Target: t.ID, Address: t.Address}}, ""
	}
	candidates := s.candidates(now, r)
	hops := s.findPath(r, candidates, func(c *candidate) bool { return c.usable && !c.full })
	if hops == nil {
		hops = s.findPath(r, candidates, func(c *candidate) bool { return (c.usable || c.target.reportedSinceFault(now)) && !c.full })
	}
	if hops == nil {
		return nil, s.noPathReason(now, r, candidates)
	}
	if !s.timeToFirstEvent(now, r, hops).inTime(r.route.LatencyGoal) {
		return nil, reasonPromptBacklog
	}
	return hops, ""
}
