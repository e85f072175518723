// Package front serves callers: it reads their requests, asks the reducer where
// each goes, and passes answers back as they come.
package front

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/upstream"
	"tamarackreach/platform"
)

// Reducer applies events one at a time.
type Reducer struct {
	mu    sync.Mutex
	state *director.State
}

// NewReducer guards a state.
func NewReducer(s *director.State) *Reducer { return &Reducer{state: s} }

// Step applies an event, logs changes of belief and returns the other effects.
func (r *Reducer) Step(e director.Event) []director.Effect {
	effects := r.step(e)
	var out []director.Effect
	for _, effect := range effects {
		if c, ok := effect.(*director.Changed); ok {
			logrus.WithFields(logrus.Fields{"subject": c.Subject, "detail": c.Detail}).Info(c.What)
			continue
		}
		out = append(out, effect)
	}
	return out
}

// step holds the lock only for its own call, so that a panic in the reducer ends
// the request that met it and not the process.
func (r *Reducer) step(e director.Event) []director.Effect {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Step(bootclock.Now(), e)
}

// Read calls f with the state.
func (r *Reducer) Read(f func(*director.State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.state)
}

// ReportReader reads the report of a target and tells the reducer.
type ReportReader func(ask *director.AskReport)

// Front is the handler of callers' requests.
type Front struct {
	reducer *Reducer
	pool    *upstream.Pool
	reports ReportReader
	metrics *Metrics
}

// New returns a handler.
func New(r *Reducer, pool *upstream.Pool, reports ReportReader, m *Metrics) *Front {
	return &Front{reducer: r, pool: pool, reports: reports, metrics: m}
}

const (
	// defaultBodyBytes bounds a body until a configuration says otherwise.
	defaultBodyBytes = 4 << 20
	// streamPause is the silence after which a stream is looked at: two usual
	// pauses between events.
	streamPause = 150 * time.Millisecond
	// maxAnswerBytes bounds a plain answer, which is held whole.
	maxAnswerBytes = 16 << 20
)

// job is a request while it is served.
type job struct {
	front   *Front
	w       http.ResponseWriter
	r       *http.Request
	request *fleet.Request
	started time.Time
	// begun is true once the caller has the head of an answer.
	begun bool
	// flowing is true once the send under way has given an event.
	flowing     bool
	lastEventAt time.Time
	// lastEvent is the id of the last whole event that the caller has.
	lastEvent int64
	events    int
	// pause is the longest time between two events.
	pause time.Duration
	sends int
	// lastHeard is when the target last sent something.
	lastHeard time.Time
	first     time.Duration
	diverted  bool
	// kept is a target's failure that is delivered if no better answer comes.
	kept *answer
	log  *logrus.Entry
}

// answer is a whole plain answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request, err := platform.DecodeRequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	j := &job{front: f, w: w, r: r, request: request, started: time.Now()}
	j.log = logrus.WithField("request", request.ID)
	var limit int64 = defaultBodyBytes
	f.reducer.Read(func(s *director.State) {
		if c := s.Config(); c != nil && c.Limits.MaxBodyBytes > 0 {
			limit = c.Limits.MaxBodyBytes
		}
	})
	request.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		status := http.StatusBadRequest
		var tooLong *http.MaxBytesError
		if errors.As(err, &tooLong) {
			status = http.StatusRequestEntityTooLarge
		}
		http.Error(w, "the body cannot be read: "+err.Error(), status)
		return
	}
	j.run()
}

// run serves the request until it is answered, refused or abandoned.
func (j *job) run() {
	defer j.contain()
	effects := j.front.reducer.Step(director.Arrived{Request: j.request, Random: rand.Float64()})
	for {
		switch e := effects[len(effects)-1].(type) {
		case *director.Refuse:
			j.refuse(e)
			return
		case *director.Send:
			ended := j.send(e)
			if ended == nil {
				j.finish(true, "answered")
				return
			}
			if j.r.Context().Err() != nil {
				j.finish(false, "abandoned by the caller")
				panic(http.ErrAbortHandler)
			}
			effects = j.front.reducer.Step(*ended)
		case *director.Wait:
			effects = j.wait(e)
		default:
			j.finish(false, "unknown effect")
			panic(http.ErrAbortHandler)
		}
	}
}

