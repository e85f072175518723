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
	// silentAfter is how long a stream may have no frame.
	silentAfter = time.Second
	// lateAfter is how long a stream without a frame is not taken for late.
	lateAfter = 500 * time.Millisecond
)

// open starts the first attempt of a request; content that is suspected of
// crashing targets waits to run isolated.
func (s *State) open(c *decision.Context, request *attempt.Request, chain []model.Hop, fresh bool) {
	if s.quarantine.Suspect(c.Now, request.Fingerprint) {
		s.hold(c, request)
		return
	}
	s.start(c, request, s.besideNoSuspect(c, request, chain), fresh)
}

// start starts the next attempt of a request on a chain.
func (s *State) start(c *decision.Context, request *attempt.Request, chain []model.Hop, fresh bool) {
	request.Pace = s.pace(chain)
	s.targets.Sent(chain)
	c.Emit(request.Begin(c.Now, chain, fresh))
	c.After(timer.StreamSilent, string(request.ID), silentAfter)
}

// pace returns the expected time between two tokens of a chain.
func (s *State) pace(chain []model.Hop) time.Duration {
	var pace time.Duration
	for i, hop := range chain {
		target, ok := s.targets.Get(hop.Target)
		if !ok {
			continue
		}
		batches := 1 + (target.Running+target.Queued+target.SentSince)/max(target.MaxBatch, 1)
		next := chain[(i+1)%len(chain)].Target
		pace += time.Duration(batches)*target.StepTime + target.Links[next]
	}
	return pace
}

func (s *State) tokenArrived(c *decision.Context, ev *event.TokenArrived) {
	request, ok := s.requests[ev.Request]
	if !ok || request.Held || request.Take(c.Now, ev) != attempt.Accepted {
		s.counters.FramesDropped++
		return
	}
	s.counters.TokensForwarded++
	s.budget.Earn(len(request.Chain))
	if request.Isolated {
		s.passed(request)
	}
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

// streamSilent acts on the timer of a stream: it may have had no frame, or no
// token, for too long.
func (s *State) streamSilent(c *decision.Context, id model.RequestID) {
	request, ok := s.requests[id]
	if !ok || request.Held {
		return
	}
	quiet := c.Now.Sub(request.LastFrame)
	idle := c.Now.Sub(request.LastToken)
	switch {
	case quiet >= silentAfter:
		s.silent(c, request)
	case idle >= request.StallAfter():
		s.stalled(c, request)
	default:
		c.After(timer.StreamSilent, string(id), min(silentAfter-quiet, request.StallAfter()-idle))
	}
}

// silent collects a stream without frames anew over a new connection, together
// with all others of the same age to that target. If the new one is silent too,
// the request goes on without the target.
func (s *State) silent(c *decision.Context, request *attempt.Request) {
	last := request.Last()
	if request.Redialled {
		s.replace(c, request, last.Target)
		return
	}
	s.targets.Retire(c, last.Target, c.Now)
	newest := request.Collected
	for _, id := range s.requestIDs() {
		other := s.requests[id]
		if !other.Held && other.Last().Target == last.Target && other.Collected <= newest {
			s.redial(c, other)
		}
	}
	if !s.targets.Check(c, last.Target) {
		s.replace(c, request, last.Target)
	}
}

func (s *State) redial(c *decision.Context, request *attempt.Request) {
	request.Redialled = true
	request.Collected = c.Now
	s.counters.StreamsRedialled++
	c.Emit(event.RedialStream{Request: request.ID, Attempt: request.Number, Last: request.Last()})
	c.After(timer.StreamSilent, string(request.ID), silentAfter)
}

// stalled goes on with a chain that gives heartbeats but no tokens: a step was
// lost in it, or its start. The first time the same targets go on from the next
// token; after that the request moves to others.
func (s *State) stalled(c *decision.Context, request *attempt.Request) {
	request.Stalls++
	s.counters.StreamsStalled++
	if request.Stalls > 1 {
		for _, hop := range request.Chain {
			request.Avoid(hop.Target)
		}
		s.replace(c, request, "")
		return
	}
	for _, hop := range request.Chain {
		s.targets.Check(c, hop.Target)
	}
	s.resume(c, request)
}

// requestIDs returns the requests in progress in a fixed order.
func (s *State) requestIDs() []model.RequestID { return slices.Sorted(maps.Keys(s.requests)) }

func (s *State) callerGone(c *decision.Context, ev event.CallerGone) {
	request, ok := s.requests[ev.Request]
	if !ok {
		return
	}
	s.cancel(c, request, request.Chain)
	s.remove(c, request)
}

// cancel ends the current attempt on some of its targets.
func (s *State) cancel(c *decision.Context, request *attempt.Request, hops []model.Hop) {
	if request.Number > 0 {
		c.Emit(event.CancelChain{Request: request.ID, Attempt: request.Number, Chain: hops})
	}
}

// fail ends a request that cannot go on, at once. Its first tokens may have
// been delivered, so that the answer is final.
func (s *State) fail(c *decision.Context, request *attempt.Request, refusal *fault.Fault) {
	s.counters.RequestsFailed++
	s.cancel(c, request, request.Chain)
	s.remove(c, request)
	c.Emit(event.RefuseRequest{Request: request.ID, Fault: *refusal})
}

func (s *State) remove(c *decision.Context, request *attempt.Request) {
	s.targets.Ended(request.Chain)
	s.release(request)
	s.gates.Ended(c.Now, request.Pipeline, request.Workspace)
	delete(s.requests, request.ID)
	c.Stop(timer.StreamSilent, string(request.ID))
	c.Stop(timer.RetryRequest, string(request.ID))
}
