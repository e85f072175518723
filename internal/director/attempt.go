package director

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

const (
	// idleBeforeReport is how long a stream is idle before the report of its first
	// target is requested: several times the usual interval between events.
	idleBeforeReport = 300 * time.Millisecond
	// reportInterval is the minimum interval between two report requests to a target.
	reportInterval = 250 * time.Millisecond
	// minStallSuspicion is the minimum suspicion of a target that paths are stalled
	// on: the time that a path itself waits for an unreachable target.
	minStallSuspicion = 2500 * time.Millisecond
	// pathWait is how long a started stream waits before the next search for a path,
	// and maxWaits how often: two seconds in total, for which its caller stays
	// connected.
	pathWait = 200 * time.Millisecond
	maxWaits = 10
)

func (s *State) requestFinished(now model.Instant, e RequestFinished) []Effect {
	r := s.requests[e.ID]
	if r == nil {
		return nil
	}
	var effects []Effect
	if e.Delivered && !e.Failure {
		s.recordStay(now, r)
		effects = s.clearAnswered(now, r)
	}
	if e.Delivered {
		for _, hop := range r.hops {
			if t := s.targets[hop.Target]; t != nil {
				t.completed(now, r.sentAt)
			}
		}
		s.recordContact(now, r)
	}
	effects = append(effects, s.recordFinished(now, r, e)...)
	s.adjustLoad(r, -1)
	s.remove(now, r)
	return effects
}

func (s *State) sendEnded(now model.Instant, e SendEnded) []Effect {
	r := s.requests[e.ID]
	if r == nil {
		return nil
	}
	effects := s.recordConnection(now, r, e)
	s.countRejection(now, r, e)
	if !e.RelayFailed {
		effects = append(effects, s.suspectFaultyHop(now, r, e)...)
	}
	if e.Outcome != NotSent && e.Outcome != Rejected {
		r.recordPossibleRun()
		effects = append(effects, s.recordLostAnswer(now, r, e.Outcome)...)
	}
	effects = append(effects, s.recordFailed(now, r, e)...)
	if e.Outcome == NotSent && r.sentTo.target != "" {
		s.limits.NotSent(now, r.sentTo.target)
	}
	s.adjustLoad(r, -1)
	r.random = e.Random
	next := s.nextEffect(now, r, e)
	if _, refused := next.(*Refuse); refused {
		s.remove(now, r)
	}
	return append(effects, next)
}

// suspectFaultyHop suspects the target that caused a failed send: the named hop, or
// the first one. A send that timed out, was diverted or was answered with an error
// causes no suspicion.
func (s *State) suspectFaultyHop(now model.Instant, r *request, e SendEnded) []Effect {
	if e.Outcome == TimedOut || e.Outcome == Diverted || len(r.hops) == 0 {
		return nil
	}
	t := s.targets[r.hops[0].Target]
	named := false
	if at := s.byAddress[e.FaultAt]; at != nil {
		t, named = at, true
	}
	if t == nil || e.Outcome == Failed || !named && s.replacesSuspicion(now, r, e) {
		return nil
	}
	minPeriod := time.Duration(0)
	if named && e.Took >= s.settings.Stall/2 {
		minPeriod = minStallSuspicion
	}
	return effectList(s.suspect(now, t, fault{
		reason: e.Outcome.String() + " after " + e.Took.String(), minPeriod: minPeriod, rejectsRequests: e.Outcome == Rejected && minPeriod == 0,
		connection: e.Unconnected && r.via == "",
	}))
}

// nextEffect decides how to continue after a failed send.
//
// Invariant: a request that may not be repeated is sent again only when all its
// earlier sends were not sent or rejected.
func (s *State) nextEffect(now model.Instant, r *request, e SendEnded) Effect {
	mayHaveRun := len(r.possibleRuns) > 0
	left := r.expiresAt.Sub(now)
	switch {
	case s.drain.Expired():
		return s.failRequest(now, r, e, http.StatusGatewayTimeout, reasonStopping)
	case e.Outcome == TimedOut || left < minTimeLeft:
		return s.failRequest(now, r, e, http.StatusGatewayTimeout, "the time of the request is over")
	case mayHaveRun && !r.route.Repeatable():
		return s.failRequest(now, r, e, http.StatusBadGateway, "the request may have run and may not be repeated")
	case e.Unresumable:
		return s.failRequest(now, r, e, http.StatusBadGateway, "the stream cannot be resumed after an event without an id")
	case !s.mayResend(now, r):
		return s.failRequest(now, r, e, http.StatusBadGateway, reasonCrashes)
	case r.sends >= maxSends && !r.mayWaitForPath(now) || s.targetLimitReached(now, r) && r.service.Engine == nil:
		return s.failRequest(now, r, e, http.StatusBadGateway, "the request was sent as often as its route allows")
	case r.sends >= maxSends:
		return r.wait("the targets rejected it")
	}
	return s.resend(now, r, e)
}

