// Package ingress implements the HTTP ingress: it reads callers' requests, sends
// each to the target that the reducer selects, and forwards the response as it
// arrives.
package ingress

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/clientlimit"
	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/internal/relay"
	"tamarackreach/internal/upstream"
	"tamarackreach/platform"
)

// Prober carries out the probes of targets among the effects of an event, and passes their
// results to the reducer.
type Prober func(effects []director.Effect)

// RequestHandler is the http.Handler for callers' requests.
type RequestHandler struct {
	reducer *Reducer
	pool    *upstream.Pool
	probe   Prober
	metrics *Metrics
	buffers buffers
	account *clientlimit.Account
	// stopping ends when the sends in flight are to be given up, by stop.
	stopping context.Context
	stop     context.CancelFunc
}

// New returns a handler that sends requests over pool, with the default limits on what callers
// make it hold.
func New(r *Reducer, pool *upstream.Pool, probe Prober, m *Metrics) *RequestHandler {
	h := &RequestHandler{reducer: r, pool: pool, probe: probe, metrics: m}
	h.stopping, h.stop = context.WithCancel(context.Background())
	h.SetAccount(clientlimit.NewAccount(clientlimit.BudgetFor(0, 0).HeldBytes))
	return h
}

// SetAccount sets the account of bytes held for callers. It must be called before the first
// request.
func (h *RequestHandler) SetAccount(a *clientlimit.Account) {
	h.account = a
	h.buffers.account = a
}

const (
	// defaultMaxBodyBytes limits a request body unless the configuration sets a limit.
	defaultMaxBodyBytes = 4 << 20
	// silenceInterval is the time without data after which the reducer is notified:
	// twice the usual gap between two events of a stream.
	silenceInterval = 150 * time.Millisecond
	// maxRejectionBytes limits how much of a rejection's body is read, so that its connection can
	// be used again.
	maxRejectionBytes = 64 << 10
	// maxResponseBytes limits a non-streaming response, which is buffered whole.
	maxResponseBytes = 16 << 20
	// writeGrace is how long after the deadline of a request its caller may take to
	// read the response. The connection is closed then, since a caller that reads
	// nothing would keep the request in flight without end.
	writeGrace = 500 * time.Millisecond
)

// activeRequest is the state of a request while it is served.
type activeRequest struct {
	handler  *RequestHandler
	response response
	r        *http.Request
	request  *fleet.Request
	started  time.Time
	// streaming is true once the current send has delivered an event.
	streaming   bool
	lastEventAt time.Time
	// received counts the events of the current send, the first of which arrived at
	// firstReceived; progressed is true once the reducer knows that it has progressed.
	received      int
	firstReceived time.Time
	progressed    bool
	buffer        responseBuffer
	body          bodyReader
	conn          clientConnection
	// failure is true when the response delivered is a failure of the target.
	failure bool
	// status is that of the response delivered, 0 for none.
	status int
	// lastEventID is the id of the last whole event forwarded to the caller.
	lastEventID int64
	// unresumable is true when data was forwarded to the caller after lastEventID: no
	// target can go on behind an event without an id.
	unresumable bool
	// position is where in the stream the current send is.
	position streamPosition
	events   int
	// longestGap is the longest time between two consecutive events.
	longestGap time.Duration
	sends      int
	// lastReceived is when an event last arrived from the target; until then, when the
	// send began.
	lastReceived    time.Time
	timeToFirstByte time.Duration
	diverted        bool
	// rejected is true once the target has declared that it did not run the send.
	rejected bool
	// answeredBy is the send whose head the caller's response has; zero for a response
	// of the router.
	answeredBy source
	// laterSend is how the last send after one with a kept failure ended, 0 for none.
	laterSend director.Outcome
	log       *logrus.Entry
}

// ServeHTTP implements http.Handler.
func (h *RequestHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt := bootclock.Now()
	request, err := platform.DecodeRequest(r)
	if err != nil {
		h.refuseHead(w, r, err)
		return
	}
	a := &activeRequest{handler: h, response: newResponse(w, r), r: r, request: request, started: time.Now()}
	a.conn = connectionOf(r)
	a.buffer.buffers = &h.buffers
	a.body.account, a.body.conn = h.account, a.conn
	defer a.buffer.release()
	defer a.body.release()
	a.log = logrus.WithField("request", request.ID)
	arrived := director.RequestArrived{Request: a.request, At: arrivedAt, Random: rand.Float64()}
	if !a.receive(&arrived) {
		return
	}
	a.run(arrived)
	a.response.complete()
}

