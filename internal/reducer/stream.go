package reducer

import (
	"maps"
	"slices"
	"time"

	"tamarackreach/internal/attempt"
	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/fault"
	"tamarackreach/internal/model"
	"tamarackreach/internal/routing"
	"tamarackreach/internal/settings"
	"tamarackreach/internal/timer"
)

const (
	// silentAfter is how long a stream may have no frame.
	silentAfter = time.Second
	// maxReplacements is how often a request may go on with another chain.
	maxReplacements = 4
)

// open starts the next attempt of a request.
func (s *State) open(c *decision.Context, request *attempt.Request, chain []model.Hop, fresh bool) {
	s.targets.Sent(chain)
	c.Emit(request.Begin(c.Now, chain, fresh))
	c.After(timer.StreamSilent, string(request.ID), silentAfter)
}

func (s *State) tokenArrived(c *decision.Context, ev *event.TokenArrived) {
	request, ok := s.requests[ev.Request]
	if !ok || request.Take(c.Now, ev) != attempt.Accepted {
		s.counters.FramesDropped++
		return
	}
	s.counters.TokensForwarded++
	c.Emit((*event.ForwardToken)(ev))
	if ev.Last {
		s.counters.RequestsCompleted++
		s.quarantine.Completed(request.Fingerprint)
		s.remove(c, request)
	}
}

func (s *State) streamHeartbeat(c *decision.Context, ev event.StreamHeartbeat) {
	if request, ok := s.requests[ev.Request]; ok && request.Number == ev.Attempt {
		request.LastFrame = c.Now
	}
}

// streamSilent collects a silent stream anew over a new connection; if that
// one is silent too, the last target is taken for lost.
func (s *State) streamSilent(c *decision.Context, id model.RequestID) {
	request, ok := s.requests[id]
	if !ok {
		return
	}
	if quiet := c.Now.Sub(request.LastFrame); quiet < silentAfter {
		c.After(timer.StreamSilent, string(id), silentAfter-quiet)
		return
	}
	last := request.Chain[len(request.Chain)-1]
	if request.Redialled {
		s.replace(c, request, last.Target)
		return
	}
	request.Redialled = true
	s.counters.StreamsRedialled++
	c.Emit(event.RetireConnections{Target: last.Target, Address: last.Address})
	c.Emit(event.RedialStream{Request: id, Attempt: request.Number, Last: last})
	c.After(timer.StreamSilent, string(id), silentAfter)
}

func (s *State) streamBroken(c *decision.Context, ev event.StreamBroken) {
	request, ok := s.requests[ev.Request]
	if !ok || request.Number != ev.Attempt {
		return
	}
	if ev.Lost != "" && !ev.Refused {
		s.quarantine.Crashed(c.Now, request.Fingerprint)
	}
	s.replace(c, request, ev.Lost)
}

// targetLost takes in that a target's watch broke. A target that died after it
// took a step leaves the rest of the chain alive and waiting, so that the
// requests on it go on without it.
func (s *State) targetLost(c *decision.Context, ev event.TargetLost) {
	s.targets.Lost(c, ev)
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		request := s.requests[id]
		if request.Uses(ev.Target) {
			s.replace(c, request, ev.Target)
		}
	}
}

// replace goes on after the loss of a target: its stage alone gets another.
func (s *State) replace(c *decision.Context, request *attempt.Request, lost model.TargetID) {
	s.targets.Ended(request.Chain)
	c.Emit(event.CancelChain{Request: request.ID, Attempt: request.Number, Chain: request.Chain})
	if remaining := s.quarantine.Remaining(c.Now, request.Fingerprint); remaining > 0 {
		s.fail(c, request, quarantinedFault(fault.Failed, remaining))
		return
	}
	request.Replacements++
	if request.Replacements > maxReplacements {
		s.fail(c, request, retriesFault())
		return
	}
	s.reopen(c, request, lost)
}

func (s *State) reopen(c *decision.Context, request *attempt.Request, lost model.TargetID) {
	pipeline, ok := s.follower.View().Pipeline(request.Pipeline)
	if !ok || pipeline.Version != request.Version {
		s.fail(c, request, capacityFault(fault.Failed))
		return
	}
	want := s.route(c, request, pipeline)
	if lost != "" {
		want.Avoid = map[model.TargetID]bool{lost: true}
	}
	if pipeline.Recovery == settings.RecoverStage {
		want.Keep = request.Keep(lost)
	}
	chain, ok := routing.Pick(s.targets, want)
	if !ok {
		want.Keep = nil
		chain, ok = routing.Pick(s.targets, want)
	}
	if !ok {
		s.fail(c, request, capacityFault(fault.Failed))
		return
	}
	request.MarkKept(chain.Hops)
	s.counters.StagesReplaced++
	s.open(c, request, chain.Hops, true)
}

// retryDue goes on with a request that waited for its next chain.
func (s *State) retryDue(c *decision.Context, id model.RequestID) {
	if request, ok := s.requests[id]; ok {
		s.reopen(c, request, "")
	}
}

func (s *State) callerGone(c *decision.Context, ev event.CallerGone) {
	request, ok := s.requests[ev.Request]
	if !ok {
		return
	}
	c.Emit(event.CancelChain{Request: request.ID, Attempt: request.Number, Chain: request.Chain})
	s.remove(c, request)
}

// fail ends a request that cannot go on. Its first tokens may have been
// delivered, so that the answer is final.
func (s *State) fail(c *decision.Context, request *attempt.Request, refusal *fault.Fault) {
	s.counters.RequestsFailed++
	s.remove(c, request)
	c.Emit(event.RefuseRequest{Request: request.ID, Fault: *refusal})
}

func (s *State) remove(c *decision.Context, request *attempt.Request) {
	s.targets.Ended(request.Chain)
	s.gates.Ended(c.Now, request.Pipeline, request.Workspace)
	delete(s.requests, request.ID)
	c.Stop(timer.StreamSilent, string(request.ID))
	c.Stop(timer.RetryRequest, string(request.ID))
}
