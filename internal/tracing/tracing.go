// Package tracing makes spans of what a node does for each request: one for the
// request, one for each attempt, one for each hop of its chain and one for each
// call to a service or to the table. It observes events and effects and decides
// nothing.
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

// TraceIDHeader brings the trace id back to the caller.
const TraceIDHeader = "Tamarack-Trace-Id"

// Tracer makes spans. A nil tracer does nothing.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer

	mu       sync.Mutex
	requests map[model.RequestID]*request
	// waiting holds the requests of each table call in progress.
	waiting map[string][]model.RequestID
}

// request holds the open spans of one request.
type request struct {
	ctx  context.Context
	root trace.Span
	// attempt holds the span of the current attempt or call, then its hops.
	attempt []trace.Span
	// table holds the span of the transaction or read in progress.
	table trace.Span
}

// New returns a tracer that writes spans as JSON lines.
func New(w io.Writer, node model.NodeID) (*Tracer, error) {
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, errors.Wrap(err, "make span exporter")
	}
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter))
	return &Tracer{
		provider: provider,
		tracer:   provider.Tracer("tamarackreach", trace.WithInstrumentationAttributes(attribute.String("node", string(node)))),
		requests: make(map[model.RequestID]*request),
		waiting:  make(map[string][]model.RequestID),
	}, nil
}

// Close writes the spans that are left.
func (t *Tracer) Close() error {
	if t == nil {
		return nil
	}
	return errors.Wrap(t.provider.Shutdown(context.Background()), "write spans")
}

// Begin opens the span of a request, as a child of the caller's span if its
// header names one, and returns the trace id; empty when tracing is off.
func (t *Tracer) Begin(id model.RequestID, name string, header http.Header) string {
	if t == nil {
		return ""
	}
	parent := propagation.TraceContext{}.Extract(context.Background(), propagation.HeaderCarrier(header))
	ctx, root := t.tracer.Start(parent, name, trace.WithAttributes(attribute.String("request", string(id))))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests[id] = &request{ctx: ctx, root: root}
	return root.SpanContext().TraceID().String()
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
	r.endAttempt()
	r.endTable()
	r.root.End()
}

func (r *request) endAttempt() {
	for i := len(r.attempt) - 1; i >= 0; i-- {
		r.attempt[i].End()
	}
	r.attempt = nil
}

func (r *request) endTable() {
	if r.table != nil {
		r.table.End()
		r.table = nil
	}
}

// Observe takes in an event and the effects it had.
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
		t.tableDone(ev.Transaction)
	case event.TransactionUnknown:
		t.tableDone(ev.Transaction)
	case event.RowsRead:
		t.tableDone(ev.Read)
	case event.ReadFailed:
		t.tableDone(ev.Read)
	case event.CallAnswered:
		t.attemptDone(ev.Request)
	case event.CallCut:
		t.attemptDone(ev.Request)
	}
}

func (t *Tracer) observeEffect(effect event.Effect) {
	switch effect := effect.(type) {
	case event.OpenChain:
		t.openChain(effect)
	case event.CancelChain:
		t.attemptDone(effect.Request)
	case event.SendCall:
		t.hop(effect.Request, "call", attribute.String("target", string(effect.Target)))
	case event.Transact:
		t.tableCall(effect.Transaction, "table transaction", effect.Requests)
	case event.ReadRows:
		t.tableCall(effect.Read, "table read", effect.Requests)
	}
}

// openChain opens the span of an attempt and one for each hop of its chain.
func (t *Tracer) openChain(effect event.OpenChain) {
	r, ok := t.requests[effect.Request]
	if !ok {
		return
	}
	r.endAttempt()
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

func (t *Tracer) hop(id model.RequestID, name string, attributes ...attribute.KeyValue) {
	r, ok := t.requests[id]
	if !ok {
		return
	}
	r.endAttempt()
	_, span := t.tracer.Start(r.ctx, name, trace.WithAttributes(attributes...))
	r.attempt = append(r.attempt, span)
}

func (t *Tracer) attemptDone(id model.RequestID) {
	if r, ok := t.requests[id]; ok {
		r.endAttempt()
	}
}

// tableCall opens a span for each request that waits for a call to the table.
// One that names no requests is for the request that its id ends with.
func (t *Tracer) tableCall(id, name string, requests []model.RequestID) {
	if len(requests) == 0 {
		requests = []model.RequestID{requestOf(id)}
	}
	t.waiting[id] = requests
	for _, request := range requests {
		t.tableSpan(request, id, name)
	}
}

func (t *Tracer) tableSpan(request model.RequestID, id, name string) {
	r, ok := t.requests[request]
	if !ok {
		return
	}
	r.endTable()
	_, r.table = t.tracer.Start(r.ctx, name, trace.WithAttributes(attribute.String("id", id)))
}

func (t *Tracer) tableDone(id string) {
	for _, request := range t.waiting[id] {
		if r, ok := t.requests[request]; ok {
			r.endTable()
		}
	}
	delete(t.waiting, id)
}

func requestOf(id string) model.RequestID {
	return model.RequestID(id[strings.LastIndexByte(id, '/')+1:])
}
