package engine

import (
	"context"
	"time"

	"connectrpc.com/connect"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/model"
	"tamarackreach/internal/targetclient"
)

// heartbeatInterval is the time between two heartbeats of a token stream.
const heartbeatInterval = 200 * time.Millisecond

// Start starts an attempt on this engine, the first of its chain.
func (e *Engine) Start(ctx context.Context, request *connect.Request[tamarackv1.StartRequest]) (*connect.Response[tamarackv1.StartResponse], error) {
	if err := e.startChain(ctx, request.Msg); err != nil {
		return nil, err
	}
	return connect.NewResponse(&tamarackv1.StartResponse{}), nil
}

// Prepare prepares this engine for its part of an attempt.
func (e *Engine) Prepare(_ context.Context, request *connect.Request[tamarackv1.PrepareRequest]) (*connect.Response[tamarackv1.PrepareResponse], error) {
	if err := e.prepare(request.Msg.Start, int(request.Msg.Position)); err != nil {
		return nil, e.refusal(err)
	}
	return connect.NewResponse(&tamarackv1.PrepareResponse{}), nil
}

// refusal returns an error that names this engine as the one that refused the
// attempt.
func (e *Engine) refusal(err error) error {
	refused := connect.NewError(connect.CodeFailedPrecondition, err)
	refused.Meta().Set(targetclient.RefusedTargetHeader, e.config.ID)
	return refused
}

// Step queues a decode step, or records a target that another engine reports as
// unreachable.
func (e *Engine) Step(_ context.Context, request *connect.Request[tamarackv1.StepRequest]) (*connect.Response[tamarackv1.StepResponse], error) {
	if lost := request.Msg.LostTargetId; lost != "" {
		e.frameLog(attemptKey{request: request.Msg.RequestId, attempt: request.Msg.Attempt}).add(&tamarackv1.CollectResponse{
			RequestId: request.Msg.RequestId, Attempt: request.Msg.Attempt, LostTargetId: lost,
		})
		return connect.NewResponse(&tamarackv1.StepResponse{}), nil
	}
	if err := e.step(request.Msg); err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	return connect.NewResponse(&tamarackv1.StepResponse{}), nil
}

// Collect streams the frames of an attempt and sends heartbeats in between.
func (e *Engine) Collect(ctx context.Context, request *connect.Request[tamarackv1.CollectRequest], stream *connect.ServerStream[tamarackv1.CollectResponse]) error {
	log := e.frameLog(attemptKey{request: request.Msg.RequestId, attempt: request.Msg.Attempt})
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	sent := 0
	for {
		frames, changed := log.from(sent)
		for _, frame := range frames {
			if err := stream.Send(frame); err != nil {
				return err
			}
			sent++
			if frame.Last || frame.LostTargetId != "" {
				return nil
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-heartbeat.C:
			beat := &tamarackv1.CollectResponse{RequestId: request.Msg.RequestId, Attempt: request.Msg.Attempt, Heartbeat: true}
			if err := stream.Send(beat); err != nil {
				return err
			}
		}
	}
}

// Cancel ends every attempt of a request up to the given one.
func (e *Engine) Cancel(_ context.Context, request *connect.Request[tamarackv1.CancelRequest]) (*connect.Response[tamarackv1.CancelResponse], error) {
	e.cancel(request.Msg.RequestId, request.Msg.Attempt)
	return connect.NewResponse(&tamarackv1.CancelResponse{}), nil
}

// Order sets the model, version and layers that the engine must hold. It answers
// once the weights are fetched and discards all sessions.
func (e *Engine) Order(ctx context.Context, request *connect.Request[tamarackv1.OrderRequest]) (*connect.Response[tamarackv1.OrderResponse], error) {
	if !e.acceptOrder(request.Msg) {
		return connect.NewResponse(&tamarackv1.OrderResponse{Reason: "the fencing number is old"}), nil
	}
	want := model.LayerRange{First: request.Msg.Layers.GetFirst(), End: request.Msg.Layers.GetEnd()}
	if err := e.host.fetchWeights(ctx, request.Msg, e.config.ID, want.Len()); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model = request.Msg.Model
	e.version = model.ModelVersion(request.Msg.Version)
	e.layers = want
	e.sessions = make(map[string]*session)
	return connect.NewResponse(&tamarackv1.OrderResponse{Accepted: true}), nil
}

func (e *Engine) acceptOrder(order *tamarackv1.OrderRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFencing && order.FencingNumber < e.fencingNumber {
		return false
	}
	e.fencingNumber = max(e.fencingNumber, order.FencingNumber)
	return true
}

// Watch streams load reports and cache events.
func (e *Engine) Watch(ctx context.Context, _ *connect.Request[tamarackv1.WatchRequest], stream *connect.ServerStream[tamarackv1.WatchResponse]) error {
	ticker := time.NewTicker(e.config.reportInterval())
	defer ticker.Stop()
	watch := watchState{links: make(map[string]uint32)}
	for sequence := uint64(1); ; sequence++ {
		report := e.report(sequence, &watch)
		if err := stream.Send(report); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// watchState is what one watch has sent: the cache events up to cursor, and the
// latency of each link in microseconds.
type watchState struct {
	cursor int
	links  map[string]uint32
}

func (e *Engine) report(sequence uint64, watch *watchState) *tamarackv1.WatchResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	running, waiting := e.queue.load()
	report := &tamarackv1.WatchResponse{
		TargetId:      e.config.ID,
		Incarnation:   e.incarnation,
		Sequence:      sequence,
		Model:         e.model,
		Version:       string(e.version),
		Layers:        &tamarackv1.LayerRange{First: e.layers.First, End: e.layers.End},
		Accelerator:   e.config.Accelerator,
		StepUs:        e.config.StepUs,
		MaxBatch:      e.config.MaxBatch,
		Running:       uint32(running),
		Queued:        uint32(waiting),
		Leaving:       e.leaving,
		FencingNumber: e.fencingNumber,
		CacheEvents:   e.cache.since(&watch.cursor),
	}
	for target := range e.config.LinkUs {
		latencyUs := uint32(e.host.linkLatency(e, target).Microseconds())
		if previous, ok := watch.links[target]; ok && previous == latencyUs {
			continue
		}
		watch.links[target] = latencyUs
		report.Links = append(report.Links, &tamarackv1.LinkReport{ToTargetId: target, LatencyUs: latencyUs})
	}
	return report
}
