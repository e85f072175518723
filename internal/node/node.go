// Package node runs the reducer: one goroutine receives events from the drivers,
// reduces them one at a time and passes the effects to the drivers.
package node

import (
	"context"
	"time"

	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/recording"
	"tamarackreach/internal/reducer"
	"tamarackreach/internal/telemetry"
	"tamarackreach/internal/tracing"
)

// queueLength is the capacity of the reducer's event queue.
const queueLength = 4096

// Callers executes the effects on callers.
type Callers interface {
	Refuse(event.RefuseRequest)
	Forward(*event.ForwardToken)
	Answer(event.AnswerCall)
}

// Operators executes the effects on operators.
type Operators interface {
	Answer(event.AnswerChange)
}

// Targets executes the effects on engines and services. No method blocks.
type Targets interface {
	Open(event.OpenChain)
	Redial(event.RedialStream)
	Cancel(event.CancelChain)
	Retire(event.RetireConnections)
	Watch(event.WatchTarget)
	Unwatch(event.UnwatchTarget)
	Order(event.SendOrder)
	Call(event.SendCall)
}

// Platform executes the effects on the platform. No method blocks.
type Platform interface {
	Transact(event.Transact)
	ReadRows(event.ReadRows)
	ReadObject(event.ReadObject)
	WriteObject(event.WriteObject)
	ListVMs(event.ListVMs)
}

// Peers executes the effects on other entry VMs. No method blocks.
type Peers interface {
	Heartbeat(event.SendHeartbeat)
	RequestSettings(event.RequestSettings)
	OfferSettings(event.OfferSettings)
}

// Drivers execute the effects of a node.
type Drivers struct {
	Callers   Callers
	Operators Operators
	Targets   Targets
	Platform  Platform
	Peers     Peers
}

// Node is a running reducer.
type Node struct {
	state    *reducer.State
	drivers  Drivers
	events   chan event.Event
	queries  chan func(*reducer.State)
	origin   time.Time
	recorder *recording.Writer
	tracer   *tracing.Tracer
	done     chan struct{}
}

// New returns a node; Run starts it. The recorder and the tracer may be nil.
func New(state *reducer.State, recorder *recording.Writer, tracer *tracing.Tracer) *Node {
	return &Node{
		state:    state,
		events:   make(chan event.Event, queueLength),
		queries:  make(chan func(*reducer.State)),
		origin:   time.Now(),
		recorder: recorder,
		tracer:   tracer,
		done:     make(chan struct{}),
	}
}

// Now returns the time since the node was created.
func (n *Node) Now() model.Instant { return model.Instant(time.Since(n.origin)) }

// Post queues an event for the reducer. It blocks while the queue is full, and
// does nothing after a shutdown.
func (n *Node) Post(ev event.Event) {
	select {
	case n.events <- ev:
	case <-n.done:
	}
}

// Query runs f on the reducer's state between two events and returns when f has
// run. f must not retain references to the state. After a shutdown f is not run.
func (n *Node) Query(f func(*reducer.State)) {
	finished := make(chan struct{})
	query := func(s *reducer.State) {
		f(s)
		close(finished)
	}
	select {
	case n.queries <- query:
		<-finished
	case <-n.done:
	}
}

// Done returns a channel that is closed when a shutdown is complete.
func (n *Node) Done() <-chan struct{} { return n.done }

// Run reduces events until the context ends or a shutdown is complete.
func (n *Node) Run(ctx context.Context, drivers Drivers) {
	n.drivers = drivers
	timer := time.NewTimer(0)
	defer timer.Stop()
	n.step(event.NodeStarted{UnixMs: time.Now().UnixMilli()})
	for {
		n.resetTimer(timer)
		select {
		case <-ctx.Done():
			return
		case <-n.done:
			return
		case ev := <-n.events:
			n.step(ev)
		case query := <-n.queries:
			query(n.state)
		case <-timer.C:
			n.step(event.Tick{})
		}
	}
}

// resetTimer sets the timer to the next timeout of the reducer, or stops it if
// there is none.
func (n *Node) resetTimer(timer *time.Timer) {
	next, ok := n.state.NextTimer()
	if !ok {
		timer.Stop()
		return
	}
	timer.Reset(max(0, next.Sub(n.Now())))
}

func (n *Node) step(ev event.Event) {
	now := n.Now()
	unixMs := time.Now().UnixMilli()
	effects := n.state.Reduce(now, unixMs, ev)
	if n.recorder != nil {
		if err := n.recorder.Write(now, unixMs, ev, effects); err != nil {
			telemetry.LogState("event recording stopped", "", err.Error())
			n.recorder = nil
		}
	}
	n.tracer.Observe(ev, effects)
	for _, effect := range effects {
		n.dispatch(effect)
	}
	telemetry.Publish(n.state.Counters())
}

func (n *Node) dispatch(effect event.Effect) {
	switch effect := effect.(type) {
	case *event.ForwardToken:
		n.drivers.Callers.Forward(effect)
	case event.RefuseRequest:
		n.drivers.Callers.Refuse(effect)
	case event.AnswerCall:
		n.drivers.Callers.Answer(effect)
	case event.AnswerChange:
		n.drivers.Operators.Answer(effect)
	case event.LogChange:
		telemetry.LogState(effect.Message, effect.Subject, effect.Detail)
	case event.SettingsInForce:
		telemetry.SettingsRevision(effect.Revision)
	case event.ShutdownReady:
		close(n.done)
	default:
		n.dispatchTargets(effect)
	}
}

func (n *Node) dispatchTargets(effect event.Effect) {
	switch effect := effect.(type) {
	case event.OpenChain:
		n.drivers.Targets.Open(effect)
	case event.RedialStream:
		n.drivers.Targets.Redial(effect)
	case event.CancelChain:
		n.drivers.Targets.Cancel(effect)
	case event.RetireConnections:
		n.drivers.Targets.Retire(effect)
	case event.WatchTarget:
		n.drivers.Targets.Watch(effect)
	case event.UnwatchTarget:
		n.drivers.Targets.Unwatch(effect)
	case event.SendOrder:
		n.drivers.Targets.Order(effect)
	case event.SendCall:
		n.drivers.Targets.Call(effect)
	default:
		n.dispatchPlatform(effect)
	}
}

func (n *Node) dispatchPlatform(effect event.Effect) {
	switch effect := effect.(type) {
	case event.Transact:
		n.drivers.Platform.Transact(effect)
	case event.ReadRows:
		n.drivers.Platform.ReadRows(effect)
	case event.ReadObject:
		n.drivers.Platform.ReadObject(effect)
	case event.WriteObject:
		n.drivers.Platform.WriteObject(effect)
	case event.ListVMs:
		n.drivers.Platform.ListVMs(effect)
	case event.SendHeartbeat:
		n.drivers.Peers.Heartbeat(effect)
	case event.RequestSettings:
		n.drivers.Peers.RequestSettings(effect)
	case event.OfferSettings:
		n.drivers.Peers.OfferSettings(effect)
	}
}
