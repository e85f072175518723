package idempotency_test

import (
	"bytes"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/idempotency"
	"tamarackreach/internal/model"
	"tamarackreach/internal/standin/platform"
	"tamarackreach/internal/timer"
)

// Parameters of the load model: virtual time, Poisson arrivals and a table that
// accepts transactionsPerS transactions per second and refuses the rest.
const (
	transactionsPerS = 300
	tableOneWayDelay = 5 * time.Millisecond
	serviceLatency   = 50 * time.Millisecond
	loadCallDeadline = 3 * time.Second
	warmUp           = 5 * time.Second
	measureFor       = 10 * time.Second
	modelSeed        = 1
)

// scheduledStep is an action of the simulation that runs at an instant. Steps of the
// same instant run in the order of their sequence numbers.
type scheduledStep struct {
	at       model.Instant
	sequence int
	action   func()
}

// schedule is a heap of steps, ordered by time.
type schedule []scheduledStep

func (a schedule) Len() int { return len(a) }
func (a schedule) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].sequence < a[j].sequence
}
func (a schedule) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *schedule) Push(x any)   { *a = append(*a, x.(scheduledStep)) }
func (a *schedule) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// loadModel simulates one deployment under load.
type loadModel struct {
	now            model.Instant
	schedule       schedule
	sequence       int
	random         *rand.Rand
	table          *platform.Table
	tokens         float64
	refilled       model.Instant
	nodes          []*node
	wakes          map[*node]model.Instant
	calls          int
	startedAt      map[model.RequestID]model.Instant
	addedLatencies []time.Duration
	refused        int
}

func newLoadModel(nodes int, options idempotency.Options) *loadModel {
	b := &loadModel{
		random: rand.New(rand.NewPCG(modelSeed, 0)), table: platform.NewTable(),
		wakes: make(map[*node]model.Instant), startedAt: make(map[model.RequestID]model.Instant),
	}
	for i := range nodes {
		name := fmt.Sprint("entry-", i)
		b.nodes = append(b.nodes, &node{
			name: name, ledger: idempotency.NewWithOptions(model.NodeID(name), 1, options),
			context: decision.Context{Timers: timer.New(), Rand: rand.New(rand.NewPCG(modelSeed, uint64(i)))},
		})
	}
	return b
}

func (b *loadModel) after(d time.Duration, action func()) {
	b.sequence++
	heap.Push(&b.schedule, scheduledStep{at: b.now.Add(d), sequence: b.sequence, action: action})
}

// run offers calls at a mean rate, in calls per second, during the warm-up and the
// measurement.
func (b *loadModel) run(callsPerS float64) {
	end := model.Instant(0).Add(warmUp + measureFor)
	var arrive func()
	arrive = func() {
		b.begin()
		b.after(time.Duration(b.random.ExpFloat64()/callsPerS*float64(time.Second)), arrive)
	}
	arrive()
	for b.schedule[0].at < end {
		next := heap.Pop(&b.schedule).(scheduledStep)
		b.now = next.at
		next.action()
	}
}

func (b *loadModel) begin() {
	b.calls++
	id := model.RequestID(fmt.Sprint("r", b.calls))
	n := b.nodes[b.random.IntN(len(b.nodes))]
	b.startedAt[id] = b.now
	b.reduce(n, func(c *decision.Context) {
		n.ledger.Begin(c, &idempotency.Call{
			Request: id, Workspace: "w", Service: "s", Method: "m",
			Key: model.IdempotencyKey(fmt.Sprintf("%09d", b.calls)), Deadline: c.Now.Add(loadCallDeadline),
		})
	})
}

func (b *loadModel) reduce(n *node, step func(*decision.Context)) {
	c := &n.context
	c.Now, c.UnixMs, c.Effects = b.now, int64(b.now)/int64(time.Millisecond), nil
	step(c)
	for _, effect := range c.Effects {
		b.execute(n, effect)
	}
	next, ok := c.Timers.Next()
	if !ok || b.wakes[n] == next {
		return
	}
	b.wakes[n] = next
	b.after(next.Sub(b.now), func() {
		b.reduce(n, func(c *decision.Context) {
			for key, ok := c.Timers.PopDue(c.Now); ok; key, ok = c.Timers.PopDue(c.Now) {
				n.fire(c, key)
			}
		})
	})
}

