// Package tracing records spans for each request of a node: one for the request, one
// for each attempt, one for each hop of an attempt's chain and one for each call to a
// service or to the table. It observes events and effects and takes no decisions.
package tracing

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
)

// TraceIDHeader is the response header with the trace id.
const TraceIDHeader = "Tamarack-Trace-Id"

// Tracer records spans. The methods of a nil tracer do nothing.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer

	mu       sync.Mutex
	requests map[model.RequestID]*request
	// tableCalls holds, by transaction or read id, the requests that wait for each
	// table call in progress.
	tableCalls map[string][]model.RequestID
}

// request holds the open spans of one request.
type request struct {
	ctx      context.Context
	rootSpan trace.Span
	// attempt holds the span of the current attempt or call, followed by the
	// spans of its hops.
	attempt []trace.Span
	// tableSpan is the span of the transaction or read in progress; nil if there is
	// none.
	tableSpan trace.Span
}

// New returns a tracer that writes spans as JSON lines.
func New(w io.Writer, node model.NodeID) (*Tracer, error) {
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, errors.Wrap(err, "make span exporter")
	}
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter))
	return &Tracer{
		provider:   provider,
		tracer:     provider.Tracer("tamarackreach", trace.WithInstrumentationAttributes(attribute.String("node", string(node)))),
		requests:   make(map[model.RequestID]*request),
		tableCalls: make(map[string][]model.RequestID),
	}, nil
}

// Close writes the remaining spans and shuts the exporter down.
func (t *Tracer) Close() error {
	if t == nil {
		return nil
	}
	return errors.Wrap(t.provider.Shutdown(context.Background()), "write spans")
}

// Begin opens the span of a request, as a child of the caller's span if the header
// carries a trace context, and returns the trace id; empty when tracing is off.
func (t *Tracer) Begin(id model.RequestID, name string, header http.Header) string {
	if t == nil {
		return ""
	}
	parent := propagation.TraceContext{}.Extract(context.Background(), propagation.HeaderCarrier(header))
	ctx, rootSpan := t.tracer.Start(parent, name, trace.WithAttributes(attribute.String("request", string(id))))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests[id] = &request{ctx: ctx, rootSpan: rootSpan}
	return rootSpan.SpanContext().TraceID().String()
}

// End closes every span of a request.
func (t *Tracer) End(id model.RequestID) {
	if t == nil {
		return
	}
	t.mu.Lock()
	r, ok := t.requests[id]
	delete(t.requests, id)
	t.mu.Unlock()
	if !ok {
		return
	}
	r.endAttemptSpans()
	r.endTableSpan()
	r.rootSpan.End()
}

func (r *request) endAttemptSpans() {
	for i := len(r.attempt) - 1; i >= 0; i-- {
		r.attempt[i].End()
	}
	r.attempt = nil
}

func (r *request) endTableSpan() {
	if r.tableSpan != nil {
		r.tableSpan.End()
		r.tableSpan = nil
	}
}

// Observe starts and ends spans for an event and its effects.
func (t *Tracer) Observe(ev event.Event, effects []event.Effect) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeEvent(ev)
	for _, effect := range effects {
		t.observeEffect(effect)
	}
}

func (t *Tracer) observeEvent(ev event.Event) {
	switch ev := ev.(type) {
	case event.TransactionDone:
		t.endTableCall(ev.Transaction)
	case event.TransactionUnknown:
		t.endTableCall(ev.Transaction)
	case event.RowsRead:
		t.endTableCall(ev.Read)
	case event.ReadFailed:
		t.endTableCall(ev.Read)
	case event.CallAnswered:
		t.endRequestAttempt(ev.Request)
	case event.CallCut:
		t.endRequestAttempt(ev.Request)
	}
}

func (t *Tracer) observeEffect(effect event.Effect) {
	switch effect := effect.(type) {
	case event.OpenChain:
		t.startAttempt(effect)
	case event.CancelChain:
		t.endRequestAttempt(effect.Request)
	case event.SendCall:
		t.startCall(effect.Request, "call", attribute.String("target", string(effect.Target)))
	case event.Transact:
		t.startTableCall(effect.Transaction, "table transaction", effect.Requests)
	case event.ReadRows:
		t.startTableCall(effect.Read, "table read", effect.Requests)
	}
}

// startAttempt opens a span for an attempt and one for each hop of its chain.
func (t *Tracer) startAttempt(effect event.OpenChain) {
	r, ok := t.requests[effect.Request]
	if !ok {
		return
	}
	r.endAttemptSpans()
	ctx, attempt := t.tracer.Start(r.ctx, "attempt", trace.WithAttributes(attribute.Int("attempt", int(effect.Attempt))))
	r.attempt = append(r.attempt, attempt)
	for _, hop := range effect.Chain {
		_, span := t.tracer.Start(ctx, "hop", trace.WithAttributes(
			attribute.String("target", string(hop.Target)),
			attribute.String("layers", hop.Layers.String()),
			attribute.Bool("rebuild", hop.Rebuild),
		))
		r.attempt = append(r.attempt, span)
	}
}

// startCall opens a span for a call to a service.
func (t *Tracer) startCall(id model.RequestID, name string, attributes ...attribute.KeyValue) {
	r, ok := t.requests[id]
	if !ok {
		return
	}
	r.endAttemptSpans()
	_, span := t.tracer.Start(r.ctx, name, trace.WithAttributes(attributes...))
	r.attempt = append(r.attempt, span)
}

func (t *Tracer) endRequestAttempt(id model.RequestID) {
	if r, ok := t.requests[id]; ok {
		r.endAttemptSpans()
	}
}

// startTableCall opens a span for each request that waits for a call to the table.
// A call without requests belongs to the request whose id follows the last slash of
// its own id.
func (t *Tracer) startTableCall(id, name string, requests []model.RequestID) {
	if len(requests) == 0 {
		requests = []model.RequestID{requestOf(id)}
	}
	t.tableCalls[id] = requests
	for _, request := range requests {
		t.startTableSpan(request, id, name)
	}
}

func (t *Tracer) startTableSpan(request model.RequestID, id, name string) {
	r, ok := t.requests[request]
	if !ok {
		return
	}
	r.endTableSpan()
	_, r.tableSpan = t.tracer.Start(r.ctx, name, trace.WithAttributes(attribute.String("id", id)))
}

func (t *Tracer) endTableCall(id string) {
	for _, request := range t.tableCalls[id] {
		if r, ok := t.requests[request]; ok {
			r.endTableSpan()
		}
	}
	delete(t.tableCalls, id)
}

// requestOf returns the part of a transaction or read id after its last slash.
func requestOf(id string) model.RequestID {
	return model.RequestID(id[strings.LastIndexByte(id, '/')+1:])
}
