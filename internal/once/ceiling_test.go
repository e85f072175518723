package once_test

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
	"tamarackreach/internal/model"
	"tamarackreach/internal/once"
	"tamarackreach/internal/standin/platform"
	"tamarackreach/internal/timer"
)

// The model of the ceiling: virtual time, Poisson arrivals, a table that takes
// writesPerS transactions a second and refuses the rest.
const (
	writesPerS   = 300
	tableOneWay  = 5 * time.Millisecond
	serviceTime  = 50 * time.Millisecond
	onceDeadline = 3 * time.Second
	warmUp       = 5 * time.Second
	measureFor   = 10 * time.Second
	modelSeed    = 1
)

// due is something that happens at an instant.
type due struct {
	at       model.Instant
	sequence int
	do       func()
}

type agenda []due

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].sequence < a[j].sequence
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(due)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// budget is the model of one deployment under load.
type budget struct {
	now      model.Instant
	agenda   agenda
	sequence int
	random   *rand.Rand
	table    *platform.Table
	tokens   float64
	refilled model.Instant
	nodes    []*node
	wakes    map[*node]model.Instant
	calls    int
	begun    map[model.RequestID]model.Instant
	added    []time.Duration
	refused  int
}

func newBudget(nodes int, options once.Options) *budget {
	b := &budget{
		random: rand.New(rand.NewPCG(modelSeed, 0)), table: platform.NewTable(),
		wakes: make(map[*node]model.Instant), begun: make(map[model.RequestID]model.Instant),
	}
	for i := range nodes {
		name := fmt.Sprint("entry-", i)
		b.nodes = append(b.nodes, &node{
			name: name, ledger: once.NewWithOptions(model.NodeID(name), 1, options),
			context: decision.Context{Timers: timer.New(), Rand: rand.New(rand.NewPCG(modelSeed, uint64(i)))},
		})
	}
	return b
}

func (b *budget) after(d time.Duration, do func()) {
	b.sequence++
	heap.Push(&b.agenda, due{at: b.now.Add(d), sequence: b.sequence, do: do})
}

// run offers calls at a rate over the warm-up and the measured time.
func (b *budget) run(callsPerS float64) {
	end := model.Instant(0).Add(warmUp + measureFor)
	var arrive func()
	arrive = func() {
		b.begin()
		b.after(time.Duration(b.random.ExpFloat64()/callsPerS*float64(time.Second)), arrive)
	}
	arrive()
	for b.agenda[0].at < end {
		next := heap.Pop(&b.agenda).(due)
		b.now = next.at
		next.do()
	}
}

func (b *budget) begin() {
	b.calls++
	id := model.RequestID(fmt.Sprint("r", b.calls))
	n := b.nodes[b.random.IntN(len(b.nodes))]
	b.begun[id] = b.now
	b.reduce(n, func(c *decision.Context) {
		n.ledger.Begin(c, &once.Call{
			Request: id, Workspace: "w", Service: "s", Method: "m",
			Key: model.IdempotencyKey(fmt.Sprintf("%09d", b.calls)), Deadline: c.Now.Add(onceDeadline),
		})
	})
}

