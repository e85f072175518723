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

// maxReplacements is how often a request may go on with another attempt.
const maxReplacements = 8

// streamBroken takes in that an attempt ended early. A target that refused it
// lives; any other may be lost and is checked first.
func (s *State) streamBroken(c *decision.Context, ev event.StreamBroken) {
	request, ok := s.requests[ev.Request]
	switch {
	case !ok || request.Held || request.Number != ev.Attempt:
		return
	case ev.Refused || ev.Lost == "":
		s.refused(c, request, ev.Lost)
	default:
		s.doubt(c, request, attempt.Doubt{Target: ev.Lost, Direct: ev.Direct, NotRun: ev.NotListening})
	}
}

// refused goes on after a target would not run the attempt, say because it has
// no state of the request: it rebuilds first, and is avoided the second time.
func (s *State) refused(c *decision.Context, request *attempt.Request, target model.TargetID) {
	request.Refusals++
	if request.Refusals > 1 {
		request.Avoid(target)
	}
	s.reopen(c, request, target)
}

// doubt checks a target over a new connection before the request goes on
// without it.
func (s *State) doubt(c *decision.Context, request *attempt.Request, sign attempt.Doubt) {
	hop, ok := request.HopOf(sign.Target)
	if !ok {
		s.refused(c, request, "")
		return
	}
	target, known := s.targets.Get(sign.Target)
	if !known || target.Incarnation != hop.Incarnation || !s.targets.Check(c, sign.Target) {
		s.replace(c, request, sign.Target)
		return
	}
	request.Doubt = sign
}

// targetLost takes in that a target's watch broke.
func (s *State) targetLost(c *decision.Context, ev event.TargetLost) {
	s.judge(c, s.targets.Lost(c, ev))
}

// engineReported takes in an engine's report.
func (s *State) engineReported(c *decision.Context, ev event.EngineReported) {
	s.judge(c, s.targets.Reported(c, ev))
}

// probeDue acts on the timer of a target.
func (s *State) probeDue(c *decision.Context, id model.TargetID) {
	s.judge(c, s.targets.ProbeDue(c, id))
}

// judge goes on with every request of a target once a check has an outcome.
func (s *State) judge(c *decision.Context, verdict targets.Verdict) {
	if verdict.Outcome == targets.Undecided {
		return
	}
	ids := s.requestsOn(verdict)
	switch verdict.Outcome {
	case targets.Alive:
		s.goOn(c, verdict, ids)
		return
	case targets.Crashed:
		ids = s.blame(c, verdict, ids)
		s.tellNews(c)
	}
	for _, id := range ids {
		if request, ok := s.requests[id]; ok {
			s.replace(c, request, verdict.Target)
		}
	}
}

// requestsOn returns the requests that run on the judged incarnation, sorted.
func (s *State) requestsOn(verdict targets.Verdict) []model.RequestID {
	var ids []model.RequestID
	for _, id := range s.requestIDs() {
		if s.requests[id].Uses(verdict.Target, verdict.Incarnation) {
			ids = append(ids, id)
		}
	}
	return ids
}

// goOn goes on with the requests that doubted a target which lives. If this
// node's connection broke, a new one does; if a neighbour of the chain could not
// reach the target, that link is down and another target takes its place.
func (s *State) goOn(c *decision.Context, verdict targets.Verdict, ids []model.RequestID) {
	s.retire(c, verdict)
	for _, id := range ids {
		request := s.requests[id]
		sign := request.Doubt
		request.Doubt = attempt.Doubt{}
		switch {
		case sign.Target != verdict.Target:
		case !sign.Direct:
			s.replace(c, request, verdict.Target)
		default:
			s.resume(c, request)
		}
	}
}

// retire leaves the connections to a target that lives, but gave a sign of loss
// on one of them: others of the same age may be silent, too. Streams that are
// already late are collected over new ones.
func (s *State) retire(c *decision.Context, verdict targets.Verdict) {
	s.targets.Retire(c, verdict.Target, verdict.Sign)
	for _, id := range s.requestIDs() {
		request := s.requests[id]
		late := c.Now.Sub(request.LastFrame) >= lateAfter
		if !request.Held && late && request.Last().Target == verdict.Target && request.Collected <= verdict.Sign && !request.Redialled {
			s.redial(c, request)
		}
	}
}

// resume starts the next attempt on the same targets, which go on from the next
// token.
func (s *State) resume(c *decision.Context, request *attempt.Request) {
	chain := slices.Clone(request.Chain)
	request.MarkKept(chain, "")
	if s.allowed(c, request, chain) {
		s.move(c, request, chain, true)
	}
}

// replace goes on without a target: its stage alone gets another.
func (s *State) replace(c *decision.Context, request *attempt.Request, lost model.TargetID) {
	request.Avoid(lost)
	s.counters.StagesReplaced++
	s.reopen(c, request, lost)
}

// reopen starts the next attempt on the best chain. Targets that hold the state
// of the request are kept if the pipeline recovers by stage; rebuild names one
// whose state is gone.
func (s *State) reopen(c *decision.Context, request *attempt.Request, rebuild model.TargetID) {
	pipeline, ok := s.follower.View().Pipeline(request.Pipeline)
	if !ok || pipeline.Version != request.Version {
		s.fail(c, request, capacityFault(fault.Failed))
		return
	}
	want := s.route(c, request, pipeline)
	want.Avoid = setOf(request.Avoided, s.targets.InDoubt())
	byStage := pipeline.Recovery == settings.RecoverStage
	if byStage {
		want.Keep = request.Keep(s.targets.Holds)
	}
	chain, ok := s.pickAgain(want)
	if !ok {
		s.fail(c, request, capacityFault(fault.Failed))
		return
	}
	if byStage {
		request.MarkKept(chain.Hops, rebuild)
	}
	if s.allowed(c, request, chain.Hops) {
		s.move(c, request, chain.Hops, false)
	}
}

// pickAgain picks a chain with ever fewer wishes: the kept targets go first,
// then the avoided ones come back, if they live, before the request is given up.
func (s *State) pickAgain(want *routing.Request) (routing.Chain, bool) {
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

// allowed checks that the request may have another attempt; if not, it is
// answered at once.
func (s *State) allowed(c *decision.Context, request *attempt.Request, chain []model.Hop) bool {
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

// move ends the current attempt on the targets that the next does not use and
// starts the next. Targets that stay take over their state by themselves.
func (s *State) move(c *decision.Context, request *attempt.Request, chain []model.Hop, fresh bool) {
	s.targets.Ended(request.Chain)
	s.cancel(c, request, request.Dropped(chain))
	s.start(c, request, chain, fresh)
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
