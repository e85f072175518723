package platform

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/gen/tamarack/v1/tamarackv1connect"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/platformclient"
	"tamarackreach/internal/standin/control"
)

// Config is the configuration of the stand-in platform.
type Config struct {
	Address string `json:"address"`
	// WritesPerS and ReadsPerS are the rate limits of the table and the object store.
	WritesPerS float64 `json:"writes_per_s"`
	ReadsPerS  float64 `json:"reads_per_s"`
	// VMLagMs is the delay until the list of VMs shows a change.
	VMLagMs uint32 `json:"vm_lag_ms"`
	// WeightLayersPerS is the rate limit of the weight store.
	WeightLayersPerS float64 `json:"weight_layers_per_s"`
}

// defaultScanLimit is the row limit of a prefix read that sets none.
const defaultScanLimit = 1000

// Server is the stand-in platform.
type Server struct {
	control.Unimplemented
	config  Config
	table   *Table
	writes  *rate.Limiter
	reads   *rate.Limiter
	weights *rate.Limiter

	mu      sync.Mutex
	objects map[string][]byte
	vms     []*tamarackv1.Vm
	faults  *tamarackv1.Faults

	readCount, writeCount, conflictCount, refusedCount atomic.Uint64
}

// New returns a stand-in platform.
func New(config Config) *Server {
	return &Server{
		config:  config,
		table:   NewTable(),
		writes:  newLimiter(config.WritesPerS),
		reads:   newLimiter(config.ReadsPerS),
		weights: newLimiter(config.WeightLayersPerS),
		objects: make(map[string][]byte),
		faults:  &tamarackv1.Faults{},
	}
}

// newLimiter returns a rate limiter whose burst is one second's worth of calls.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(tamarackv1connect.NewTableServiceHandler(s))
	mux.Handle(tamarackv1connect.NewObjectServiceHandler(s))
	mux.Handle(tamarackv1connect.NewVmServiceHandler(s))
	mux.Handle(tamarackv1connect.NewWeightServiceHandler(s))
	mux.Handle(tamarackv1connect.NewControlServiceHandler(s))
	return mux
}

func (s *Server) currentFaults() *tamarackv1.Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// admit applies the injected delay and outage and the rate limit to a call, and
// returns the injected faults.
func (s *Server) admit(ctx context.Context, header http.Header, limit *rate.Limiter) (*tamarackv1.Faults, error) {
	faults := s.currentFaults()
	if faults.DelayMs > 0 {
		select {
		case <-time.After(time.Duration(faults.DelayMs) * time.Millisecond):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if faults.Outage || slices.Contains(faults.CutZones, header.Get(platformclient.ZoneHeader)) {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("outage"))
	}
	if limit != nil && !limit.Allow() {
		s.refusedCount.Add(1)
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("over the rate limit"))
	}
	return faults, nil
}

// Transact checks row versions and writes rows atomically.
func (s *Server) Transact(ctx context.Context, request *connect.Request[tamarackv1.TransactRequest]) (*connect.Response[tamarackv1.TransactResponse], error) {
	faults, err := s.admit(ctx, request.Header(), s.writes)
	if err != nil {
		return nil, err
	}
	s.writeCount.Add(1)
	conditions := make([]event.Condition, 0, len(request.Msg.Conditions))
	for _, condition := range request.Msg.Conditions {
		conditions = append(conditions, event.Condition{Key: condition.Key, Version: model.RowVersion(condition.Version)})
	}
	writes := make([]event.Write, 0, len(request.Msg.Writes))
	for _, write := range request.Msg.Writes {
		writes = append(writes, event.Write{Key: write.Key, Value: write.Value, Delete: write.Delete})
	}
	version, conflicts := s.table.Transact(conditions, writes)
	if len(conflicts) > 0 {
		s.conflictCount.Add(1)
	}
	if faults.LoseAnswers {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("answer lost"))
	}
	return connect.NewResponse(&tamarackv1.TransactResponse{
		Committed: len(conflicts) == 0,
		Version:   uint64(version),
		Conflicts: rowMessages(conflicts),
	}), nil
}

