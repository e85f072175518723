package director

import (
	"net/http"
	"time"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

// HeadDecision is what the head of a request decides before its body is read.
type HeadDecision struct {
	// Refusal is nil for a request whose body is to be read.
	Refusal *Refuse
	// Workspace is empty where no key is required.
	Workspace model.WorkspaceID
	// TimeLeft is the time within which the body has to arrive and to be answered.
	TimeLeft time.Duration
	// MaxBodyBytes is the limit of the configuration, 0 when it sets none.
	MaxBodyBytes int64
}

// DecideHead returns what the head of a request decides. It changes no state: RequestArrived
// makes the full decision once the body has been read.
func (s *State) DecideHead(now model.Instant, e RequestArrived) HeadDecision {
	d := HeadDecision{}
	if s.config != nil {
		d.MaxBodyBytes = s.config.Limits.MaxBodyBytes
	}
	route, workspace, refusal := s.checkHead(now, e)
	if refusal != nil {
		d.Refusal = refusal
		return d
	}
	if workspace != nil {
		d.Workspace = workspace.ID
	}
	d.TimeLeft = expiryOf(now, e, route).Sub(now)
	return d
}

// checkHead returns the route and the workspace of a request, the latter nil where no key is
// required, or a refusal.
func (s *State) checkHead(now model.Instant, e RequestArrived) (*fleet.Route, *fleet.Workspace, *Refuse) {
	req := e.Request
	unavailable := func(retryAfter time.Duration, reason string) (*fleet.Route, *fleet.Workspace, *Refuse) {
		return nil, nil, &Refuse{Status: http.StatusServiceUnavailable, RetryAfter: jitter(retryAfter, e.Random), Reason: reason}
	}
	if s.config == nil {
		return unavailable(unconfirmedRetryAfter, "no configuration is known yet")
	}
	if s.requests[req.ID] != nil {
		return nil, nil, &Refuse{Status: http.StatusBadRequest, Reason: "the id belongs to a request that is being served"}
	}
	route := s.route(req.Host, req.Path)
	if route == nil {
		if s.stale(now) {
			return unavailable(unconfirmedRetryAfter, "no route, and the configuration is not confirmed")
		}
		return nil, nil, &Refuse{Status: http.StatusNotFound, Reason: "no route matches host and path in configuration " + version(s.config.Version)}
	}
	expiresAt := expiryOf(now, e, route)
	if !s.drain.Accepts(now, drainRequest(route, expiresAt)) {
		return unavailable(stoppingRetryAfter, reasonStopping)
	}
	workspace, denial := s.authorize(now, route, req, e.Random)
	if denial != nil {
		return nil, nil, denial
	}
	if expiresAt <= now {
		return nil, nil, &Refuse{Status: http.StatusRequestTimeout, Reason: "the time of the request ended before its body was read"}
	}
	return route, workspace, nil
}

// expiryOf returns the deadline of a request.
func expiryOf(now model.Instant, e RequestArrived, route *fleet.Route) model.Instant {
	arrivedAt := now
	if e.At != 0 {
		arrivedAt = e.At
	}
	return arrivedAt.Add(timeoutFor(e.Request, route))
}
