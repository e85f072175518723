// Package callerapi serves the RPCs of callers: it posts their requests as events
// and sends back the replies.
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
	// RequestIDHeader is the response header with the request id.
	RequestIDHeader = "Tamarack-Request-Id"
	// maxMessageBytes limits the size of a request message.
	maxMessageBytes = 4 << 20
	// compressMinBytes is the size from which a response message is compressed; a
	// token is smaller, and compressing it would cost more than it saves.
	compressMinBytes = 1 << 10
	// tokenBuffer is the number of replies that may be queued for a slow caller: the
	// 4096 tokens of the longest answer and a few more.
	tokenBuffer = 4096 + 8
	bearer      = "Bearer "
)

// reply is one message to a caller; exactly one field is set.
type reply struct {
	token  *event.ForwardToken
	answer *event.AnswerCall
	fault  *fault.Fault
}

// Server implements the caller API.
type Server struct {
	node         model.NodeID
	incarnation  model.Incarnation
	post         func(event.Event)
	tracer       *tracing.Tracer
	lastSequence atomic.Uint64

	mu      sync.Mutex
	pending map[model.RequestID]chan reply
}

// New returns a server that passes requests to post; the tracer may be nil.
func New(node model.NodeID, incarnation model.Incarnation, post func(event.Event), tracer *tracing.Tracer) *Server {
	return &Server{node: node, incarnation: incarnation, post: post, tracer: tracer, pending: make(map[model.RequestID]chan reply)}
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

// nextID returns a request id that is unique across nodes.
func (s *Server) nextID() model.RequestID {
	return model.RequestID(string(s.node) + "-" + strconv.FormatUint(uint64(s.incarnation), 36) + "-" + strconv.FormatUint(s.lastSequence.Add(1), 36))
}

// startSpan opens the span of a request and sets the headers with the request id
// and the trace id in the response.
func (s *Server) startSpan(id model.RequestID, name string, request, response http.Header) {
	response.Set(RequestIDHeader, string(id))
	if traceID := s.tracer.Begin(id, name, request); traceID != "" {
		response.Set(tracing.TraceIDHeader, traceID)
	}
}

func (s *Server) register(id model.RequestID) chan reply {
	replies := make(chan reply, tokenBuffer)
	s.mu.Lock()
	s.pending[id] = replies
	s.mu.Unlock()
	return replies
}

func (s *Server) unregister(id model.RequestID) {
	s.mu.Lock()
	delete(s.pending, id)
	s.mu.Unlock()
	s.tracer.End(id)
}

func (s *Server) deliver(id model.RequestID, message reply) {
	s.mu.Lock()
	replies, ok := s.pending[id]
	s.mu.Unlock()
	if !ok {
		return
	}
	replies <- message
}

// Refuse completes a request with a fault.
func (s *Server) Refuse(effect event.RefuseRequest) {
	s.deliver(effect.Request, reply{fault: &effect.Fault})
}

// Forward sends a token to the caller.
func (s *Server) Forward(effect *event.ForwardToken) {
	s.deliver(effect.Request, reply{token: effect})
}

// Answer completes a call with its answer.
func (s *Server) Answer(effect event.AnswerCall) {
	s.deliver(effect.Request, reply{answer: &effect})
}

// Generate answers a model request token by token.
func (s *Server) Generate(ctx context.Context, request *connect.Request[tamarackv1.GenerateRequest], stream *connect.ServerStream[tamarackv1.GenerateResponse]) error {
	id := s.nextID()
	replies := s.register(id)
	defer s.unregister(id)
	s.startSpan(id, "generate", request.Header(), stream.ResponseHeader())
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
		case message := <-replies:
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

// Call routes one call to a service that is not a model engine.
func (s *Server) Call(ctx context.Context, request *connect.Request[tamarackv1.CallRequest]) (*connect.Response[tamarackv1.CallResponse], error) {
	id := s.nextID()
	replies := s.register(id)
	defer s.unregister(id)
	response := connect.NewResponse(&tamarackv1.CallResponse{})
	s.startSpan(id, "call", request.Header(), response.Header())
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
	case message := <-replies:
		if message.fault != nil {
			return nil, rpc.ErrorWith(message.fault, response.Header())
		}
		response.Msg.Body = message.answer.Body
		response.Msg.Recorded = message.answer.Recorded
		return response, nil
	}
}
