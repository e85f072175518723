package reducer

import (
	"fmt"
	"time"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/fault"
	"tamarackreach/internal/idempotency"
	"tamarackreach/internal/model"
	"tamarackreach/internal/settings"
)

// maxCallAttempts is how often a retryable call is sent at most.
const maxCallAttempts = 2

// retryableCall is a call in progress that may be sent more than once.
type retryableCall struct {
	send     event.SendCall
	attempts int
	targets  []model.TargetID
	deadline model.Instant
}

func (s *State) callArrived(c *decision.Context, ev event.CallArrived) {
	if refusal := s.startCall(c, ev); refusal != nil {
		s.counters.RequestsRefused++
		c.Emit(event.RefuseRequest{Request: ev.Request, Fault: *refusal})
	}
}

func (s *State) startCall(c *decision.Context, ev event.CallArrived) *fault.Fault {
	if refusal := s.notReady(); refusal != nil {
		return refusal
	}
	view := s.follower.View()
	workspaceID, _, ok := view.WorkspaceByKey(ev.WorkspaceKey)
	if !ok {
		return badKeyFault()
	}
	service, method, refusal := findMethod(view, ev)
	if refusal != nil {
		return refusal
	}
	live := s.liveTargets(service)
	if len(live) == 0 {
		return capacityFault(fault.NotRun)
	}
	deadline := c.Now.Add(callDeadline(ev.Within, method))
	if method.AtMostOnce {
		return s.startOnce(c, ev, workspaceID, live[0], deadline)
	}
	call := &retryableCall{
		send: event.SendCall{
			Request: ev.Request, Workspace: workspaceID, Method: ev.Method, Body: ev.Body,
			IdempotencyKey: ev.IdempotencyKey, Deadline: deadline,
		},
		targets:  live,
		deadline: deadline,
	}
	s.calls[ev.Request] = call
	s.sendRetryable(c, call)
	return nil
}

func findMethod(view *settings.View, ev event.CallArrived) (*settings.Service, settings.Method, *fault.Fault) {
	service, ok := view.Service(ev.Service)
	if !ok {
		return nil, settings.Method{}, &fault.Fault{
			Kind: fault.NotRun, Code: fault.UnknownService, Message: fmt.Sprintf("no service %q", ev.Service),
			Remedy: "name a service of the settings",
		}
	}
	method, ok := service.Methods[ev.Method]
	if !ok {
		return nil, settings.Method{}, &fault.Fault{
			Kind: fault.NotRun, Code: fault.UnknownMethod, Message: fmt.Sprintf("service %q has no method %q", ev.Service, ev.Method),
			Remedy: "name a method of the service",
		}
	}
	if method.AtMostOnce && ev.IdempotencyKey == "" {
		return nil, settings.Method{}, &fault.Fault{
			Kind: fault.NotRun, Code: fault.KeyMissing, Message: fmt.Sprintf("method %q may not be repeated", ev.Method),
			Remedy: "send an idempotency key of your own choice",
		}
	}
	if method.AtMostOnce && (len(ev.IdempotencyKey) > idempotency.MaxKeyBytes || len(ev.Body) > idempotency.MaxBodyBytes) {
		return nil, settings.Method{}, &fault.Fault{
			Kind: fault.NotRun, Code: fault.BadRequest,
			Message: fmt.Sprintf("the idempotency key has %d bytes and the body %d", len(ev.IdempotencyKey), len(ev.Body)),
			Remedy:  fmt.Sprintf("send at most %d bytes of key and %d of body", idempotency.MaxKeyBytes, idempotency.MaxBodyBytes),
		}
	}
	return service, method, nil
}

func callDeadline(within time.Duration, method settings.Method) time.Duration {
	if within <= 0 || within > method.Deadline() {
		return method.Deadline()
	}
	return within
}

// liveTargets returns the usable targets of a service, those of this node's zone
// first.
func (s *State) liveTargets(service *settings.Service) []model.TargetID {
	var sameZone, otherZones []model.TargetID
	for _, id := range service.Targets {
		target, ok := s.targets.Get(id)
		switch {
		case !ok || !target.Usable():
		case target.Zone == s.config.Zone:
			sameZone = append(sameZone, id)
		default:
			otherZones = append(otherZones, id)
		}
	}
	return append(sameZone, otherZones...)
}

func (s *State) startOnce(c *decision.Context, ev event.CallArrived, workspace model.WorkspaceID, id model.TargetID, deadline model.Instant) *fault.Fault {
	target, _ := s.targets.Get(id)
	s.counters.CallsSent++
	s.ledger.Begin(c, &idempotency.Call{
		Request:   ev.Request,
		Workspace: workspace,
		Service:   ev.Service,
		Method:    ev.Method,
		Key:       ev.IdempotencyKey,
		Body:      ev.Body,
		Deadline:  deadline,
		Target:    id,
		Address:   target.Address,
	})
	return nil
}

func (s *State) sendRetryable(c *decision.Context, call *retryableCall) {
	id := call.targets[call.attempts%len(call.targets)]
	target, _ := s.targets.Get(id)
	call.attempts++
	call.send.Target = id
	call.send.Address = target.Address
	call.send.Within = call.deadline.Sub(c.Now)
	s.counters.CallsSent++
	c.Emit(call.send)
}

func (s *State) callAnswered(c *decision.Context, ev event.CallAnswered) {
	call, ok := s.calls[ev.Request]
	if !ok {
		s.ledger.HandleAnswer(c, ev)
		return
	}
	delete(s.calls, call.send.Request)
	if !ev.Failed {
		c.Emit(event.AnswerCall{Request: ev.Request, Body: ev.Body})
		return
	}
	c.Emit(event.RefuseRequest{Request: ev.Request, Fault: fault.Fault{
		Kind: fault.Failed, Code: fault.CallFailed, Message: ev.Message, Remedy: "correct the call",
	}})
}

func (s *State) callCut(c *decision.Context, ev event.CallCut) {
	call, ok := s.calls[ev.Request]
	if !ok {
		s.ledger.HandleCut(c, ev)
		return
	}
	if call.attempts < maxCallAttempts && c.Now < call.deadline {
		s.sendRetryable(c, call)
		return
	}
	delete(s.calls, call.send.Request)
	c.Emit(event.RefuseRequest{Request: ev.Request, Fault: fault.Fault{
		Kind: fault.Failed, Code: fault.CallFailed, Message: "no target of the service answered: " + ev.Reason,
		Remedy: "send the call again; this method may be repeated", RetryAfter: capacityRetryAfter,
	}})
}
