package director

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

const (
	// defaultTimeout applies when neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
	// minTimeLeft is the time to the deadline below which a request is not sent
	// again, since the answer would arrive too late to be used.
	minTimeLeft = 50 * time.Millisecond
	// maxSends bounds the sends of a request, including rejected ones.
	maxSends = 4
	// missingLayerRetryAfter is the Retry-After while a layer has no usable target:
	// about the time to detect an unreachable target and load its layers elsewhere.
	missingLayerRetryAfter = 2 * time.Second
	// overloadRetryAfter is the Retry-After while targets are full: the time in which
	// a tenth of the usual answers completes.
	overloadRetryAfter = 700 * time.Millisecond
	// limitRetryAfter is the shortest Retry-After while targets take no more requests at the
	// rates that they named: each second brings as many places as their rates.
	limitRetryAfter = 250 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of a terminating VM: the caller's next
	// connection goes to another VM.
	stoppingRetryAfter = 100 * time.Millisecond
	// unreachedRetryAfter is the Retry-After of a VM that does not reach the targets: other
	// VMs may, and the caller's next connection may go to one of them.
	unreachedRetryAfter = 500 * time.Millisecond
	// unconfirmedRetryAfter is the Retry-After while the configuration is unknown or
	// not confirmed: the time of a few reads of the store.
	unconfirmedRetryAfter = 1500 * time.Millisecond
)

func version(r model.Revision) string { return strconv.FormatUint(uint64(r), 10) }

// jitter returns a duration between half and one and a half of d, so that callers
// that were refused together do not retry together.
func jitter(d time.Duration, random float64) time.Duration {
	return time.Duration(float64(d) * (0.5 + random))
}

func (s *State) requestArrived(now model.Instant, e RequestArrived) []Effect {
	req := e.Request
	route, workspace, refusal := s.checkHead(now, e)
	if refusal != nil {
		return []Effect{refusal}
	}
	r := &request{Request: req, route: route, workspace: workspace, random: e.Random, expiresAt: expiryOf(now, e, route)}
	r.service = s.config.Services[chooseService(route.Split, e.Random)]
	if r.service == nil {
		return refuse(http.StatusServiceUnavailable, jitter(unconfirmedRetryAfter, e.Random), "the route's service is not in the configuration")
	}
	if left := s.quarantineLeft(now, r); left > 0 {
		return []Effect{&Refuse{Status: http.StatusServiceUnavailable, RetryAfter: left, Reason: reasonCrashes, Detail: s.quarantineDetail(r)}}
	}
	if e.inspect != nil {
		e.inspect(r)
		return nil
	}
	s.requests[req.ID] = r
	send, reason := s.admit(now, r)
	if send == nil {
		delete(s.requests, req.ID)
		return []Effect{s.refuseFirst(now, r, reason, e.Random)}
	}
	s.budget.CountFirstAttempt(now, r.service.ID)
	s.checkBudgetRestored(now, r.service.ID)
	return append(s.startTrial(now, r), send)
}

// refuseFirst answers a request that arrived and is not sent.
func (s *State) refuseFirst(now model.Instant, r *request, reason string, random float64) *Refuse {
	refusal := &Refuse{Status: http.StatusServiceUnavailable, RetryAfter: jitter(s.retryAfter(now, r, reason), random), Reason: reason}
	switch reason {
	case reasonMissingLayer, reasonNoTarget, reasonUnreached:
		refusal.Detail = s.unusableDetail(now, r.service.ID)
	case reasonReserved:
		refusal.Detail = r.verdict.String()
	case reasonPromptBacklog:
		refusal.Detail = "first event predicted after " + r.predicted.Prefill.String() + ", plus " + r.predicted.Queue.String() + " of queued prompts"
	}
	return refusal
}

// timeoutFor returns the shorter of the caller's and the route's timeout.
func timeoutFor(req *fleet.Request, route *fleet.Route) time.Duration {
	switch {
	case req.Deadline > 0 && route.Timeout > 0:
		return min(req.Deadline, route.Timeout)
	case req.Deadline > 0 || route.Timeout > 0:
		return max(req.Deadline, route.Timeout)
	}
	return defaultTimeout
}

func refuse(status int, retryAfter time.Duration, reason string) []Effect {
	return []Effect{&Refuse{Status: status, RetryAfter: retryAfter, Reason: reason}}
}

