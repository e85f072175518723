package engine

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/gen/tamarack/v1/tamarackv1connect"
	"tamarackreach/internal/rpc"
	"tamarackreach/internal/standin/control"
)

// Host runs several engines in one process and serves their control endpoint.
type Host struct {
	control.Unimplemented
	engines map[string]*Engine
	weights tamarackv1connect.WeightServiceClient

	mu          sync.Mutex
	faults      *tamarackv1.Faults
	steps       []*tamarackv1.EngineStep
	httpClients map[string]*http.Client
}

// NewHost returns a host whose engines are all serving.
func NewHost(config HostConfig) (*Host, error) {
	h := &Host{
		engines:     make(map[string]*Engine, len(config.Engines)),
		weights:     tamarackv1connect.NewWeightServiceClient(rpc.NewClient(), "http://"+config.PlatformAddress),
		faults:      &tamarackv1.Faults{},
		httpClients: make(map[string]*http.Client),
	}
	for _, engineConfig := range config.Engines {
		engine := newEngine(engineConfig, h)
		h.engines[engineConfig.ID] = engine
		if err := engine.startServer(); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// Handler returns the HTTP handler of the control endpoint.
func (h *Host) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(tamarackv1connect.NewControlServiceHandler(h))
	return mux
}

// client returns a client for the engine at an address.
func (h *Host) client(address string) tamarackv1connect.EngineServiceClient {
	h.mu.Lock()
	defer h.mu.Unlock()
	httpClient, ok := h.httpClients[address]
	if !ok {
		httpClient = rpc.NewClient()
		h.httpClients[address] = httpClient
	}
	return tamarackv1connect.NewEngineServiceClient(httpClient, "http://"+address)
}

// retireConnections makes later calls to an address open new connections.
func (h *Host) retireConnections(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.httpClients, address)
}

// linkLatency returns the one-way latency of a link, with the injected slowdown.
func (h *Host) linkLatency(from *Engine, to string) time.Duration {
	us, ok := from.config.LinkUs[to]
	if !ok {
		us = from.config.DefaultLinkUs
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(us*max(h.faults.LinkSlowdown, 1)) * time.Microsecond
}

func (h *Host) fetchWeights(ctx context.Context, order *tamarackv1.OrderRequest, target string, layers uint32) error {
	_, err := h.weights.FetchWeights(ctx, connect.NewRequest(&tamarackv1.FetchWeightsRequest{
		Model: order.Model, Version: order.Version, TargetId: target, Layers: layers,
	}))
	return err
}

func (h *Host) logStep(e *Engine, s *session, request *tamarackv1.StepRequest) {
	h.appendStep(&tamarackv1.EngineStep{
		RequestId: request.RequestId, Attempt: request.Attempt, Index: request.Index,
		TargetId: e.config.ID, Layers: s.hop().Layers, Version: s.start.Version,
	})
}

func (h *Host) logRebuild(e *Engine, start *tamarackv1.StartRequest) {
	h.appendStep(&tamarackv1.EngineStep{
		RequestId: start.RequestId, Attempt: start.Attempt, Index: uint32(len(start.Tokens)),
		TargetId: e.config.ID, Version: start.Version, RebuiltLayers: e.config.Layers.Len(),
	})
}

func (h *Host) appendStep(step *tamarackv1.EngineStep) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.steps = append(h.steps, step)
}

// EngineLog returns the steps that the engines of this process ran.
func (h *Host) EngineLog(context.Context, *connect.Request[tamarackv1.EngineLogRequest]) (*connect.Response[tamarackv1.EngineLogResponse], error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return connect.NewResponse(&tamarackv1.EngineLogResponse{Steps: slices.Clone(h.steps)}), nil
}

// SetFaults replaces the injected faults. Crashes and silenced connections take
// effect once, at the call.
func (h *Host) SetFaults(_ context.Context, request *connect.Request[tamarackv1.SetFaultsRequest]) (*connect.Response[tamarackv1.SetFaultsResponse], error) {
	faults := request.Msg.Faults
	if faults == nil {
		faults = &tamarackv1.Faults{}
	}
	h.mu.Lock()
	h.faults = faults
	h.mu.Unlock()
	for id, engine := range h.engines {
		if slices.Contains(faults.CrashTargetIds, id) {
			engine.crash()
		}
		if slices.Contains(faults.SilentTargetIds, id) {
			engine.silence()
		}
		engine.setLeaving(slices.Contains(faults.LeavingTargetIds, id))
	}
	return connect.NewResponse(&tamarackv1.SetFaultsResponse{}), nil
}
