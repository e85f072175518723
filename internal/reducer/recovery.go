package reducer

import (
	"slices"

	"tamarackreach/internal/attempt"
	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/fault"
	"tamarackreach/internal/model"
	"tamarackreach/internal/routing"
	"tamarackreach/internal/settings"
	"tamarackreach/internal/targets"
)

// maxReplacements is the maximum number of attempts of a request after the first.
const maxReplacements = 8

// streamBroken handles an attempt that ended early. A target that refused the
// attempt is alive; any other target may have failed and is checked first.
func (s *State) streamBroken(c *decision.Context, ev event.StreamBroken) {
	request, ok := s.requests[ev.Request]
	switch {
	case !ok || request.Held || request.CurrentAttempt != ev.Attempt:
		return
	case ev.Refused && s.awaitsVerdict(request, ev.FailedTarget):
		request.Suspect(attempt.Suspicion{Target: ev.FailedTarget, Refused: true})
	case ev.Refused || ev.FailedTarget == "":
		s.attemptRefused(c, request, ev.FailedTarget)
	default:
		s.verifyTarget(c, request, attempt.Suspicion{Target: ev.FailedTarget, OwnConnection: ev.OwnConnection, NotRun: ev.NotListening})
	}
}

// awaitsVerdict reports whether a target of the request's chain is being checked. A
// target that restarted refuses attempts of its earlier incarnation, so that the
// request has to stay on the chain until the crash is attributed.
func (s *State) awaitsVerdict(request *attempt.Request, target model.TargetID) bool {
	hop, ok := request.HopOf(target)
	return ok && s.targets.HopChecking(hop)
}

// attemptRefused retries after a target refused the attempt, for example because it
// has no state of the request. After a first refusal the target rebuilds its state;
// after a second consecutive one it is avoided.
func (s *State) attemptRefused(c *decision.Context, request *attempt.Request, target model.TargetID) {
	request.Refusals++
	if request.Refusals > 1 {
		request.Avoid(target)
	}
	s.reroute(c, request, target)
}

// verifyTarget checks a suspected target over a new connection before the request
// replaces it.
func (s *State) verifyTarget(c *decision.Context, request *attempt.Request, suspicion attempt.Suspicion) {
	hop, ok := request.HopOf(suspicion.Target)
	if !ok {
		s.attemptRefused(c, request, "")
		return
	}
	target, known := s.targets.Get(suspicion.Target)
	if !known || target.Incarnation != hop.Incarnation || !s.targets.Check(c, suspicion.Target) {
		s.replaceTarget(c, request, suspicion.Target)
		return
	}
	request.Suspect(suspicion)
}

// targetLost handles the failure of a target's watch.
func (s *State) targetLost(c *decision.Context, ev event.TargetLost) {
	s.applyVerdict(c, s.targets.HandleWatchFailure(c, ev))
}

// engineReported handles an engine's report.
func (s *State) engineReported(c *decision.Context, ev event.EngineReported) {
	s.applyVerdict(c, s.targets.Reported(c, ev))
}

// probeDue handles the probe timer of a target.
func (s *State) probeDue(c *decision.Context, id model.TargetID) {
	s.applyVerdict(c, s.targets.ProbeDue(c, id))
}

// applyVerdict recovers the requests that run on a target once a check of it has an
// outcome.
func (s *State) applyVerdict(c *decision.Context, verdict targets.Verdict) {
	if verdict.Outcome == targets.Undecided {
		return
	}
	ids := s.requestsOn(verdict)
	switch verdict.Outcome {
	case targets.Alive:
		s.resumeRequests(c, verdict, ids)
		return
	case targets.Crashed:
		ids = s.attributeCrash(c, verdict, ids)
		s.announceChanges(c)
	}
	for _, id := range ids {
		if request, ok := s.requests[id]; ok {
			s.replaceTarget(c, request, verdict.Target)
		}
	}
}

// requestsOn returns the requests that run on the checked incarnation, sorted.
func (s *State) requestsOn(verdict targets.Verdict) []model.RequestID {
	var ids []model.RequestID
	for _, id := range s.requestIDs() {
		if s.requests[id].Uses(verdict.Target, verdict.Incarnation) {
			ids = append(ids, id)
		}
	}
	return ids
}

// resumeRequests retries the requests that suspected a target which is alive. If
// this node's connection broke, a new connection is enough; if a neighbour in the
// chain could not reach the target, that link is down and the target is replaced.
func (s *State) resumeRequests(c *decision.Context, verdict targets.Verdict, ids []model.RequestID) {
	s.retireConnections(c, verdict)
	for _, id := range ids {
		request := s.requests[id]
		suspicion := request.Suspicion
		request.Suspicion = attempt.Suspicion{}
		switch {
		case suspicion.Target != verdict.Target:
		case suspicion.Refused:
			s.attemptRefused(c, request, verdict.Target)
		case !suspicion.OwnConnection:
			s.replaceTarget(c, request, verdict.Target)
		default:
			s.retrySameChain(c, request)
		}
	}
}