// mayWaitForPath reports whether a request may wait for a path. A stream that its
// caller has begun to read is not failed for a condition that may end soon; the
// number of waits and the deadline bound this.
func (r *request) mayWaitForPath(now model.Instant) bool {
	return r.answerStarted && r.waits < maxWaits && r.expiresAt.Sub(now) > pathWait+minTimeLeft
}

func (r *request) wait(reason string) Effect {
	r.waits++
	return &Wait{For: pathWait, Reason: reason}
}

// resend retries a request when the retry budget allows it. A stream that its
// caller has begun to read waits for a path meanwhile: missing layers are placed on
// other targets within seconds.
func (s *State) resend(now model.Instant, r *request, e SendEnded) Effect {
	if !s.mayResend(now, r) {
		return s.failRequest(now, r, e, http.StatusBadGateway, reasonCrashes) // quarantined while it waited
	}
	if !s.drain.Resends(now, drainRequest(r.route, r.expiresAt)) {
		return s.failRequest(now, r, e, http.StatusBadGateway, reasonStopping)
	}
	reason := "the retry budget is spent"
	if !r.retryReserved && s.retryFutile(now, r) {
		reason = reasonFailing
	} else if r.retryReserved || s.reserveRetry(now, r, e.Outcome) {
		var send *Send
		if send, reason = s.send(now, r); send != nil {
			s.useRetry(now, r, e.Outcome)
			return send
		}
	}
	if r.mayWaitForPath(now) {
		return r.wait(reason)
	}
	return s.failRequest(now, r, e, http.StatusBadGateway, reason)
}

// waitElapsed retries a request that waited for a path.
func (s *State) waitElapsed(now model.Instant, e WaitElapsed) []Effect {
	r := s.requests[e.ID]
	if r == nil {
		return nil
	}
	r.random = e.Random
	next := s.resend(now, r, SendEnded{ID: e.ID, Random: e.Random})
	if _, refused := next.(*Refuse); refused {
		s.remove(now, r)
	}
	return []Effect{next}
}

// recordPossibleRun records that the first target of the request's path may have
// run it, as the incarnation to which it was sent.
func (r *request) recordPossibleRun() {
	if len(r.hops) > 0 && !slices.Contains(r.possibleRuns, r.sentTo) {
		r.possibleRuns = append(r.possibleRuns, r.sentTo)
	}
}

// targetLimitReached reports whether as many targets as the route allows may have
// run the request. An incarnation that has ended does not count; one whose
// registration was removed does, since it may continue to serve for a while.
func (s *State) targetLimitReached(now model.Instant, r *request) bool {
	count := 0
	for _, run := range r.possibleRuns {
		if t := s.targets[run.target]; t == nil || !s.ended(now, t, run.startedMs) {
			count++
		}
	}
	return count >= r.route.MaxTargets
}

// onLastTarget reports whether the target of the send in flight is the last one
// that the route allows.
func (s *State) onLastTarget(r *request) bool {
	others := 0
	for _, run := range r.possibleRuns {
		if run.target != r.hops[0].Target {
			others++
		}
	}
	return others+1 >= r.route.MaxTargets
}

// failRequest answers a request that is not sent again. Unless it may have run, the
// answer has a Retry-After.
func (s *State) failRequest(now model.Instant, r *request, e SendEnded, status int, reason string) *Refuse {
	refusal := &Refuse{Status: status, Reason: reason}
	left := time.Duration(0)
	switch reason {
	case reasonCrashes:
		refusal.Detail, left = s.quarantineDetail(r), s.quarantineLeft(now, r)
	case reasonMissingLayer, reasonNoTarget, reasonUnreached:
		refusal.Detail = s.unusableDetail(now, r.service.ID)
	}
	if len(r.possibleRuns) == 0 {
		refusal.Status, refusal.RetryAfter = http.StatusServiceUnavailable, max(left, jitter(s.retryAfter(now, r, reason), e.Random))
	}
	return refusal
}

// streamIdle handles an idle stream: it requests the report of the first target, and
// cancels the send once a hop is suspected or no longer holds its layers.
func (s *State) streamIdle(now model.Instant, e StreamIdle) []Effect {
	r := s.requests[e.ID]
	if r == nil || r.diverted || len(r.hops) == 0 || e.For < idleBeforeReport {
		return nil
	}
	for _, hop := range r.hops {
		t := s.targets[hop.Target]
		if t == nil || now < t.suspectedUntil && t.consecutiveFaults > 0 || !t.holds(hop) {
			return s.divert(now, r, hop)
		}
	}
	first := s.targets[r.hops[0].Target]
	if r.via == "" && !s.reaches(first) || s.relaySilent(now, r) {
		return s.divert(now, r, r.hops[0])
	}
	if r.via != "" {
		return nil // the relay has its own connection to the target
	}
	return s.probeIdle(now, r, first)
}