// run serves the request, whose body was read, until it is answered or refused, or the caller
// disconnects.
func (a *activeRequest) run(arrived director.RequestArrived) {
	defer a.recoverPanic()
	effects := a.handler.reducer.Step(arrived)
	for {
		switch e := effects[len(effects)-1].(type) {
		case *director.Refuse:
			a.refuse(e)
			return
		case *director.Send:
			if !a.conn.Forwarding() {
				a.finish(false, "closed before it was sent")
				panic(http.ErrAbortHandler)
			}
			ended := a.send(e)
			if ended == nil {
				a.finish(true, "answered")
				return
			}
			if a.r.Context().Err() != nil {
				a.finish(false, "abandoned by the caller")
				panic(http.ErrAbortHandler)
			}
			effects = a.handler.reducer.Step(*ended)
		case *director.Wait:
			effects = a.wait(e)
		default:
			a.finish(false, "unknown effect")
			panic(http.ErrAbortHandler)
		}
	}
}

// wait blocks for e.For and then lets the reducer select a path again.
func (a *activeRequest) wait(e *director.Wait) []director.Effect {
	a.log.WithFields(logrus.Fields{"reason": e.Reason, "for_ms": e.For.Milliseconds()}).Info("request waits")
	timer := time.NewTimer(e.For)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.r.Context().Done():
		a.finish(false, "abandoned by the caller")
		panic(http.ErrAbortHandler)
	}
	return a.handler.reducer.Step(director.WaitElapsed{ID: a.request.ID, Random: rand.Float64()})
}

// recoverPanic ends a request whose handling panicked: it removes the request from
// the in-flight state and closes the caller's connection; the process keeps running.
func (a *activeRequest) recoverPanic() {
	p := recover()
	if p == nil {
		return
	}
	if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		a.log.WithFields(logrus.Fields{"panic": fmt.Sprint(p), "stack": string(debug.Stack())}).Error("request panicked")
		a.finish(false, "panicked")
	}
	panic(http.ErrAbortHandler)
}

func (a *activeRequest) finish(delivered bool, outcome string) {
	a.handler.reducer.Step(director.RequestFinished{ID: a.request.ID, Delivered: delivered, Failure: a.failure, Status: a.status})
	took := time.Since(a.started)
	a.handler.metrics.requestEnded(outcome, took, a.timeToFirstByte)
	a.log.WithFields(logrus.Fields{
		"outcome": outcome, "took_ms": took.Milliseconds(), "first_ms": a.timeToFirstByte.Milliseconds(), "events": a.events,
		"longest_pause_ms": a.longestGap.Milliseconds(), "sends": a.sends,
	}).WithFields(a.answeredBy.fields()).Info("request ended")
}

func (a *activeRequest) refuse(e *director.Refuse) {
	took := time.Since(a.started)
	outcome := "refused"
	if a.response.started {
		outcome = "broken off"
	} else if a.response.kept != nil {
		outcome = "answered with the target's failure"
		a.answeredBy = a.response.kept.source
		a.handler.metrics.keptFailures.WithLabelValues(a.laterSend.String()).Inc()
	}
	a.handler.metrics.requestEnded(outcome, took, a.timeToFirstByte)
	a.log.WithFields(logrus.Fields{
		"outcome": outcome, "sends": a.sends, "status": e.Status, "reason": e.Reason, "detail": e.Detail, "retry_after_ms": e.RetryAfter.Milliseconds(),
		"took_ms": took.Milliseconds(), "events": a.events, "later_send": a.laterSend.String(),
	}).WithFields(a.answeredBy.fields()).Info("request ended")
	switch {
	case a.response.started:
		panic(http.ErrAbortHandler) // a truncated response must not look complete
	case a.response.kept != nil:
		a.writeWhole(a.response.kept)
	default:
		a.setLocalWriteDeadline()
		a.response.writeLocal(a.request.ID, e.Status, e.RetryAfter, e.Reason)
	}
}

// errResponseTooLarge means that a response exceeds maxResponseBytes.
var errResponseTooLarge = errors.New("response exceeds 16 MiB; use a streaming route for larger ones")

// errRejectionUnread ends the reading of a rejection's body.
var errRejectionUnread = errors.New("body of a rejection is not awaited; connection closed")

// errDiverted cancels a send that the reducer diverts to another path.
var errDiverted = errors.New("send cancelled: request diverted to another path")