// retireConnections retires the connections to a target that is alive but lost one
// of them: others of the same age may be dead as well. Streams that are already
// late are redialled.
func (s *State) retireConnections(c *decision.Context, verdict targets.Verdict) {
	s.targets.Retire(c, verdict.Target, verdict.SuspectedAt)
	for _, id := range s.requestIDs() {
		request := s.requests[id]
		late := c.Now.Sub(request.LastFrameAt) >= lateThreshold
		if !request.Held && late && request.Last().Target == verdict.Target && request.StreamOpenedAt <= verdict.SuspectedAt && !request.StreamReopened {
			s.redial(c, request)
		}
	}
}

// retrySameChain starts the next attempt on the same targets, which continue from
// the next token, over new connections.
func (s *State) retrySameChain(c *decision.Context, request *attempt.Request) {
	chain := slices.Clone(request.Chain)
	request.MarkKept(chain, "")
	if s.allowAttempt(c, request, chain) {
		s.switchChain(c, request, chain, true)
	}
}

// replaceTarget starts the next attempt without the lost target. If the pipeline
// recovers by stage, the other stages keep their targets.
func (s *State) replaceTarget(c *decision.Context, request *attempt.Request, lost model.TargetID) {
	request.Avoid(lost)
	s.counters.StagesReplaced++
	s.reroute(c, request, lost)
}

// reroute starts the next attempt on the best chain. Targets that hold the state
// of the request are kept if the pipeline recovers by stage; rebuild is the target
// whose state is lost, if any.
func (s *State) reroute(c *decision.Context, request *attempt.Request, rebuild model.TargetID) {
	pipeline, ok := s.follower.View().Pipeline(request.Pipeline)
	if !ok || pipeline.Version != request.Version {
		s.fail(c, request, capacityFault(fault.Failed))
		return
	}
	want := s.route(c, request, pipeline)
	want.Avoid = setOf(request.Avoided, s.targets.Suspected())
	byStage := pipeline.Recovery == settings.RecoverStage
	if byStage {
		want.Keep = request.Keep(s.targets.HopConnected)
	}
	chain, ok := s.pickRelaxed(want)
	if !ok {
		s.fail(c, request, capacityFault(fault.Failed))
		return
	}
	if byStage {
		request.MarkKept(chain.Hops, rebuild)
	}
	if s.allowAttempt(c, request, chain.Hops) {
		s.switchChain(c, request, chain.Hops, false)
	}
}

// pickRelaxed picks a chain and relaxes the constraints in turn if there is none:
// first kept targets may change, then avoided targets that are usable are allowed
// again.
func (s *State) pickRelaxed(want *routing.Request) (routing.Chain, bool) {
	if chain, ok := routing.Pick(s.targets, want); ok {
		return chain, true
	}
	want.Keep = nil
	if chain, ok := routing.Pick(s.targets, want); ok {
		return chain, true
	}
	want.Avoid = nil
	return routing.Pick(s.targets, want)
}

// allowAttempt checks quarantine, the attempt limit and the retry budget, and spends
// from the budget. If another attempt is not allowed, it fails the request.
func (s *State) allowAttempt(c *decision.Context, request *attempt.Request, chain []model.Hop) bool {
	if remaining := s.quarantine.Remaining(c.Now, request.Fingerprint); remaining > 0 {
		s.fail(c, request, quarantinedFault(fault.Failed, remaining))
		return false
	}
	request.Replacements++
	if request.Replacements > maxReplacements || !s.budget.Spend(request.Cost(chain)) {
		s.counters.RetriesRefused++
		s.fail(c, request, retriesFault())
		return false
	}
	return true
}

// switchChain ends the current attempt on the targets that the next one does not use
// and starts the next. Targets in both chains keep the state of the request.
func (s *State) switchChain(c *decision.Context, request *attempt.Request, chain []model.Hop, freshConnection bool) {
	s.targets.CountEnded(request.Chain)
	s.cancel(c, request, request.UnusedHops(chain))
	s.startAttempt(c, request, chain, freshConnection)
}

func setOf(lists ...[]model.TargetID) map[model.TargetID]bool {
	set := make(map[model.TargetID]bool)
	for _, ids := range lists {
		for _, id := range ids {
			set[id] = true
		}
	}
	return set
}