func (b *budget) reduce(n *node, step func(*decision.Context)) {
	c := &n.context
	c.Now, c.UnixMs, c.Effects = b.now, int64(b.now)/int64(time.Millisecond), nil
	step(c)
	for _, effect := range c.Effects {
		b.carryOut(n, effect)
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

func (b *budget) carryOut(n *node, effect event.Effect) {
	reply := func(after time.Duration, ev event.Event) {
		b.after(after, func() { b.reduce(n, func(c *decision.Context) { n.take(c, ev) }) })
	}
	switch effect := effect.(type) {
	case event.Transact:
		b.after(tableOneWay, func() { reply(tableOneWay, b.transact(effect)) })
	case event.ReadRows:
		b.after(tableOneWay, func() { reply(tableOneWay, event.RowsRead{Read: effect.Read, Rows: b.table.Read(effect.Keys)}) })
	case event.SendCall:
		reply(serviceTime, event.CallAnswered{Request: effect.Request})
	case event.AnswerCall:
		b.told(effect.Request, true)
	case event.RefuseRequest:
		b.told(effect.Request, false)
	}
}

func (b *budget) transact(effect event.Transact) event.Event {
	b.tokens = min(writesPerS, b.tokens+writesPerS*b.now.Sub(b.refilled).Seconds())
	b.refilled = b.now
	if b.tokens < 1 {
		return event.TransactionUnknown{Transaction: effect.Transaction, NotSent: true}
	}
	b.tokens--
	version, conflicts := b.table.Transact(effect.Conditions, effect.Writes)
	return event.TransactionDone{Transaction: effect.Transaction, Committed: len(conflicts) == 0, Version: version, Conflicts: conflicts}
}

func (b *budget) told(id model.RequestID, done bool) {
	begun := b.begun[id]
	delete(b.begun, id)
	switch {
	case begun < model.Instant(0).Add(warmUp):
	case done:
		b.added = append(b.added, b.now.Sub(begun)-serviceTime)
	default:
		b.refused++
	}
}

// carried is true when at least 99 of 100 calls got their outcome, and as many
// outcomes are in the table, but for those of the calls in progress.
func (b *budget) carried() bool {
	const leastPart = 0.99
	waiting, recorded := 0, 0
	for _, n := range b.nodes {
		waiting += n.ledger.InProgress()
	}
	for _, row := range b.table.Scan("once/", "", b.calls) {
		if !bytes.Contains(row.Value, []byte(`"state":"claimed"`)) {
			recorded++
		}
	}
	answered := float64(len(b.added)) >= leastPart*float64(len(b.added)+b.refused)
	perS := float64(b.calls) / (warmUp + measureFor).Seconds()
	inBounds := float64(waiting) <= perS*onceDeadline.Seconds()
	return answered && inBounds && float64(recorded+waiting) >= leastPart*float64(b.calls)
}

func (b *budget) quantile(part float64) time.Duration {
	slices.Sort(b.added)
	if len(b.added) == 0 {
		return 0
	}
	return b.added[int(part*float64(len(b.added)-1))]
}

// ceiling returns the highest rate that is carried, within 4%.
func ceiling(nodes int, options once.Options) float64 {
	carries := func(rate float64) bool {
		b := newBudget(nodes, options)
		b.run(rate)
		return b.carried()
	}
	low, high := 10.0, 20.0
	for carries(high) {
		low, high = high, 2*high
	}
	const precision = 1.04
	for high > precision*low {
		middle := (low + high) / 2
		if carries(middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

func BenchmarkCeiling(b *testing.B) {
	single := once.Options{GatherInterval: 0, MaxRows: 1}
	grouped := once.DefaultOptions()
	for _, setup := range []struct {
		name    string
		nodes   int
		options once.Options
	}{
		{"one-row/nodes=4", 4, single},
		{"grouped/nodes=4", 4, grouped},
		{"one-row/nodes=410", 410, single},
		{"grouped/nodes=410", 410, grouped},
		{"grouped/gatherers=3", 3, grouped},
	} {
		b.Run(setup.name, func(b *testing.B) {
			for range b.N {
				top := ceiling(setup.nodes, setup.options)
				b.ReportMetric(top, "calls/s")
				reportAdded(b, "at-50/s", 50, setup.nodes, setup.options)
				const busy = 0.8
				reportAdded(b, "at-80%", busy*top, setup.nodes, setup.options)
			}
		})
	}
}

func reportAdded(b *testing.B, name string, rate float64, nodes int, options once.Options) {
	m := newBudget(nodes, options)
	m.run(rate)
	b.ReportMetric(float64(m.quantile(0.5))/1e6, "ms-p50-"+name)
	b.ReportMetric(float64(m.quantile(0.99))/1e6, "ms-p99-"+name)
}