// send sends the request to the first target of a path. It returns nil once a
// response is delivered to the caller, and otherwise how the send ended.
func (a *activeRequest) send(e *director.Send) *director.SendEnded {
	ctx, cancel := context.WithTimeout(a.r.Context(), e.TimeLeft)
	defer cancel()
	defer context.AfterFunc(a.handler.stopping, cancel)()
	sentAt := time.Now()
	a.setWriteDeadline(sentAt.Add(e.TimeLeft + writeGrace))
	a.lastReceived, a.diverted, a.rejected, a.streaming = sentAt, false, false, false
	a.received, a.progressed = 0, false
	a.position = streamPosition{known: !a.response.started || a.lastEventID == 0, held: upstream.NewBuffer(&a.buffer)}
	a.sends = e.Number
	call := a.call(e)
	call.ExpiresAt = e.ExpiresAt
	x, err := a.handler.pool.Do(ctx, call)
	via := model.NodeID("")
	if e.Relay != nil {
		via = e.Relay.VM
		a.handler.metrics.relayedSends.Inc()
	}
	a.log.WithFields(logrus.Fields{
		"send": e.Number, "target": e.Hops[0].Target, "relay": via, "path": pathText(e.Hops), "route": e.Route.Name,
		"left_ms": e.TimeLeft.Milliseconds(), "read_ms": e.Predicted.Prefill.Milliseconds(), "queue_ms": e.Predicted.Queue.Milliseconds(),
		"shared_parts": a.request.SharedParts,
	}).Info("request sent")
	a.recordHead(e, x)
	outcome, complete := a.forward(e, x, err)
	x.Done(complete)
	if outcome == 0 {
		return nil
	}
	if x.Sent && outcome != director.Rejected && ctx.Err() != nil && a.r.Context().Err() == nil {
		outcome = director.TimedOut
	}
	if a.diverted {
		outcome = director.Diverted
	}
	ended := &director.SendEnded{
		ID: a.request.ID, Outcome: outcome, FaultAt: x.Head.FaultAt, Took: time.Since(sentAt),
		Unresumable: a.unresumable, Unconnected: x.Unconnected, RelayFailed: x.RelayFailed, Responded: x.Response != nil, Random: rand.Float64(),
	}
	a.withdrawKept(e, x, outcome)
	a.handler.metrics.sends.WithLabelValues(outcome.String()).Inc()
	line := a.log.WithFields(logrus.Fields{
		"send": e.Number, "outcome": outcome.String(), "fault_at": ended.FaultAt, "took_ms": ended.Took.Milliseconds(),
		"target": e.Hops[0].Target, "relay": via, "sent": x.Sent, "begun": a.streaming, "reused_connection": x.Reused, "framing": x.Framing(),
	})
	if x.Response != nil {
		ended.Status = x.Response.StatusCode
		line = line.WithFields(logrus.Fields{"response_status": x.Response.StatusCode, "signed": x.Head.Signed, "encoded": x.Head.Encoded, "backoff_ms": x.Head.Backoff.Milliseconds(), "leaving": x.Head.Leaving})
	}
	if err != nil {
		line = line.WithError(err)
	}
	line.Info("send ended")
	return ended
}

// recordHead passes to the reducer what the head of a response states about the target.
func (a *activeRequest) recordHead(e *director.Send, x *upstream.Exchange) {
	if x.Response == nil {
		return
	}
	if invalid := x.Head.InvalidBackoff; invalid != "" {
		a.log.WithFields(logrus.Fields{"target": e.Hops[0].Target, "value": invalid}).
			Warn("the backoff that the target requests is neither a number of seconds nor a date; ignored")
	}
	if x.Head.Leaving {
		a.handler.reducer.Step(director.TargetLeaving{ID: a.request.ID})
	}
	if x.Head.Backoff > 0 {
		a.handler.reducer.Step(director.BackoffRequested{ID: a.request.ID, For: x.Head.Backoff})
	}
	if invalid := x.Head.InvalidRateLimit; invalid != "" {
		a.log.WithFields(logrus.Fields{"target": e.Hops[0].Target, "value": invalid}).
			Warn("rate limit of the target is not a positive number; the lowest one is applied")
	}
	a.handler.reducer.Step(director.RateLimitRead{ID: a.request.ID, PerSecond: x.Head.RateLimit})
}

// withdrawKept withdraws the failure of an earlier send if this one may have run the
// request.
func (a *activeRequest) withdrawKept(e *director.Send, x *upstream.Exchange, outcome director.Outcome) {
	if a.response.kept != nil && a.response.kept.send != e.Number {
		a.laterSend = outcome
	}
	if kept := a.response.sendEnded(e.Number, outcome, x.Sent); kept != nil {
		a.log.WithFields(logrus.Fields{
			"send": kept.send, "target": kept.target, "status": kept.status, "later_send": outcome.String(),
		}).Info("failure of an earlier send withdrawn; a later send may have run the request")
	}
}

// pathText formats the hops of a path for the log.
func pathText(hops []fleet.Hop) string {
	var b strings.Builder
	for i, hop := range hops {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(string(hop.Target))
		b.WriteString(hop.Layers.String())
	}
	return b.String()
}