// wait holds the request until a path is looked for again.
func (j *job) wait(e *director.Wait) []director.Effect {
	j.log.WithFields(logrus.Fields{"reason": e.Reason, "for_ms": e.For.Milliseconds()}).Info("request waits")
	timer := time.NewTimer(e.For)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-j.r.Context().Done():
		j.finish(false, "abandoned by the caller")
		panic(http.ErrAbortHandler)
	}
	return j.front.reducer.Step(director.Waited{ID: j.request.ID, Random: rand.Float64()})
}

// contain ends a request whose handling panicked: its load is taken away and its
// connection is cut, and the process serves on.
func (j *job) contain() {
	p := recover()
	if p == nil {
		return
	}
	if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		j.log.WithFields(logrus.Fields{"panic": fmt.Sprint(p), "stack": string(debug.Stack())}).Error("request panicked")
		j.finish(false, "panicked")
	}
	panic(http.ErrAbortHandler)
}

func (j *job) finish(delivered bool, outcome string) {
	j.front.reducer.Step(director.Finished{ID: j.request.ID, Delivered: delivered})
	took := time.Since(j.started)
	j.front.metrics.ended(outcome, took, j.first)
	j.log.WithFields(logrus.Fields{
		"outcome": outcome, "took_ms": took.Milliseconds(), "first_ms": j.first.Milliseconds(), "events": j.events,
		"longest_pause_ms": j.pause.Milliseconds(), "sends": j.sends,
	}).Info("request ended")
}

func (j *job) refuse(e *director.Refuse) {
	took := time.Since(j.started)
	outcome := "refused"
	if j.kept != nil {
		outcome = "answered with the target's failure"
	} else if j.begun {
		outcome = "broken off"
	}
	j.front.metrics.ended(outcome, took, j.first)
	j.log.WithFields(logrus.Fields{
		"outcome": outcome, "status": e.Status, "reason": e.Reason, "detail": e.Detail, "retry_after_ms": e.RetryAfter.Milliseconds(),
		"took_ms": took.Milliseconds(), "events": j.events,
	}).Info("request ended")
	switch {
	case j.kept != nil:
		j.deliver(j.kept)
	case j.begun:
		panic(http.ErrAbortHandler) // the answer must not look complete
	default:
		platform.SetOwnAnswer(j.w.Header(), j.request.ID, e.RetryAfter)
		http.Error(j.w, e.Reason, e.Status)
	}
}

// errDiverted ends a send that the reducer gave up.
var errDiverted = errors.New("the send was given up for another path")

// send passes the request to a target. It returns nil once an answer is
// delivered, else how the send ended.
func (j *job) send(e *director.Send) *director.SendEnded {
	ctx, cancel := context.WithTimeout(j.r.Context(), e.TimeLeft)
	defer cancel()
	sentAt := time.Now()
	j.lastHeard, j.diverted, j.flowing = sentAt, false, false
	j.sends = e.Number
	call := j.call(e)
	x, err := j.front.pool.Do(ctx, call)
	j.log.WithFields(logrus.Fields{
		"send": e.Number, "target": e.Hops[0].Target, "path": pathText(e.Hops), "route": e.Route.Name,
		"left_ms": e.TimeLeft.Milliseconds(), "read_ms": e.Predicted.Work.Milliseconds(), "queue_ms": e.Predicted.Queue.Milliseconds(),
	}).Info("request sent")
	outcome, complete := j.answer(e, x, err)
	x.Done(complete)
	if outcome == 0 {
		return nil
	}
	if ctx.Err() != nil && j.r.Context().Err() == nil {
		outcome = director.TimedOut
	}
	if j.diverted {
		outcome = director.Diverted
	}
	ended := &director.SendEnded{
		ID: j.request.ID, Outcome: outcome, FaultAt: x.Head.FaultAt, Took: time.Since(sentAt),
		Random: rand.Float64(),
	}
	j.front.metrics.sends.WithLabelValues(outcome.String()).Inc()
	line := j.log.WithFields(logrus.Fields{
		"send": e.Number, "outcome": outcome.String(), "fault_at": ended.FaultAt, "took_ms": ended.Took.Milliseconds(),
	})
	if err != nil {
		line = line.WithError(err)
	}
	line.Info("send ended")
	return ended
}

// pathText lists the hops of a path for the log.
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

func (j *job) call(e *director.Send) *upstream.Call {
	send := &platform.Send{
		Target: e.Hops[0].Target, Workspace: e.Workspace, Deadline: e.TimeLeft, ResumeAfter: j.request.ResumeAfter,
	}
	if e.Layered() {
		send.Hops, send.Priority = e.Hops, e.Priority
	}
	if j.lastEvent > 0 {
		send.ResumeAfter = platform.EventID(j.lastEvent)
	}
	return &upstream.Call{
		ID: j.request.ID, Address: e.Hops[0].Address, Method: j.r.Method, URI: j.r.RequestURI, Host: j.r.Host,
		Header: platform.ForwardHeader(j.r.Header, send), Body: j.request.Body, Pause: streamPause, Idle: j.quiet,
	}
}

