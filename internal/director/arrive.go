package director

import (
	"net/http"
	"strconv"
	"time"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

const (
	// defaultTime is the time of a request whose caller and route name none.
	defaultTime = 30 * time.Second
	// leastTime is what must be left for a further send: below, the answer would
	// come too late to be used.
	leastTime = 50 * time.Millisecond
	// maxSends bounds the sends of a request, those that were rejected included.
	maxSends = 4
	// holeReturn is when a caller is told to return while layers are missing:
	// about the time to notice a dead target and to load its part elsewhere.
	holeReturn = 2 * time.Second
	// busyReturn is when a caller is told to return while targets are full: the
	// time in which a tenth of the usual answers ends.
	busyReturn = 700 * time.Millisecond
	// lastStreams is how long after it was asked to stop a VM begins streams: a
	// usual one ends well before the process is killed, eight seconds after.
	lastStreams = 2 * time.Second
	// lastCalls is how long before the end of the process a stopping VM takes its
	// last plain requests: several times what a usual one takes.
	lastCalls = 2 * time.Second
	// movingReturn is when a caller of a stopping VM is told to return: another VM
	// takes its next connection.
	movingReturn = 100 * time.Millisecond
	// unknownReturn is when a caller is told to return while the configuration is
	// not known or not confirmed: a few reads of the store.
	unknownReturn = 1500 * time.Millisecond
)

func version(r model.Revision) string { return strconv.FormatUint(uint64(r), 10) }

// spread returns a time within half and one and a half of d, so that callers
// who were refused together do not return together.
func spread(d time.Duration, random float64) time.Duration {
	return time.Duration(float64(d) * (0.5 + random))
}

func (s *State) arrive(now model.Instant, e Arrived) []Effect {
	req := e.Request
	if s.config == nil {
		return refuse(http.StatusServiceUnavailable, spread(unknownReturn, e.Random), "no configuration is known yet")
	}
	if s.requests[req.ID] != nil {
		return refuse(http.StatusBadRequest, 0, "the id belongs to a request that is being served")
	}
	route := s.route(req.Host, req.Path)
	if route == nil {
		if s.stale(now) {
			return refuse(http.StatusServiceUnavailable, spread(unknownReturn, e.Random), "no route, and the configuration is not confirmed")
		}
		return refuse(http.StatusNotFound, 0, "no route matches host and path in configuration "+version(s.config.Version))
	}
	if s.stopsBefore(now, route) {
		return refuse(http.StatusServiceUnavailable, spread(movingReturn, e.Random), "the VM is stopping; the request would be cut")
	}
	workspace, denial := s.authorize(now, route, req, e.Random)
	if denial != nil {
		return []Effect{denial}
	}
	r := &request{Request: req, route: route, workspace: workspace, random: e.Random, ends: now.Add(timeFor(req, route))}
	r.service = s.config.Services[split(route.Split, e.Random)]
	if r.service == nil {
		return refuse(http.StatusServiceUnavailable, spread(unknownReturn, e.Random), "the route's service is not in the configuration")
	}
	if left := s.refusedFor(now, r); left > 0 {
		return refuse(http.StatusServiceUnavailable, left, whyCrashes)
	}
	s.requests[req.ID] = r
	send, why := s.send(now, r)
	if send == nil {
		delete(s.requests, req.ID)
		refusal := &Refuse{Status: http.StatusServiceUnavailable, RetryAfter: spread(s.returnTime(why), e.Random), Reason: why}
		if why == whyLate {
			refusal.Detail = "first event after " + r.predicted.Work.String() + ", and " + r.predicted.Queue.String() + " for prompts before it"
		}
		return []Effect{refusal}
	}
	s.budget.First(now, r.service.ID)
	return []Effect{send}
}

// stopsBefore is true when a request that comes now may outlast the process.
func (s *State) stopsBefore(now model.Instant, route *fleet.Route) bool {
	if s.terminating == 0 {
		return false
	}
	stopping := now.Sub(s.terminating)
	if route.Kind == fleet.Stream {
		return stopping > lastStreams
	}
	return s.settings.Grace > 0 && stopping > s.settings.Grace-lastCalls
}

// timeFor returns how long a request may take: the caller's time or the route's,
// whichever is shorter.
func timeFor(req *fleet.Request, route *fleet.Route) time.Duration {
	switch {
	case req.Deadline > 0 && route.Timeout > 0:
		return min(req.Deadline, route.Timeout)
	case req.Deadline > 0 || route.Timeout > 0:
		return max(req.Deadline, route.Timeout)
	}
	return defaultTime
}

func refuse(status int, retryAfter time.Duration, why string) []Effect {
	return []Effect{&Refuse{Status: status, RetryAfter: retryAfter, Reason: why}}
}

// authorize checks the key of a request.
//
// Invariant: a request with a key is accepted only on a configuration that was
// read less than the revocation bound ago.
func (s *State) authorize(now model.Instant, route *fleet.Route, req *fleet.Request, random float64) (*fleet.Workspace, *Refuse) {
	if len(s.config.Workspaces) == 0 || route.Public {
		return nil, nil
	}
	if s.keysExpired(now) {
		return nil, &Refuse{
			Status: http.StatusServiceUnavailable, RetryAfter: spread(unknownReturn, random),
			Reason: "keys cannot be checked: the configuration was not confirmed for " + now.Sub(s.confirmed).String(),
		}
	}
	if w := s.keys[req.Key]; req.HasKey && w != nil {
		return w, nil
	}
	if s.stale(now) {
		return nil, &Refuse{
			Status: http.StatusServiceUnavailable, RetryAfter: spread(unknownReturn, random),
			Reason: "the key is not known and the configuration is not confirmed",
		}
	}
	return nil, &Refuse{
		Status: http.StatusUnauthorized,
		Reason: "the key is not in configuration " + version(s.config.Version),
	}
}

// split chooses a service by weight; at is uniform in [0,1).
func split(parts []fleet.WeightedService, at float64) model.ServiceID {
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
	whyHole    = "a layer of the model has no usable target"
	whyNobody  = "the service has no usable target"
	whyLate    = "the targets of the service have too many prompts to read"
	whyCrashes = "targets that ran this content crashed"

	whyFull = "the targets of the service are full"
)

func (s *State) returnTime(why string) time.Duration {
	if why == whyFull || why == whyLate {
		return busyReturn
	}
	return holeReturn
}

// send chooses where a request goes next, or says why it cannot.
func (s *State) send(now model.Instant, r *request) (*Send, string) {
	hops, why := s.choose(now, r)
	if hops == nil {
		return nil, why
	}
	r.hops, r.diverted, r.waiting, r.sentAt = hops, false, true, now
	r.sends++
	s.account(r, 1)
	out := &Send{Route: r.route, Service: r.service, Hops: hops, TimeLeft: r.ends.Sub(now), Number: r.sends, Predicted: r.predicted, Priority: r.priority()}
	if r.workspace != nil {
		out.Workspace = r.workspace.ID
	}
	return out, ""
}

// priority is the workspace's rank, or the route's where it has none.
func (r *request) priority() int {
	if r.workspace != nil && r.workspace.HasPriority {
		return r.workspace.Priority
	}
	return r.route.Priority
}

// choose returns the targets that the next send of a request passes through, or
// why there are none.
func (s *State) choose(now model.Instant, r *request) ([]fleet.Hop, string) {
	if r.service.Engine != nil {
		return s.path(now, r)
	}
	t := s.plainTarget(now, r)
	if t == nil {
		return nil, whyNobody
	}
	return []fleet.Hop{{Target: t.ID, Address: t.Address}}, ""
}

// account adds the request to the load of its hops, or takes it away.
func (s *State) account(r *request, sign int) {
	tokens := s.tokens(r)
	for i, hop := range r.hops {
		t := s.targets[hop.Target]
		if t == nil {
			continue
		}
		if i == 0 {
			t.own.First += sign
		}
		t.own.Requests += sign
		t.own.TokenLayers += float64(sign) * tokens * float64(hop.Layers.Len())
		if r.waiting {
			t.own.Waiting += sign
		}
	}
	if sign < 0 {
		r.hops, r.waiting = nil, false
	}
}

// began notes that a request's prompt has been read.
func (s *State) began(now model.Instant, id model.RequestID) {
	r := s.requests[id]
	if r == nil || !r.waiting {
		return
	}
	r.begun = true
	for _, hop := range r.hops {
		if t := s.targets[hop.Target]; t != nil {
			t.own.Waiting--
			t.sound(now)
		}
	}
	r.waiting = false
}

// tokens estimates the tokens that a request holds in memory on the mean: its
// prompt and a part of the usual answer, or of what it asks for when that is
// less.
func (s *State) tokens(r *request) float64 {
	if r.service.Engine == nil {
		return 0
	}
	prompt, answer := r.service.Engine.UsualPrompt, r.service.Engine.UsualAnswer
	if r.PromptTokens > 0 {
		prompt = float64(r.PromptTokens)
	}
	if r.AnswerTokens > 0 {
		answer = min(answer, float64(r.AnswerTokens))
	}
	return prompt + meanProgress*answer
}

// plainTarget returns the target with the least work, in the home zone when one
// there has a free slot. Targets under suspicion, and those that may have run
// the request, come last.
func (s *State) plainTarget(now model.Instant, r *request) *target {
	var best *target
	bestScore := 0.0
	for _, t := range s.byService[r.service.ID] {
		if !t.serving() {
			continue
		}
		load := s.load(now, t)
		score := float64(load.Requests) / float64(max(t.Slots, 1))
		if t.Zone != s.settings.Zone {
			score += awayScore
		}
		if r.mayHaveRunOn(t.ID) {
			score += triedScore
		}
		if now < t.suspectUntil {
			score += suspectScore
		}
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

const (
	// awayScore is the part of a target's slots that must be taken before another
	// zone is tried.
	awayScore = 0.5
	// triedScore puts a target that was tried behind all others.
	triedScore = 100
	// suspectScore puts a target under suspicion behind all that are not.
	suspectScore = 1000
)