func (a *activeRequest) call(e *director.Send) *upstream.Call {
	send := &platform.Send{
		Target: e.Hops[0].Target, Workspace: e.Workspace, ResumeAfter: a.request.ResumeAfter,
	}
	if e.Layered() {
		send.Hops, send.Priority = e.Hops, e.Priority
	}
	if a.lastEventID > 0 {
		send.ResumeAfter = platform.EventID(a.lastEventID)
	}
	var through *relay.Endpoint
	if e.Relay != nil {
		through = &relay.Endpoint{VM: e.Relay.VM, Address: e.Relay.Address, Secret: e.Relay.Secret}
	}
	call := &upstream.Call{
		ID: a.request.ID, Target: e.Hops[0].Target, Address: e.Hops[0].Address, Relay: through, Method: a.r.Method, URI: a.r.RequestURI, Host: a.r.Host,
		Header: platform.ForwardHeader(a.r.Header, send), Body: a.request.Body, Memory: &a.buffer, SilenceInterval: silenceInterval, OnSilence: a.onSilence,
		OnTrickle: func() error { return a.onTrickle(e.Route.Kind) },
	}
	return call
}

// onTrickle treats a stream as silent whose bytes complete no event, and ends the reading of a
// rejection that goes on.
func (a *activeRequest) onTrickle(kind fleet.RequestKind) error {
	switch {
	case a.rejected:
		return errRejectionUnread
	case kind != fleet.Stream || time.Since(a.lastReceived) < silenceInterval:
		return nil
	}
	return a.onSilence()
}

// onSilence notifies the reducer that no data arrives from the target. It returns
// errDiverted when the reducer cancels the send. It ends the reading of a rejection at once: its
// request need not wait for the rest.
func (a *activeRequest) onSilence() error {
	if a.rejected {
		return errRejectionUnread
	}
	if a.unresumable {
		return nil
	}
	effects := a.handler.reducer.Step(director.StreamIdle{ID: a.request.ID, For: time.Since(a.lastReceived)})
	a.handler.probe(effects)
	for _, effect := range effects {
		if e, ok := effect.(*director.Divert); ok {
			a.diverted = true
			a.log.WithField("reason", e.Reason).Info("send cancelled; request diverted to another path")
			return errDiverted
		}
	}
	return nil
}

// forward delivers a target's response to the caller. It returns 0 once the
// response is delivered, otherwise the outcome of the send, and whether the
// response was read to its end, so that its connection can be reused.
func (a *activeRequest) forward(e *director.Send, x *upstream.Exchange, err error) (director.Outcome, bool) {
	switch {
	case err != nil && !x.Sent:
		return director.NotSent, false
	case err != nil:
		return a.lossOutcome(), false
	case x.Head.NotExecuted:
		a.rejected = true
		_, err := io.Copy(io.Discard, io.LimitReader(x.Response.Body, maxRejectionBytes))
		return director.Rejected, err == nil
	}
	success := x.Response.StatusCode/100 == 2
	if success && (!x.Head.Signed || x.Head.Encoded) {
		return a.lossOutcome(), false
	}
	if success && e.Route.Kind == fleet.Stream {
		return a.forwardStream(e, x)
	}
	return a.forwardWhole(e, x)
}

// lossOutcome returns the outcome of a send whose response is missing or unusable.
func (a *activeRequest) lossOutcome() director.Outcome {
	if a.response.started {
		return director.Broken
	}
	return director.Lost
}

func (a *activeRequest) forwardWhole(e *director.Send, x *upstream.Exchange) (director.Outcome, bool) {
	body, err := a.buffer.readAll(x.Response.Body, x.Response.ContentLength)
	if err != nil {
		a.log.WithError(err).WithField("status", x.Response.StatusCode).Info("response incomplete; discarded")
		return a.lossOutcome(), false
	}
	resp := &bufferedResponse{
		source: sourceOf(e, x),
		status: x.Response.StatusCode, header: x.Response.Header, body: body,
	}
	switch a.response.accept(resp, e.Route.Repeatable()) {
	case deliver:
		a.writeWhole(resp)
		return 0, true
	case keep:
		a.laterSend = 0
	case discardPromise:
		a.handler.metrics.promisesDiscarded.WithLabelValues(strconv.Itoa(resp.status)).Inc()
		a.log.WithFields(logrus.Fields{"send": e.Number, "target": resp.target, "status": resp.status}).
			Info("response discarded; its status would promise that the request has not run")
	}
	return director.Failed, true
}

func (a *activeRequest) writeWhole(resp *bufferedResponse) {
	a.timeToFirstByte, a.answeredBy = time.Since(a.started), resp.source
	a.status, a.failure = resp.status, resp.status/100 != 2
	if err := a.response.writeWhole(resp); err != nil {
		a.log.WithError(err).Info("cannot write the response to the caller")
	}
}

func (a *activeRequest) setWriteDeadline(t time.Time) {
	if err := a.response.setWriteDeadline(t); err != nil {
		a.log.WithError(err).Warn("cannot set the deadline for writing to the caller")
	}
}
