package engine

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/targetclient"
)

const (
	// forwardTimeout bounds one message to another engine.
	forwardTimeout = 500 * time.Millisecond
	// prepareTry bounds a prepare over a connection that may be silent.
	prepareTry = 700 * time.Millisecond
	// prepareTimeout bounds a prepare over a new one, rebuilding included.
	prepareTimeout = 4 * time.Second
)

// startChain prepares every engine of the chain and runs the first step.
func (e *Engine) startChain(ctx context.Context, start *tamarackv1.StartRequest) error {
	results := make(chan error, len(start.Chain))
	for position := range start.Chain {
		go func() { results <- e.prepareAt(ctx, start, position) }()
	}
	var failed error
	for range start.Chain {
		if err := <-results; err != nil && failed == nil {
			failed = err
		}
	}
	if failed != nil {
		return failed
	}
	return e.step(&tamarackv1.StepRequest{
		RequestId: start.RequestId, Attempt: start.Attempt, Index: uint32(len(start.Tokens)),
	})
}

func (e *Engine) prepareAt(ctx context.Context, start *tamarackv1.StartRequest, position int) error {
	if position == 0 {
		if err := e.prepare(start, 0); err != nil {
			return e.refusal(err)
		}
		return nil
	}
	hop := start.Chain[position]
	request := &tamarackv1.PrepareRequest{Start: start, Position: uint32(position)}
	err := e.sendPrepare(ctx, hop, request, prepareTry)
	if err != nil && !connect.IsWireError(err) {
		e.host.retire(hop.Address)
		err = e.sendPrepare(ctx, hop, request, prepareTimeout)
	}
	if err == nil {
		return nil
	}
	if connect.IsWireError(err) {
		refused := connect.NewError(connect.CodeFailedPrecondition, err)
		refused.Meta().Set(targetclient.RefusedTargetHeader, hop.TargetId)
		return refused
	}
	lost := connect.NewError(connect.CodeUnavailable, errors.Newf("%s is unreachable", hop.TargetId))
	lost.Meta().Set(targetclient.LostTargetHeader, hop.TargetId)
	return lost
}

func (e *Engine) sendPrepare(ctx context.Context, to *tamarackv1.Hop, request *tamarackv1.PrepareRequest, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	_, err := e.host.client(to.Address).Prepare(ctx, connect.NewRequest(request))
	return err
}

// forward sends a step over a link; a target that cannot be reached is
// reported to the last engine of the chain, which tells the entry VM.
func (e *Engine) forward(s *session, to *tamarackv1.Hop, request *tamarackv1.StepRequest) {
	time.Sleep(e.host.linkLatency(e, to.TargetId))
	if e.sendStep(to, request) {
		return
	}
	e.host.retire(to.Address)
	if e.sendStep(to, request) || !e.holdsSession(s) {
		return
	}
	e.reportLost(s, to.TargetId)
}

// sendStep is false when the target gave no answer.
func (e *Engine) sendStep(to *tamarackv1.Hop, request *tamarackv1.StepRequest) bool {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	_, err := e.host.client(to.Address).Step(ctx, connect.NewRequest(request))
	return err == nil
}

func (e *Engine) reportLost(s *session, lost string) {
	if s.isLast() {
		e.emit(s, &tamarackv1.CollectResponse{
			RequestId: s.start.RequestId, Attempt: s.start.Attempt, LostTargetId: lost,
		})
		return
	}
	e.sendStep(s.lastHop(), &tamarackv1.StepRequest{
		RequestId: s.start.RequestId, Attempt: s.start.Attempt, LostTargetId: lost,
	})
}
