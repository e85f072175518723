// Package callerapi serves callers: it turns their requests into events and
// brings them the answers.
package callerapi

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/gen/tamarack/v1/tamarackv1connect"
	"tamarackreach/internal/event"
	"tamarackreach/internal/fault"
	"tamarackreach/internal/model"
	"tamarackreach/internal/rpc"
	"tamarackreach/internal/tracing"
)

const (
	// RequestIDHeader brings the request id back to the caller.
	RequestIDHeader = "Tamarack-Request-Id"
	// maxMessageBytes is the longest accepted message.
	maxMessageBytes = 4 << 20
	// compressMinBytes is the length from which an answer is compressed; a token
	// is shorter, and compressing it costs more than it saves.
	compressMinBytes = 1 << 10
	// tokenBuffer is the number of tokens that may wait for a slow caller.
	tokenBuffer = 4096 + 8
	bearer      = "Bearer "
)

// outcome is one message to a caller; exactly one field is set.
type outcome struct {
	token  *event.ForwardToken
	answer *event.AnswerCall
	fault  *fault.Fault
}

// Server is the caller API.
type Server struct {
	node     model.NodeID
	life     model.Incarnation
	post     func(event.Event)
	tracer   *tracing.Tracer
	sequence atomic.Uint64

	mu      sync.Mutex
	waiting map[model.RequestID]chan outcome
}

// New returns a server. Requests go to post; the tracer may be nil.
func New(node model.NodeID, life model.Incarnation, post func(event.Event), tracer *tracing.Tracer) *Server {
	return &Server{node: node, life: life, post: post, tracer: tracer, waiting: make(map[model.RequestID]chan outcome)}
}

// Handler returns the HTTP handler.
func (s *Server) Handler(options ...connect.HandlerOption) http.Handler {
	mux := http.NewServeMux()
	options = append(options, connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(compressMinBytes))
	mux.Handle(tamarackv1connect.NewCallerServiceHandler(s, options...))
	return rpc.Strict(mux, maxMessageBytes, map[string]proto.Message{
		tamarackv1connect.CallerServiceGenerateProcedure: &tamarackv1.GenerateRequest{},
		tamarackv1connect.CallerServiceCallProcedure:     &tamarackv1.CallRequest{},
	})
}

// nextID returns an id that no other request has, on any node.
func (s *Server) nextID() model.RequestID {
	return model.RequestID(string(s.node) + "-" + strconv.FormatUint(uint64(s.life), 36) + "-" + strconv.FormatUint(s.sequence.Add(1), 36))
}

// begin opens the span of a request and names both in the response's header.
func (s *Server) begin(id model.RequestID, name string, request, response http.Header) {
	response.Set(RequestIDHeader, string(id))
	if traceID := s.tracer.Begin(id, name, request); traceID != "" {
		response.Set(tracing.TraceIDHeader, traceID)
	}
}

func (s *Server) await(id model.RequestID) chan outcome {
	outcomes := make(chan outcome, tokenBuffer)
	s.mu.Lock()
	s.waiting[id] = outcomes
	s.mu.Unlock()
	return outcomes
}

func (s *Server) forget(id model.RequestID) {
	s.mu.Lock()
	delete(s.waiting, id)
	s.mu.Unlock()
	s.tracer.End(id)
}

func (s *Server) deliver(id model.RequestID, message outcome) {
	s.mu.Lock()
	outcomes, ok := s.waiting[id]
	s.mu.Unlock()
	if !ok {
		return
	}
	outcomes <- message
}

// Refuse ends a request with a fault.
func (s *Server) Refuse(effect event.RefuseRequest) {
	s.deliver(effect.Request, outcome{fault: &effect.Fault})
}

// Forward sends a token.
func (s *Server) Forward(effect *event.ForwardToken) {
	s.deliver(effect.Request, outcome{token: effect})
}

// Answer ends a call with its answer.
func (s *Server) Answer(effect event.AnswerCall) {
	s.deliver(effect.Request, outcome{answer: &effect})
}

// Generate answers a model request token by token.
func (s *Server) Generate(ctx context.Context, request *connect.Request[tamarackv1.GenerateRequest], stream *connect.ServerStream[tamarackv1.GenerateResponse]) error {
	id := s.nextID()
	outcomes := s.await(id)
	defer s.forget(id)
	s.begin(id, "generate", request.Header(), stream.ResponseHeader())
	s.post(event.RequestArrived{
		Request:          id,
		WorkspaceKey:     strings.TrimPrefix(request.Header().Get("Authorization"), bearer),
		Model:            model.ModelName(request.Msg.Model),
		Prompt:           request.Msg.Prompt,
		PrefixKey:        request.Msg.PrefixKey,
		MaxTokens:        request.Msg.MaxTokens,
		FirstTokenWithin: time.Duration(request.Msg.FirstTokenDeadlineMs) * time.Millisecond,
	})
	for {
		select {
		case <-ctx.Done():
			s.post(event.CallerGone{Request: id})
			return ctx.Err()
		case message := <-outcomes:
			if message.fault != nil {
				return rpc.Error(message.fault)
			}
			if err := stream.Send(tokenMessage(message.token)); err != nil {
				s.post(event.CallerGone{Request: id})
				return err
			}
			if message.token.Last {
				return nil
			}
		}
	}
}

func tokenMessage(token *event.ForwardToken) *tamarackv1.GenerateResponse {
	message := &tamarackv1.GenerateResponse{
		Index:    uint32(token.Index),
		Text:     token.Text,
		Last:     token.Last,
		Attempt:  uint32(token.Attempt),
		Receipts: make([]*tamarackv1.Receipt, len(token.Receipts)),
	}
	for i, receipt := range token.Receipts {
		message.Receipts[i] = &tamarackv1.Receipt{
			TargetId: string(receipt.Target),
			Layers:   &tamarackv1.LayerRange{First: receipt.Layers.First, End: receipt.Layers.End},
			Version:  string(receipt.Version),
		}
	}
	return message
}

// Call routes one call to a plain service.
func (s *Server) Call(ctx context.Context, request *connect.Request[tamarackv1.CallRequest]) (*connect.Response[tamarackv1.CallResponse], error) {
	id := s.nextID()
	outcomes := s.await(id)
	defer s.forget(id)
	response := connect.NewResponse(&tamarackv1.CallResponse{})
	s.begin(id, "call", request.Header(), response.Header())
	s.post(event.CallArrived{
		Request:        id,
		WorkspaceKey:   strings.TrimPrefix(request.Header().Get("Authorization"), bearer),
		Service:        model.ServiceID(request.Msg.Service),
		Method:         model.MethodName(request.Msg.Method),
		IdempotencyKey: model.IdempotencyKey(request.Msg.IdempotencyKey),
		Body:           request.Msg.Body,
		Within:         time.Duration(request.Msg.DeadlineMs) * time.Millisecond,
	})
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case message := <-outcomes:
		if message.fault != nil {
			return nil, rpc.ErrorWith(message.fault, response.Header())
		}
		response.Msg.Body = message.answer.Body
		response.Msg.Recorded = message.answer.Recorded
		return response, nil
	}
}