func (b *loadModel) execute(n *node, effect event.Effect) {
	reply := func(after time.Duration, ev event.Event) {
		b.after(after, func() { b.reduce(n, func(c *decision.Context) { n.handle(c, ev) }) })
	}
	switch effect := effect.(type) {
	case event.Transact:
		b.after(tableOneWayDelay, func() { reply(tableOneWayDelay, b.transact(effect)) })
	case event.ReadRows:
		b.after(tableOneWayDelay, func() { reply(tableOneWayDelay, event.RowsRead{Read: effect.Read, Rows: b.table.Read(effect.Keys)}) })
	case event.SendCall:
		reply(serviceLatency, event.CallAnswered{Request: effect.Request})
	case event.AnswerCall:
		b.recordAnswer(effect.Request, true)
	case event.RefuseRequest:
		b.recordAnswer(effect.Request, false)
	}
}

func (b *loadModel) transact(effect event.Transact) event.Event {
	b.tokens = min(transactionsPerS, b.tokens+transactionsPerS*b.now.Sub(b.refilled).Seconds())
	b.refilled = b.now
	if b.tokens < 1 {
		return event.TransactionUnknown{Transaction: effect.Transaction, NotSent: true}
	}
	b.tokens--
	version, conflicts := b.table.Transact(effect.Conditions, effect.Writes)
	return event.TransactionDone{Transaction: effect.Transaction, Committed: len(conflicts) == 0, Version: version, Conflicts: conflicts}
}

func (b *loadModel) recordAnswer(id model.RequestID, done bool) {
	startedAt := b.startedAt[id]
	delete(b.startedAt, id)
	switch {
	case startedAt < model.Instant(0).Add(warmUp):
	case done:
		b.addedLatencies = append(b.addedLatencies, b.now.Sub(startedAt)-serviceLatency)
	default:
		b.refused++
	}
}

// sustained reports whether the ledger kept up with the load: at least 99% of the
// measured calls got their outcome, no more calls are in progress than arrive within
// loadCallDeadline, and together with the stored outcomes they make up at least 99% of
// all calls.
func (b *loadModel) sustained() bool {
	const minFraction = 0.99
	waiting, recorded := 0, 0
	for _, n := range b.nodes {
		waiting += n.ledger.InProgress()
	}
	for _, row := range b.table.Scan("once/", "", b.calls) {
		if !bytes.Contains(row.Value, []byte(`"state":"claimed"`)) {
			recorded++
		}
	}
	answered := float64(len(b.addedLatencies)) >= minFraction*float64(len(b.addedLatencies)+b.refused)
	perS := float64(b.calls) / (warmUp + measureFor).Seconds()
	inBounds := float64(waiting) <= perS*loadCallDeadline.Seconds()
	return answered && inBounds && float64(recorded+waiting) >= minFraction*float64(b.calls)
}

func (b *loadModel) quantile(part float64) time.Duration {
	slices.Sort(b.addedLatencies)
	if len(b.addedLatencies) == 0 {
		return 0
	}
	return b.addedLatencies[int(part*float64(len(b.addedLatencies)-1))]
}

// ceiling returns the highest sustained rate in calls per second, within 4%.
func ceiling(nodes int, options idempotency.Options) float64 {
	sustains := func(rate float64) bool {
		b := newLoadModel(nodes, options)
		b.run(rate)
		return b.sustained()
	}
	low, high := 10.0, 20.0
	for sustains(high) {
		low, high = high, 2*high
	}
	const precision = 1.04
	for high > precision*low {
		middle := (low + high) / 2
		if sustains(middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

func BenchmarkCeiling(b *testing.B) {
	single := idempotency.Options{BatchInterval: 0, MaxRows: 1}
	grouped := idempotency.DefaultOptions()
	for _, setup := range []struct {
		name    string
		nodes   int
		options idempotency.Options
	}{
		{"one-row/nodes=4", 4, single},
		{"grouped/nodes=4", 4, grouped},
		{"one-row/nodes=410", 410, single},
		{"grouped/nodes=410", 410, grouped},
		{"grouped/nodes=3", 3, grouped},
	} {
		b.Run(setup.name, func(b *testing.B) {
			for range b.N {
				top := ceiling(setup.nodes, setup.options)
				b.ReportMetric(top, "calls/s")
				reportAddedLatency(b, "at-50/s", 50, setup.nodes, setup.options)
				const busy = 0.8
				reportAddedLatency(b, "at-80%", busy*top, setup.nodes, setup.options)
			}
		})
	}
}

// reportAddedLatency reports the latency that the ledger adds to the calls, in
// milliseconds, at a rate in calls per second.
func reportAddedLatency(b *testing.B, name string, rate float64, nodes int, options idempotency.Options) {
	m := newLoadModel(nodes, options)
	m.run(rate)
	b.ReportMetric(float64(m.quantile(0.5))/1e6, "ms-p50-"+name)
	b.ReportMetric(float64(m.quantile(0.99))/1e6, "ms-p99-"+name)
}
