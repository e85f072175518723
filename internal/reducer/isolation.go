package reducer

import (
	"time"

	"tamarackreach/internal/attempt"
	"tamarackreach/internal/decision"
	"tamarackreach/internal/fault"
	"tamarackreach/internal/model"
	"tamarackreach/internal/quarantine"
	"tamarackreach/internal/routing"
	"tamarackreach/internal/targets"
	"tamarackreach/internal/timer"
)

const (
	// isolationWait is the longest time that a suspect waits for targets on
	// which no other suspect runs.
	isolationWait = 5 * time.Second
	// isolationRetry is the time between two looks for such targets.
	isolationRetry = 50 * time.Millisecond
)

// blame attributes a crash to the content of the requests that ran on the
// target before the first sign of trouble. It ends those that are quarantined
// and holds the suspects; what is returned goes on at once.
func (s *State) blame(c *decision.Context, verdict targets.Verdict, ids []model.RequestID) []model.RequestID {
	blamed := make(map[model.Fingerprint]bool, len(ids))
	for _, id := range ids {
		request := s.requests[id]
		if blamed[request.Fingerprint] || !request.RanOn(verdict.Target, verdict.Sign) {
			continue
		}
		s.quarantine.Crashed(c.Now, request.Fingerprint, request.Passed(verdict.Target))
		blamed[request.Fingerprint] = true
	}
	for _, id := range s.requestIDs() {
		if request := s.requests[id]; blamed[request.Fingerprint] {
			s.restrain(c, request)
		}
	}
	var free []model.RequestID
	for _, id := range ids {
		if request, ok := s.requests[id]; ok && !request.Held {
			free = append(free, id)
		}
	}
	return free
}

// restrain ends a request whose content is quarantined and holds a suspect,
// also where the same content runs elsewhere.
func (s *State) restrain(c *decision.Context, request *attempt.Request) {
	if remaining := s.quarantine.Remaining(c.Now, request.Fingerprint); remaining > 0 {
		s.counters.RequestsQuarantined++
		s.fail(c, request, quarantinedFault(faultKind(request), remaining))
		return
	}
	if s.quarantine.Suspect(c.Now, request.Fingerprint) && !request.Held {
		s.hold(c, request)
	}
}

// faultKind says whether any target may have run the request.
func faultKind(request *attempt.Request) fault.Kind {
	if request.Number == 0 {
		return fault.NotRun
	}
	return fault.Failed
}

// hold ends the current attempt of a suspect and lets it wait.
func (s *State) hold(c *decision.Context, request *attempt.Request) {
	s.cancel(c, request, request.Chain)
	s.targets.Ended(request.Chain)
	s.release(request)
	request.Chain = nil
	request.Held = true
	wait := quarantine.Hold(request.Fingerprint)
	request.HeldUntil = c.Now.Add(wait + isolationWait)
	c.Stop(timer.StreamSilent, string(request.ID))
	c.After(timer.RetryRequest, string(request.ID), wait)
}

// retryDue goes on with a held request if it can run isolated.
func (s *State) retryDue(c *decision.Context, id model.RequestID) {
	request, ok := s.requests[id]
	if !ok || !request.Held {
		return
	}
	if remaining := s.quarantine.Remaining(c.Now, request.Fingerprint); remaining > 0 {
		s.counters.RequestsQuarantined++
		s.fail(c, request, quarantinedFault(faultKind(request), remaining))
		return
	}
	if s.isolate(c, request) {
		return
	}
	if c.Now >= request.HeldUntil {
		s.fail(c, request, capacityFault(faultKind(request)))
		return
	}
	c.After(timer.RetryRequest, string(id), isolationRetry)
}

// isolate starts a suspect on targets on which no other suspect runs; false
// means that it has to wait.
func (s *State) isolate(c *decision.Context, request *attempt.Request) bool {
	if s.runsIsolated(request.Fingerprint) {
		return false
	}
	pipeline, ok := s.follower.View().Pipeline(request.Pipeline)
	if !ok || pipeline.Version != request.Version {
		s.fail(c, request, capacityFault(faultKind(request)))
		return true
	}
	want := s.route(c, request, pipeline)
	want.Avoid = s.isolatedTargets()
	chain, ok := routing.Pick(s.targets, want)
	if !ok {
		return s.noCapacity(c, request, want)
	}
	if request.Number > 0 && !s.allowed(c, request, chain.Hops) {
		return true
	}
	request.Isolated = true
	for _, hop := range chain.Hops {
		s.isolated[hop.Target] = request.ID
	}
	s.start(c, request, chain.Hops, false)
	return true
}

// noCapacity ends a suspect for which there are no targets at all; false means
// that other suspects use them.
func (s *State) noCapacity(c *decision.Context, request *attempt.Request, want *routing.Request) bool {
	want.Avoid = nil
	if _, ok := routing.Pick(s.targets, want); ok {
		return false
	}
	s.fail(c, request, capacityFault(faultKind(request)))
	return true
}

func (s *State) runsIsolated(content model.Fingerprint) bool {
	for _, id := range s.isolated {
		if request, ok := s.requests[id]; ok && request.Fingerprint == content {
			return true
		}
	}
	return false
}

func (s *State) isolatedTargets() map[model.TargetID]bool {
	avoid := make(map[model.TargetID]bool, len(s.isolated))
	for id := range s.isolated {
		avoid[id] = true
	}
	return avoid
}

// besideNoSuspect picks another chain for a new request if a suspect runs on
// the one picked; without another, the request takes the risk.
func (s *State) besideNoSuspect(c *decision.Context, request *attempt.Request, chain []model.Hop) []model.Hop {
	if !s.touchesSuspect(chain) {
		return chain
	}
	pipeline, ok := s.follower.View().Pipeline(request.Pipeline)
	if !ok {
		return chain
	}
	want := s.route(c, request, pipeline)
	want.Avoid = s.isolatedTargets()
	if other, ok := routing.Pick(s.targets, want); ok {
		return other.Hops
	}
	return chain
}

func (s *State) touchesSuspect(chain []model.Hop) bool {
	for _, hop := range chain {
		if _, ok := s.isolated[hop.Target]; ok {
			return true
		}
	}
	return false
}

// passed lifts the isolation of a suspect that gave a token past the point of
// the crash.
func (s *State) passed(request *attempt.Request) {
	s.quarantine.Passed(request.Fingerprint)
	s.release(request)
}

// release frees the targets that a suspect ran on alone.
func (s *State) release(request *attempt.Request) {
	if !request.Isolated {
		return
	}
	request.Isolated = false
	for id, owner := range s.isolated {
		if owner == request.ID {
			delete(s.isolated, id)
		}
	}
}
