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
	// maxIsolationWait is how long a suspect, a request whose content may have
	// crashed a target, waits at most for targets on which no other suspect runs.
	maxIsolationWait = 5 * time.Second
	// isolationRetry is the time between two searches for such targets.
	isolationRetry = 50 * time.Millisecond
)

// attributeCrash attributes a crash to the content of the requests that ran on the
// target when it was first suspected. It ends requests whose content is
// quarantined and holds suspects. It returns those of ids that are neither ended
// nor held: the caller retries them at once.
func (s *State) attributeCrash(c *decision.Context, verdict targets.Verdict, ids []model.RequestID) []model.RequestID {
	attributed := make(map[model.Fingerprint]bool, len(ids))
	for _, id := range ids {
		request := s.requests[id]
		if attributed[request.Fingerprint] || !request.MayHaveRunOn(verdict.Target, verdict.SuspectedAt) {
			continue
		}
		s.quarantine.Crashed(c.Now, request.Fingerprint, request.HasRunOn(verdict.Target))
		attributed[request.Fingerprint] = true
	}
	for _, id := range s.requestIDs() {
		if request := s.requests[id]; attributed[request.Fingerprint] {
			s.enforceQuarantine(c, request)
		}
	}
	var unheld []model.RequestID
	for _, id := range ids {
		if request, ok := s.requests[id]; ok && !request.Held {
			unheld = append(unheld, id)
		}
	}
	return unheld
}

// enforceQuarantine ends a request whose content is quarantined and holds a
// suspect, also if it runs on other targets than the crashed one.
func (s *State) enforceQuarantine(c *decision.Context, request *attempt.Request) {
	if remaining := s.quarantine.Remaining(c.Now, request.Fingerprint); remaining > 0 {
		s.counters.RequestsQuarantined++
		s.fail(c, request, quarantinedFault(faultKind(request), remaining))
		return
	}
	if s.quarantine.Suspect(c.Now, request.Fingerprint) && !request.Held {
		s.holdSuspect(c, request)
	}
}

// faultKind returns NotRun if no target can have run the request, else Failed.
func faultKind(request *attempt.Request) fault.Kind {
	if request.CurrentAttempt == 0 {
		return fault.NotRun
	}
	return fault.Failed
}

// holdSuspect ends the current attempt of a suspect and delays the next.
func (s *State) holdSuspect(c *decision.Context, request *attempt.Request) {
	s.cancel(c, request, request.Chain)
	s.targets.CountEnded(request.Chain)
	s.releaseIsolated(request)
	request.Chain = nil
	request.Held = true
	wait := quarantine.RetryDelay(request.Fingerprint)
	request.HeldUntil = c.Now.Add(wait + maxIsolationWait)
	c.Stop(timer.StreamIdle, string(request.ID))
	c.After(timer.RetryRequest, string(request.ID), wait)
}

// retryDue restarts a held request if it can run isolated.
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

// isolate starts a suspect on targets on which no other suspect runs. It returns
// false if the suspect has to wait, true if it was started or ended.
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
		return s.failIfNoTargets(c, request, want)
	}
	if request.CurrentAttempt > 0 && !s.allowAttempt(c, request, chain.Hops) {
		return true
	}
	request.Isolated = true
	for _, hop := range chain.Hops {
		s.isolated[hop.Target] = request.ID
	}
	s.startAttempt(c, request, chain.Hops, false)
	return true
}

// failIfNoTargets ends a suspect for which no chain exists even with the targets of
// other suspects. It returns false if there is such a chain.
func (s *State) failIfNoTargets(c *decision.Context, request *attempt.Request, want *routing.Request) bool {
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

// avoidIsolated returns another chain for a new request if a suspect runs isolated
// on the given one; if there is none, the request shares targets with the suspect.
func (s *State) avoidIsolated(c *decision.Context, request *attempt.Request, chain []model.Hop) []model.Hop {
	if !s.usesIsolated(chain) {
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

func (s *State) usesIsolated(chain []model.Hop) bool {
	for _, hop := range chain {
		if _, ok := s.isolated[hop.Target]; ok {
			return true
		}
	}
	return false
}

// clearSuspicion ends the isolation of a suspect that produced a token past the
// point of the crash.
func (s *State) clearSuspicion(request *attempt.Request) {
	s.quarantine.Progressed(request.Fingerprint)
	s.releaseIsolated(request)
}

// releaseIsolated releases the targets on which a suspect ran isolated.
func (s *State) releaseIsolated(request *attempt.Request) {
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
