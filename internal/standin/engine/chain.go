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
	// forwardTimeout bounds one step request to another engine.
	forwardTimeout = 500 * time.Millisecond
	// firstPrepareTimeout bounds the first prepare request, whose pooled connection
	// may be silent.
	firstPrepareTimeout = 700 * time.Millisecond
	// retryPrepareTimeout bounds the retry over a new connection, including the
	// rebuild of the request's state.
	retryPrepareTimeout = 4 * time.Second
)

// startChain prepares all engines of the chain in parallel and queues the first
// step.
func (e *Engine) startChain(ctx context.Context, start *tamarackv1.StartRequest) error {
	results := make(chan error, len(start.Chain))
	for position := range start.Chain {
		go func() { results <- e.prepareHop(ctx, start, position) }()
	}
	var firstErr error
	for range start.Chain {
		if err := <-results; err != nil && firstErr == nil {
			firstErr = err
		}
	}
	if firstErr != nil {
		return firstErr
	}
	return e.step(&tamarackv1.StepRequest{
		RequestId: start.RequestId, Attempt: start.Attempt, Index: uint32(len(start.Tokens)),
	})
}

// prepareHop prepares the engine at a position of the chain. Its error names the
// target that refused the attempt or is unreachable.
func (e *Engine) prepareHop(ctx context.Context, start *tamarackv1.StartRequest, position int) error {
	if position == 0 {
		if err := e.prepare(start, 0); err != nil {
			return e.refusal(err)
		}
		return nil
	}
	hop := start.Chain[position]
	request := &tamarackv1.PrepareRequest{Start: start, Position: uint32(position)}
	err := e.sendPrepare(ctx, hop, request, firstPrepareTimeout)
	if err != nil && !connect.IsWireError(err) {
		e.host.retireConnections(hop.Address)
		err = e.sendPrepare(ctx, hop, request, retryPrepareTimeout)
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

func (e *Engine) sendPrepare(ctx context.Context, to *tamarackv1.Hop, request *tamarackv1.PrepareRequest, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := e.host.client(to.Address).Prepare(ctx, connect.NewRequest(request))
	return err
}

// forward sends a step to another engine after the latency of the link, and
// retries once over a new connection. An unreachable target is reported to the
// last engine of the chain, which reports it to the entry VM.
func (e *Engine) forward(s *session, to *tamarackv1.Hop, request *tamarackv1.StepRequest) {
	time.Sleep(e.host.linkLatency(e, to.TargetId))
	if e.sendStep(to, request) {
		return
	}
	e.host.retireConnections(to.Address)
	if e.sendStep(to, request) || !e.holdsSession(s) {
		return
	}
	e.reportLost(s, to.TargetId)
}

// sendStep reports whether the target accepted the step.
func (e *Engine) sendStep(to *tamarackv1.Hop, request *tamarackv1.StepRequest) bool {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	_, err := e.host.client(to.Address).Step(ctx, connect.NewRequest(request))
	return err == nil
}

// reportLost reports an unreachable target to the collector of the attempt.
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
