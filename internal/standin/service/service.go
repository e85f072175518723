// Package service is a stand-in for a plain service, such as a booking desk or a
// till. It counts how often each call was executed.
package service

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/gen/tamarack/v1/tamarackv1connect"
	"tamarackreach/internal/standin/control"
)

// Config is the configuration of a stand-in service.
type Config struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

type callKey struct{ workspace, method, key string }

// Server is a stand-in service.
type Server struct {
	control.Unimplemented
	id string

	mu     sync.Mutex
	runs   map[callKey]uint32
	faults *tamarackv1.Faults
}

// New returns a stand-in service.
func New(config Config) *Server {
	return &Server{id: config.ID, runs: make(map[callKey]uint32), faults: &tamarackv1.Faults{}}
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(tamarackv1connect.NewPlainServiceHandler(s))
	mux.Handle(tamarackv1connect.NewControlServiceHandler(s))
	return mux
}

// Invoke counts and runs a call, then applies the injected faults: a delay, or a
// connection that is closed without a response.
func (s *Server) Invoke(_ context.Context, request *connect.Request[tamarackv1.InvokeRequest]) (*connect.Response[tamarackv1.InvokeResponse], error) {
	s.mu.Lock()
	s.runs[callKey{request.Msg.Workspace, request.Msg.Method, request.Msg.IdempotencyKey}]++
	faults := s.faults
	s.mu.Unlock()
	if faults.DelayMs > 0 {
		time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
	}
	if faults.CutAfterRun {
		panic(http.ErrAbortHandler)
	}
	body := append([]byte(s.id+" ran "+request.Msg.Method+" "), request.Msg.Body...)
	return connect.NewResponse(&tamarackv1.InvokeResponse{Body: body}), nil
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

// ServiceLog returns the executed calls and their counts.
func (s *Server) ServiceLog(context.Context, *connect.Request[tamarackv1.ServiceLogRequest]) (*connect.Response[tamarackv1.ServiceLogResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := &tamarackv1.ServiceLogResponse{}
	for key, runs := range s.runs {
		response.Calls = append(response.Calls, &tamarackv1.ServiceCall{
			Workspace: key.workspace, Method: key.method, IdempotencyKey: key.key, Runs: runs,
		})
	}
	return connect.NewResponse(response), nil
}