// quiet tells the reducer that the target is silent.
func (j *job) quiet() error {
	effects := j.front.reducer.Step(director.Quiet{ID: j.request.ID, For: time.Since(j.lastHeard)})
	for _, effect := range effects {
		switch e := effect.(type) {
		case *director.AskReport:
			go j.front.reports(e)
		case *director.Divert:
			j.diverted = true
			j.log.WithField("reason", e.Reason).Info("send given up")
			return errDiverted
		}
	}
	return nil
}

// answer passes on what a target answers. It returns 0 once delivered, and
// whether the target's answer was read to its end.
func (j *job) answer(e *director.Send, x *upstream.Exchange, err error) (director.Outcome, bool) {
	switch {
	case err != nil && !x.Sent:
		return director.NotSent, false
	case err != nil:
		return j.lost(), false
	case x.Head.NotRun:
		_, err := io.Copy(io.Discard, io.LimitReader(x.Response.Body, maxAnswerBytes))
		return director.Rejected, err == nil
	}
	success := x.Response.StatusCode/100 == 2
	if success && !x.Head.Sealed {
		return j.lost(), false
	}
	if success && e.Route.Kind == fleet.Stream {
		return j.stream(x)
	}
	return j.plain(e, x)
}

// lost is the outcome of an answer that never came or cannot be used.
func (j *job) lost() director.Outcome {
	if j.begun {
		return director.Broken
	}
	return director.Lost
}

func (j *job) plain(e *director.Send, x *upstream.Exchange) (director.Outcome, bool) {
	body, err := io.ReadAll(io.LimitReader(x.Response.Body, maxAnswerBytes))
	if err != nil {
		return j.lost(), false
	}
	if j.begun {
		return director.Broken, true // a failure cannot follow a begun answer
	}
	a := &answer{status: x.Response.StatusCode, header: x.Response.Header, body: body}
	if a.status >= http.StatusInternalServerError && e.Route.Repeatable() {
		j.kept = a
		return director.Failed, true
	}
	j.deliver(a)
	return 0, true
}

func (j *job) deliver(a *answer) {
	platform.CopyAnswerHeader(j.w.Header(), a.header)
	j.first = time.Since(j.started)
	j.w.WriteHeader(a.status)
	if _, err := j.w.Write(a.body); err != nil {
		j.log.WithError(err).Info("the caller did not take the answer")
	}
}

// stream passes on whole events as they come.
func (j *job) stream(x *upstream.Exchange) (director.Outcome, bool) {
	events := upstream.NewEvents(x.Response.Body)
	out := http.NewResponseController(j.w)
	if !j.begun {
		platform.CopyAnswerHeader(j.w.Header(), x.Response.Header)
		j.w.Header().Del("Content-Length")
	}
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return 0, true
		}
		if err != nil {
			j.log.WithError(err).WithField("last_event", j.lastEvent).Info("stream broke off")
			return director.Broken, false
		}
		j.heard()
		if event.HasID {
			if event.ID <= j.lastEvent && j.begun {
				continue // the caller has it
			}
			j.lastEvent = event.ID
		}
		if !j.begun {
			j.begun, j.first = true, time.Since(j.started)
		}
		if !j.flowing {
			j.flowing = true
			j.front.reducer.Step(director.Began{ID: j.request.ID})
		}
		j.events++
		if _, err := j.w.Write(event.Bytes); err != nil {
			return director.Broken, false
		}
		if !event.More {
			if err := out.Flush(); err != nil {
				return director.Broken, false
			}
		}
	}
}

// heard notes the time of an event and the pause before it.
func (j *job) heard() {
	now := time.Now()
	if j.events > 0 {
		j.pause = max(j.pause, now.Sub(j.lastEventAt))
	}
	j.lastHeard, j.lastEventAt = now, now
}

// Ready answers whether the VM takes new connections.
func (f *Front) Ready() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ready := false
		f.reducer.Read(func(s *director.State) { ready = s.Ready(bootclock.Now()) })
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// InFlight is the number of requests that are being served.
func (f *Front) InFlight() int {
	n := 0
	f.reducer.Read(func(s *director.State) { n = s.InFlight() })
	return n
}
