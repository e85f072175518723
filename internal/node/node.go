// Package node runs the reducer: one goroutine takes events from the drivers,
// reduces them one after the other and hands the effects back to the drivers.
package node

import (
	"context"
	"time"

	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/reducer"
	"tamarackreach/internal/telemetry"
	"tamarackreach/internal/trace"
	"tamarackreach/internal/tracing"
)

// queueLength is the number of events that may wait for the reducer.
const queueLength = 4096

// Callers carries out effects towards callers.
type Callers interface {
	Refuse(event.RefuseRequest)
	Forward(*event.ForwardToken)
	Answer(event.AnswerCall)
}

// Operators carries out effects towards operators.
type Operators interface {
	Answer(event.AnswerChange)
}

// Targets carries out effects towards engines and services. No method blocks.
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

// Platform carries out effects towards the platform. No method blocks.
type Platform interface {
	Transact(event.Transact)
	ReadRows(event.ReadRows)
	ReadObject(event.ReadObject)
	WriteObject(event.WriteObject)
	ListVMs(event.ListVMs)
}

// Peers carries out effects towards other entry VMs. No method blocks.
type Peers interface {
	Heartbeat(event.SendHeartbeat)
	RequestSettings(event.RequestSettings)
	OfferSettings(event.OfferSettings)
}

// Drivers are the outside parties of a node.
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
	recorder *trace.Writer
	tracer   *tracing.Tracer
	done     chan struct{}
}

// New returns a node; Run starts it. The recorder and the tracer may be nil.
func New(state *reducer.State, recorder *trace.Writer, tracer *tracing.Tracer) *Node {
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

// Now returns the present instant of the node.
func (n *Node) Now() model.Instant { return model.Instant(time.Since(n.origin)) }

// Post hands an event to the reducer.
func (n *Node) Post(ev event.Event) {
	select {
	case n.events <- ev:
	case <-n.done:
	}
}

// Query runs f between two events; f must not keep what it reads.
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

// Done is closed when the node has nothing in progress after a shutdown.
func (n *Node) Done() <-chan struct{} { return n.done }

// Run reduces events until the context ends or a shutdown is complete.
func (n *Node) Run(ctx context.Context, drivers Drivers) {
	n.drivers = drivers
	wakeUp := time.NewTimer(0)
	defer wakeUp.Stop()
	n.step(event.NodeStarted{UnixMs: time.Now().UnixMilli()})
	for {
		n.arm(wakeUp)
		select {
		case <-ctx.Done():
			return
		case <-n.done:
			return
		case ev := <-n.events:
			n.step(ev)
		case query := <-n.queries:
			query(n.state)
		case <-wakeUp.C:
			n.step(event.Tick{})
		}
	}
}

// arm sets the timer to the next timeout of the reducer.
func (n *Node) arm(wakeUp *time.Timer) {
	next, ok := n.state.NextTimer()
	if !ok {
		wakeUp.Stop()
		return
	}
	wakeUp.Reset(max(0, next.Sub(n.Now())))
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
		n.carryOut(effect)
	}
	telemetry.Publish(n.state.Counters())
}

func (n *Node) carryOut(effect event.Effect) {
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
		n.carryOutTargets(effect)
	}
}

func (n *Node) carryOutTargets(effect event.Effect) {
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
		n.carryOutPlatform(effect)
	}
}

func (n *Node) carryOutPlatform(effect event.Effect) {
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