// ReadRows reads rows at one snapshot.
func (s *Server) ReadRows(ctx context.Context, request *connect.Request[tamarackv1.ReadRowsRequest]) (*connect.Response[tamarackv1.ReadRowsResponse], error) {
	faults, err := s.admit(ctx, request.Header(), s.reads)
	if err != nil {
		return nil, err
	}
	s.readCount.Add(1)
	var rows []model.Row
	if request.Msg.Prefix == "" {
		rows = s.table.Read(request.Msg.Keys)
	} else {
		limit := int(request.Msg.Limit)
		if limit == 0 {
			limit = defaultScanLimit
		}
		rows = s.table.Scan(request.Msg.Prefix, request.Msg.StartKey, limit)
	}
	rows = staleRows(model.Revision(faults.StaleHeadRevision), rows)
	return connect.NewResponse(&tamarackv1.ReadRowsResponse{Rows: rowMessages(rows)}), nil
}

func rowMessages(rows []model.Row) []*tamarackv1.Row {
	messages := make([]*tamarackv1.Row, 0, len(rows))
	for _, row := range rows {
		messages = append(messages, &tamarackv1.Row{Key: row.Key, Value: row.Value, Version: uint64(row.Version)})
	}
	return messages
}

// PutObject writes an object.
func (s *Server) PutObject(ctx context.Context, request *connect.Request[tamarackv1.PutObjectRequest]) (*connect.Response[tamarackv1.PutObjectResponse], error) {
	if _, err := s.admit(ctx, request.Header(), s.writes); err != nil {
		return nil, err
	}
	s.writeCount.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[request.Msg.Key] = request.Msg.Body
	return connect.NewResponse(&tamarackv1.PutObjectResponse{}), nil
}

// GetObject reads an object.
func (s *Server) GetObject(ctx context.Context, request *connect.Request[tamarackv1.GetObjectRequest]) (*connect.Response[tamarackv1.GetObjectResponse], error) {
	if _, err := s.admit(ctx, request.Header(), s.reads); err != nil {
		return nil, err
	}
	s.readCount.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.objects[request.Msg.Key]
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errors.Newf("no object %s", request.Msg.Key))
	}
	return connect.NewResponse(&tamarackv1.GetObjectResponse{Body: body}), nil
}

// ListVms returns the list of VMs as of VMLagMs ago.
func (s *Server) ListVms(ctx context.Context, request *connect.Request[tamarackv1.ListVmsRequest]) (*connect.Response[tamarackv1.ListVmsResponse], error) {
	if _, err := s.admit(ctx, request.Header(), nil); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return connect.NewResponse(&tamarackv1.ListVmsResponse{Vms: s.vms, LagMs: s.config.VMLagMs}), nil
}

// FetchWeights answers after the time that the weight store takes at its rate limit.
func (s *Server) FetchWeights(ctx context.Context, request *connect.Request[tamarackv1.FetchWeightsRequest]) (*connect.Response[tamarackv1.FetchWeightsResponse], error) {
	if _, err := s.admit(ctx, request.Header(), nil); err != nil {
		return nil, err
	}
	for range request.Msg.Layers {
		if err := s.weights.Wait(ctx); err != nil {
			return nil, connect.NewError(connect.CodeDeadlineExceeded, err)
		}
	}
	return connect.NewResponse(&tamarackv1.FetchWeightsResponse{}), nil
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(_ context.Context, request *connect.Request[tamarackv1.SetFaultsRequest]) (*connect.Response[tamarackv1.SetFaultsResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = request.Msg.Faults
	if s.faults == nil {
		s.faults = &tamarackv1.Faults{}
	}
	return connect.NewResponse(&tamarackv1.SetFaultsResponse{}), nil
}

// SetVms replaces the list of VMs after VMLagMs.
func (s *Server) SetVms(_ context.Context, request *connect.Request[tamarackv1.SetVmsRequest]) (*connect.Response[tamarackv1.SetVmsResponse], error) {
	time.AfterFunc(time.Duration(s.config.VMLagMs)*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.vms = request.Msg.Vms
	})
	return connect.NewResponse(&tamarackv1.SetVmsResponse{}), nil
}

// PlatformLog returns the numbers of reads, writes, conflicts and refused calls.
func (s *Server) PlatformLog(context.Context, *connect.Request[tamarackv1.PlatformLogRequest]) (*connect.Response[tamarackv1.PlatformLogResponse], error) {
	return connect.NewResponse(&tamarackv1.PlatformLogResponse{
		Reads:     s.readCount.Load(),
		Writes:    s.writeCount.Load(),
		Conflicts: s.conflictCount.Load(),
		Refused:   s.refusedCount.Load(),
	}), nil
}