// authorize checks the key of a request and returns its workspace, nil where no key
// is required.
//
// Invariant: a request with a key is accepted only on a configuration that was
// read less than the revocation bound ago, and that holds the key.
func (s *State) authorize(now model.Instant, route *fleet.Route, req *fleet.Request, random float64) (*fleet.Workspace, *Refuse) {
	if route.Public || s.config.AllowAnonymous && !req.HasKey {
		return nil, nil
	}
	if s.keysExpired(now) {
		return nil, &Refuse{
			Status: http.StatusServiceUnavailable, RetryAfter: jitter(unconfirmedRetryAfter, random),
			Reason: "keys cannot be checked: the configuration was not confirmed for " + now.Sub(s.confirmedAt).String(),
		}
	}
	if w := s.workspaceByKey[req.Key]; req.HasKey && w != nil {
		return w, nil
	}
	if s.stale(now) {
		return nil, &Refuse{
			Status: http.StatusServiceUnavailable, RetryAfter: jitter(unconfirmedRetryAfter, random),
			Reason: "the key is not known and the configuration is not confirmed",
		}
	}
	return nil, &Refuse{
		Status: http.StatusUnauthorized,
		Reason: "the key is not in configuration " + version(s.config.Version),
	}
}

// chooseService chooses a service by weight; at is uniform in [0,1).
func chooseService(parts []fleet.WeightedService, at float64) model.ServiceID {
	total := 0.0
	for _, p := range parts {
		total += float64(p.Weight)
	}
	left := at * total
	for _, p := range parts {
		if left -= float64(p.Weight); left < 0 {
			return p.Service
		}
	}
	return parts[0].Service
}

const (
	reasonMissingLayer  = "a layer of the model has no usable target"
	reasonNoTarget      = "the service has no usable target"
	reasonPromptBacklog = "the targets of the service have too many prompts to read"
	reasonCrashes       = "targets that ran this content crashed"

	reasonBackoff   = "the targets of the service requested a backoff"
	reasonUnreached = "the VM does not reach the targets, and no other VM can relay the request"
	reasonStopping  = "the VM is stopping"

	reasonFull    = "the targets of the service are full"
	reasonLimited = "the targets of the service have named limits, which are reached"
)

func (s *State) retryAfter(now model.Instant, r *request, reason string) time.Duration {
	switch reason {
	case reasonFull, reasonPromptBacklog, reasonReserved:
		return cmp.Or(s.admissionRetryAfter(now, r), overloadRetryAfter)
	case reasonUnreached:
		return unreachedRetryAfter
	case reasonStopping:
		return stoppingRetryAfter
	case reasonLimited:
		return max(limitRetryAfter, s.limitWait(now, r.service.ID))
	case reasonBackoff:
		return max(minBackoffRetryAfter, s.backoffWait(now, r.service.ID))
	}
	return missingLayerRetryAfter
}

// noTargetReason returns why no target of a plain service takes a request.
func (s *State) noTargetReason(now model.Instant, r *request) string {
	if reason := s.notTakenReason(now, r.service.ID); reason != "" {
		return reason
	}
	return reasonNoTarget
}

// notTakenReason returns whether targets of a service take no more requests because of a
// backoff or of a rate; a backoff ends at a known time and comes first. It is empty when none
// names either.
func (s *State) notTakenReason(now model.Instant, service model.ServiceID) string {
	switch {
	case s.backoffWait(now, service) > 0:
		return reasonBackoff
	case slices.ContainsFunc(s.byService[service], func(t *target) bool { return t.serving(now) && s.limits.Limited(t.ID) }):
		return reasonLimited
	}
	return ""
}

// send chooses the path of the next send of a request, or returns the reason
// why there is none.
func (s *State) send(now model.Instant, r *request) (*Send, string) {
	s.countDemand(now, r)
	hops, reason := s.choose(now, r)
	if hops == nil {
		return nil, reason
	}
	r.hops, r.diverted, r.awaitingFirst, r.sentAt = hops, false, true, now
	first := s.targets[hops[0].Target]
	relay := s.relayFor(now, r, first)
	s.countOverflow(now, r, first)
	s.recordLoadAge(now, first)
	r.sends++
	r.sentTo = first.incarnation()
	r.resultCounted = false
	s.beginTrials(now, r)
	s.adjustLoad(r, 1)
	s.beginRelayed(r, relay)
	s.limits.Sent(now, r.sentTo.target)
	out := &Send{Route: r.route, Service: r.service, Hops: hops, ExpiresAt: r.expiresAt, TimeLeft: r.expiresAt.Sub(now), Number: r.sends, Predicted: r.predicted, Priority: r.priority(), Relay: relay}
	if r.workspace != nil {
		out.Workspace = r.workspace.ID
	}
	return out, ""
}

// priority returns the workspace's priority, or the route's where it has none.
func (r *request) priority() int {
	if r.workspace != nil && r.workspace.HasPriority {
		return r.workspace.Priority
	}
	return r.route.Priority
}