// probeIdle probes the first target of an idle stream.
func (s *State) probeIdle(now model.Instant, r *request, t *target) []Effect {
	if r.service.Engine == nil {
		if t.connectionProbedAt != 0 && now.Sub(t.connectionProbedAt) < reconnectInterval {
			return nil
		}
		return []Effect{s.probeConnection(now, t)}
	}
	if t.reportRequestedAt != 0 && now.Sub(t.reportRequestedAt) < reportInterval {
		return nil
	}
	return []Effect{s.requestReport(now, t)}
}

// divert cancels a send in flight when the request can be sent on another path and
// the retry budget allows it.
//
// Invariant: a request that may not be sent again is never cancelled because its
// target is idle.
func (s *State) divert(now model.Instant, r *request, hop fleet.Hop) []Effect {
	if !r.route.Repeatable() || r.expiresAt.Sub(now) < minTimeLeft || r.sends >= maxSends {
		return nil
	}
	if r.service.Engine == nil && s.onLastTarget(r) || !s.mayDivert(r) {
		return nil
	}
	// The next path is chosen as if this send had ended, and its retry is reserved.
	before := r.possibleRuns
	r.recordPossibleRun()
	hops, _ := s.choose(now, r)
	if hops == nil || slices.Equal(hops, r.hops) && s.sameWay(now, r, hops[0].Target) || !s.reserveRetry(now, r, Diverted) {
		r.possibleRuns = before
		return nil // no other path: the targets may recover
	}
	r.diverted = true
	return []Effect{&Divert{Reason: "target " + string(hop.Target) + " on its path is at fault"}}
}

func (s *State) reportRead(now model.Instant, e ReportRead) []Effect {
	t := s.targets[e.Target]
	if t == nil {
		return nil
	}
	if e.Report == nil {
		t.missedReports++
		s.missed(now, t, t.reportRequestedAt, e.Refused)
		if t.missedReports == deadAfterMissedReports {
			dead := &StateChanged{What: "target dead", Subject: string(t.ID), Detail: "it does not answer report requests"}
			return append(s.confirmCrashes(now), dead)
		}
		if t.runs(now) {
			return nil // another VM has had a sign of life since
		}
		return effectList(s.suspect(now, t, fault{reason: "it did not answer a report request", connection: true}))
	}
	if e.Report.StartedMs != 0 && e.Report.StartedMs != t.StartedMs {
		return append(s.markSuperseded(t, e.Report.StartedMs), s.confirmCrashes(now)...)
	}
	var effects []Effect
	if e.Report.Leaving {
		effects = effectList(s.keepLeaving(now, t.incarnation(), "stated in its report"))
	}
	if t.dead(now) {
		effects = append(effects, &StateChanged{What: "target answers again", Subject: string(t.ID)})
	}
	slowdown := min(e.Report.Slowdown, maxSlowdown)
	if (slowdown >= slowThreshold) != (t.slowness(now) > 1) {
		effects = append(effects, &StateChanged{
			What: "target pace", Subject: string(t.ID), Detail: strconv.FormatFloat(slowdown, 'f', 1, 64),
		})
	}
	t.superseded = false
	s.contact(now, t)
	t.missedReports, t.lastReportAt = 0, now
	t.slowdown, t.slowdownAt, t.slowdownReadAt = slowdown, now, now
	for _, address := range e.Report.Stalled {
		if at := s.byAddress[address]; at != nil && !at.layersJustChanged(now) {
			effects = append(effects, effectList(s.suspect(now, at, fault{
				reason: "paths through " + string(t.ID) + " are stalled on it", minPeriod: minStallSuspicion, indirect: true,
			}))...)
		}
	}
	return effects
}

// markSuperseded records that another incarnation answered at a target's address. A
// report of an incarnation older than the registered one is late and discarded.
func (s *State) markSuperseded(t *target, answered int64) []Effect {
	if t.superseded || answered < t.StartedMs {
		return nil
	}
	t.superseded = true
	return []Effect{&StateChanged{
		What: "target dead", Subject: string(t.ID), Detail: "an incarnation born " + strconv.FormatInt(answered, 10) + " answers at its address",
	}}
}

// effectList returns an effect as a list, empty for nil.
func effectList(e Effect) []Effect {
	if e == nil {
		return nil
	}
	return []Effect{e}
}
