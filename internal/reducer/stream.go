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
	"tamarackreach/internal/timer"
)

const (
	// streamIdleTimeout is the time without a frame after which a stream is
	// redialled, and its target replaced if it was redialled before.
	streamIdleTimeout = time.Second
	// lateThreshold is the time without a frame after which a stream is redialled
	// if another connection to its target broke while the target is alive.
	lateThreshold = 500 * time.Millisecond
)

// startOrHold starts the first attempt of a request, or holds the request until it
// can run isolated if its content is suspected of crashing targets.
func (s *State) startOrHold(c *decision.Context, request *attempt.Request, chain []model.Hop, freshConnection bool) {
	if s.quarantine.Suspect(c.Now, request.Fingerprint) {
		s.holdSuspect(c, request)
		return
	}
	s.startAttempt(c, request, s.avoidIsolated(c, request, chain), freshConnection)
}

// startAttempt starts the next attempt of a request on a chain and its idle timer.
func (s *State) startAttempt(c *decision.Context, request *attempt.Request, chain []model.Hop, freshConnection bool) {
	request.TokenInterval = s.tokenInterval(chain)
	s.targets.CountSent(chain)
	c.Emit(request.Begin(c.Now, chain, freshConnection))
	c.After(timer.StreamIdle, string(request.ID), streamIdleTimeout)
}

// tokenInterval returns the expected time between two tokens of a chain. A target with more
// jobs than its maximum batch size needs several steps for one token of each.
func (s *State) tokenInterval(chain []model.Hop) time.Duration {
	var tokenInterval time.Duration
	for i, hop := range chain {
		target, ok := s.targets.Get(hop.Target)
		if !ok {
			continue
		}
		batches := 1 + (target.Running+target.Queued+target.SentSinceReport)/max(target.MaxBatch, 1)
		next := chain[(i+1)%len(chain)].Target
		tokenInterval += time.Duration(batches)*target.StepTime + target.Links[next]
	}
	return tokenInterval
}

func (s *State) tokenArrived(c *decision.Context, ev *event.TokenArrived) {
	request, ok := s.requests[ev.Request]
	if !ok || request.Held || request.AcceptFrame(c.Now, ev) != attempt.Accepted {
		s.counters.FramesDropped++
		return
	}
	s.counters.TokensForwarded++
	s.budget.Earn(len(request.Chain))
	if request.Isolated {
		s.clearSuspicion(request)
	}
	c.Emit((*event.ForwardToken)(ev))
	if ev.Last {
		s.counters.RequestsCompleted++
		s.quarantine.Completed(request.Fingerprint)
		s.remove(c, request)
	}
}

func (s *State) streamHeartbeat(c *decision.Context, ev event.StreamHeartbeat) {
	if request, ok := s.requests[ev.Request]; ok && request.CurrentAttempt == ev.Attempt {
		request.LastFrameAt = c.Now
	}
}

// streamIdle handles the timer of a stream, which may have had no frame, or no
// token, for too long.
func (s *State) streamIdle(c *decision.Context, id model.RequestID) {
	request, ok := s.requests[id]
	if !ok || request.Held {
		return
	}
	sinceFrame := c.Now.Sub(request.LastFrameAt)
	sinceToken := c.Now.Sub(request.LastTokenAt)
	switch {
	case sinceFrame >= streamIdleTimeout:
		s.recoverIdle(c, request)
	case sinceToken >= request.StallAfter():
		s.recoverStalled(c, request)
	default:
		c.After(timer.StreamIdle, string(id), min(streamIdleTimeout-sinceFrame, request.StallAfter()-sinceToken))
	}
}

// recoverIdle redials a stream without frames over a new connection, together with
// all streams to that target that are as old or older. If the new stream is idle
// too, the target is replaced.
func (s *State) recoverIdle(c *decision.Context, request *attempt.Request) {
	last := request.Last()
	if request.StreamReopened {
		s.replaceTarget(c, request, last.Target)
		return
	}
	s.targets.Retire(c, last.Target, c.Now)
	newest := request.StreamOpenedAt
	for _, id := range s.requestIDs() {
		other := s.requests[id]
		if !other.Held && other.Last().Target == last.Target && other.StreamOpenedAt <= newest {
			s.redial(c, other)
		}
	}
	if !s.targets.Check(c, last.Target) {
		s.replaceTarget(c, request, last.Target)
	}
}

func (s *State) redial(c *decision.Context, request *attempt.Request) {
	request.StreamReopened = true
	request.StreamOpenedAt = c.Now
	s.counters.StreamsRedialled++
	c.Emit(event.RedialStream{Request: request.ID, Attempt: request.CurrentAttempt, Last: request.Last()})
	c.After(timer.StreamIdle, string(request.ID), streamIdleTimeout)
}

// recoverStalled starts a new attempt for a chain that sends heartbeats but no
// tokens, because a step or the start of the attempt was lost. The first time, the
// same targets continue from the next token; after that, other targets are used.
func (s *State) recoverStalled(c *decision.Context, request *attempt.Request) {
	request.Stalls++
	s.counters.StreamsStalled++
	if request.Stalls > 1 {
		for _, hop := range request.Chain {
			request.Avoid(hop.Target)
		}
		s.replaceTarget(c, request, "")
		return
	}
	for _, hop := range request.Chain {
		s.targets.Check(c, hop.Target)
	}
	s.retrySameChain(c, request)
}

// requestIDs returns the ids of the requests in progress, sorted.
func (s *State) requestIDs() []model.RequestID { return slices.Sorted(maps.Keys(s.requests)) }

func (s *State) callerGone(c *decision.Context, ev event.CallerGone) {
	request, ok := s.requests[ev.Request]
	if !ok {
		return
	}
	s.cancel(c, request, request.Chain)
	s.remove(c, request)
}

// cancel ends the current attempt on the given targets.
func (s *State) cancel(c *decision.Context, request *attempt.Request, hops []model.Hop) {
	if request.CurrentAttempt > 0 {
		c.Emit(event.CancelChain{Request: request.ID, Attempt: request.CurrentAttempt, Chain: hops})
	}
}

// fail ends a request with a fault at once. Tokens may already have been delivered,
// so the answer is final.
func (s *State) fail(c *decision.Context, request *attempt.Request, refusal *fault.Fault) {
	s.counters.RequestsFailed++
	s.cancel(c, request, request.Chain)
	s.remove(c, request)
	c.Emit(event.RefuseRequest{Request: request.ID, Fault: *refusal})
}

func (s *State) remove(c *decision.Context, request *attempt.Request) {
	s.targets.CountEnded(request.Chain)
	s.releaseIsolated(request)
	s.admissionControl.CountEnded(c.Now, request.Pipeline, request.Workspace)
	delete(s.requests, request.ID)
	c.Stop(timer.StreamIdle, string(request.ID))
	c.Stop(timer.RetryRequest, string(request.ID))
}