// choose returns the hops of the next send of a request, or the reason why there
// are none.
func (s *State) choose(now model.Instant, r *request) ([]fleet.Hop, string) {
	if r.service.Engine != nil {
		return s.choosePath(now, r)
	}
	t := s.leastLoadedTarget(now, r)
	if t == nil {
		return nil, s.noTargetReason(now, r)
	}
	if r.sends == 0 && !s.admitTarget(now, r, t) {
		return nil, reasonReserved
	}
	return []fleet.Hop{{Target: t.ID, Address: t.Address}}, ""
}

// adjustLoad adds the request to the load of its hops when sign is 1, and subtracts
// it when sign is -1.
func (s *State) adjustLoad(r *request, sign int) {
	for i, hop := range r.hops {
		if t := s.targets[hop.Target]; t != nil {
			s.adjustTargetLoad(t, r, i, sign)
		}
	}
	if sign < 0 {
		r.hops, r.awaitingFirst = nil, false
		s.endRelayed(r)
	}
}

// adjustTargetLoad adds the request to the load of the target of its i-th hop when
// sign is 1, and subtracts it when sign is -1.
func (s *State) adjustTargetLoad(t *target, r *request, i, sign int) {
	if i == 0 {
		t.ownLoad.First += sign
	}
	t.ownLoad.Requests += sign
	t.ownLoad.TokenLayers += float64(sign) * s.meanTokens(r) * float64(r.hops[i].Layers.Len())
	if r.awaitingFirst {
		t.ownLoad.Waiting += sign
	}
}

// restoreLoad adds the requests in flight to the load of a target whose registration
// has returned: they are subtracted when they end.
func (s *State) restoreLoad(t *target) {
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		r := s.requests[id]
		for i, hop := range r.hops {
			if hop.Target == t.ID {
				s.adjustTargetLoad(t, r, i, 1)
			}
		}
	}
}

// recordAnswerStart records that a request's prefill is complete.
func (s *State) recordAnswerStart(now model.Instant, id model.RequestID) []Effect {
	r := s.requests[id]
	if r == nil || !r.awaitingFirst {
		return nil
	}
	r.answerStarted = true
	s.recordFirst(now, r)
	s.recordContact(now, r)
	for _, hop := range r.hops {
		if t := s.targets[hop.Target]; t != nil {
			t.ownLoad.Waiting--
			t.answered(now)
		}
	}
	r.awaitingFirst = false
	return s.recordSuccess(now, r)
}

// meanTokens estimates the mean number of tokens that a request holds in the KV
// cache: its prompt and a fraction of the mean answer, or of the requested answer
// when that is shorter.
func (s *State) meanTokens(r *request) float64 {
	if r.service.Engine == nil {
		return 0
	}
	prompt, answer := r.service.Engine.MeanPromptTokens, r.service.Engine.MeanAnswerTokens
	if r.PromptTokens > 0 {
		prompt = float64(r.PromptTokens)
	}
	if r.AnswerTokens > 0 {
		answer = min(answer, float64(r.AnswerTokens))
	}
	return prompt + meanAnswerFraction*answer
}

// leastLoadedTarget returns the target with the lowest estimated load, or one that is
// similar, with a penalty for other zones than the preferred one. Targets that may have run
// the request come after all others, and targets under suspicion last.
func (s *State) leastLoadedTarget(now model.Instant, r *request) *target {
	choice, preferred := s.newChoice(now, r), s.preferredZone(now, r)
	for _, t := range s.byService[r.service.ID] {
		if !t.serving(now) || !s.mayStartOn(now, t) {
			continue
		}
		unreached := !s.reaches(t) && s.runsUnreached(now, t)
		if unreached && s.relayTo(now, r, t) == nil {
			continue
		}
		score := 0.0
		if t.Zone != preferred {
			score += remoteZonePenalty
		}
		if unreached {
			score += relayPenalty
		}
		if r.mayHaveRunOn(t.ID) {
			score += triedPenalty
		}
		score += s.ejectionPenalty(now, r, t)
		if now < t.suspectedUntil {
			score += suspectPenalty
		}
		choice.score(t, s.estimatedLoad(now, t), score)
	}
	return choice.target()
}

const (
	// remoteZonePenalty is the fraction of a target's slots that must be in use
	// before another zone is tried.
	remoteZonePenalty = 0.5
	// triedPenalty ranks a target that may have run the request behind the others.
	triedPenalty = 100
	// suspectPenalty ranks a target under suspicion behind all that are not.
	suspectPenalty = 1000
)
