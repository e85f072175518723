package leases_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/fakes"
	"tamarackreach/internal/leases"
	"tamarackreach/internal/model"
	"tamarackreach/internal/settings"
	"tamarackreach/internal/targets"
	"tamarackreach/internal/timer"
)

func TestLeases(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "leases")
}

const (
	pipeline model.PipelineID = "main"
	step                      = 50 * time.Millisecond
)

// entryVM is one entry VM with its lease table and timers.
type entryVM struct {
	context     decision.Context
	leases      *leases.Table
	inbox       []message
	pausedUntil model.Instant
}

// message is an event that is delivered at an instant.
type message struct {
	at model.Instant
	ev event.Event
}

func newEntryVM(i int) *entryVM {
	h := &entryVM{
		context: decision.Context{Timers: timer.New(), Rand: rand.New(rand.NewPCG(1, uint64(i)))},
		leases:  leases.New(model.NodeID(fmt.Sprintf("node-%d", i)), 1),
	}
	h.leases.Track(&h.context, []model.PipelineID{pipeline})
	return h
}

// run delivers the messages that are due and fires due timers, unless the VM is
// paused.
func (h *entryVM) run(now model.Instant) []event.Effect {
	if now < h.pausedUntil {
		return nil
	}
	c := &h.context
	c.Now = now
	c.Effects = nil
	var later []message
	for _, m := range h.inbox {
		if m.at > now {
			later = append(later, m)
			continue
		}
		switch ev := m.ev.(type) {
		case event.TransactionDone:
			h.leases.TransactionDone(c, ev)
		case event.TransactionUnknown:
			h.leases.TransactionUnknown(c, ev)
		case event.RowsRead:
			h.leases.RowsRead(c, ev)
		}
	}
	h.inbox = later
	for {
		if _, due := c.Timers.PopDue(now); !due {
			return c.Effects
		}
		h.leases.RenewDue(c, pipeline, nil)
	}
}

func (h *entryVM) holds(now model.Instant) bool {
	left, _ := h.leases.HeldFor(now, pipeline)
	return now >= h.pausedUntil && left > 0
}

// world simulates entry VMs that share one table over a network that delays, loses
// and reorders messages.
type world struct {
	random   *rand.Rand
	table    *fakes.Platform
	entryVMs []*entryVM
	// delayed holds the writes that take effect later and whose responses are lost.
	delayed []delayedWrite
}

type delayedWrite struct {
	at     model.Instant
	effect event.Transact
}

func newWorld(seed uint64, nodes int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 0)), table: fakes.NewPlatform()}
	for i := range nodes {
		w.entryVMs = append(w.entryVMs, newEntryVM(i))
	}
	return w
}

func (w *world) randomDelay(most time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(most)))
}

// step runs every entry VM once, with pauses, table outages and lost responses.
func (w *world) step(now model.Instant) {
	w.table.Down = now.Sub(0)%(40*time.Second) > 30*time.Second
	w.applyDelayed(now)
	for _, h := range w.entryVMs {
		if w.random.IntN(400) == 0 {
			h.pausedUntil = now.Add(w.randomDelay(12 * time.Second))
		}
		for _, effect := range h.run(now) {
			h.inbox = append(h.inbox, message{at: now.Add(w.randomDelay(300 * time.Millisecond)), ev: w.send(now, effect)})
		}
	}
}

func (w *world) send(now model.Instant, effect event.Effect) event.Event {
	if transact, ok := effect.(event.Transact); ok && w.random.IntN(10) == 0 {
		w.delayed = append(w.delayed, delayedWrite{at: now.Add(w.randomDelay(9 * time.Second)), effect: transact})
		return event.TransactionUnknown{Transaction: transact.Transaction}
	}
	w.table.LoseAnswers = w.random.IntN(5) == 0
	answer, _ := w.table.Answer(effect)
	return answer
}

func (w *world) applyDelayed(now model.Instant) {
	var later []delayedWrite
	for _, write := range w.delayed {
		if write.at > now {
			later = append(later, write)
			continue
		}
		w.table.Answer(write.effect)
	}
	w.delayed = later
}

// fencingNumbers returns the fencing number of each entry VM that holds the lease,
// by its index.
func (w *world) fencingNumbers(now model.Instant) map[int]model.FencingNumber {
	numbers := make(map[int]model.FencingNumber)
	for i, h := range w.entryVMs {
		if h.holds(now) {
			_, numbers[i] = h.leases.HeldFor(now, pipeline)
		}
	}
	return numbers
}

var _ = Describe("a lease", func() {
	It("never has two holders, and its fencing numbers grow", func() {
		const seeds, nodes, length = 300, 4, 2 * time.Minute
		for seed := range uint64(seeds) {
			w := newWorld(seed, nodes)
			last, before, held := model.FencingNumber(0), -1, 0
			for now := model.Instant(0); now < model.Instant(length); now = now.Add(step) {
				w.step(now)
				numbers := w.fencingNumbers(now)
				Expect(len(numbers)).To(BeNumerically("<=", 1), "seed %d at %s", seed, now.Sub(0))
				for i, fencing := range numbers {
					least := last
					if i != before {
						least++
					}
					Expect(fencing).To(BeNumerically(">=", least), "seed %d at %s", seed, now.Sub(0))
					last, before = fencing, i
					held++
				}
			}
			Expect(held).To(BeNumerically(">", 0), "seed %d: no entry VM held the lease", seed)
		}
	})
})

var _ = Describe("orders", func() {
	It("replace the effect of an outdated order within seconds, one target of a stage at a time", func() {
		h, lease := newLeaseHolder()
		orders := leases.NewOrders("node-0", h.leases, 1000)
		view, table := twoTargetStage(&h.context)
		report(&h.context, table, "a", "v1")
		report(&h.context, table, "b", "v1")
		Expect(ordersAfter(orders, h, lease, view, table)).To(BeEmpty())

		By("a target that accepted an order of the previous lease holder")
		report(&h.context, table, "a", "v0")
		Expect(ordersAfter(orders, h, lease, view, table)).To(ConsistOf(HaveField("Target", model.TargetID("a"))))
		Expect(ordersAfter(orders, h, lease, view, table)).To(BeEmpty(), "the order is in flight")

		By("a mismatch of the second target after the first has reported the desired version")
		report(&h.context, table, "a", "v1")
		report(&h.context, table, "b", "v0")
		sent := ordersAfter(orders, h, lease, view, table)
		Expect(sent).To(ConsistOf(HaveField("Target", model.TargetID("b"))))
		Expect(sent[0].Version).To(Equal(model.ModelVersion("v1")))
		Expect(sent[0].ValidUntil).To(BeNumerically(">", h.context.Now))
	})

	It("are not sent once the lease has expired", func() {
		h, lease := newLeaseHolder()
		orders := leases.NewOrders("node-0", h.leases, 1000)
		view, table := twoTargetStage(&h.context)
		report(&h.context, table, "a", "v0")
		Expect(ordersAfter(orders, h, lease, view, table)).NotTo(BeEmpty())
		h.context.Now = h.context.Now.Add(time.Minute)
		lease.Down = true
		report(&h.context, table, "b", "v0")
		Expect(ordersAfter(orders, h, lease, view, table)).To(BeEmpty())
	})
})

// newLeaseHolder returns an entry VM that holds the lease, and its table.
func newLeaseHolder() (*entryVM, *fakes.Platform) {
	h, table := newEntryVM(0), fakes.NewPlatform()
	h.renewFor(table, 4*time.Second)
	return h, table
}

// renewFor advances the time by length while the lease is renewed over a table
// without failures.
func (h *entryVM) renewFor(table *fakes.Platform, length time.Duration) {
	for end := h.context.Now.Add(length); h.context.Now < end; {
		for _, effect := range h.run(h.context.Now.Add(step)) {
			answer, _ := table.Answer(effect)
			h.inbox = append(h.inbox, message{at: h.context.Now, ev: answer})
		}
	}
}

// twoTargetStage returns settings with one stage of the targets a and b, and a table
// of these targets.
func twoTargetStage(c *decision.Context) (*settings.View, *targets.Table) {
	tree := settings.NewTree()
	tree.Teams["platform"] = &settings.Team{Pipelines: map[model.PipelineID]*settings.Pipeline{pipeline: {
		Model: "m", Version: "v1",
		Stages: []settings.Stage{{Layers: model.LayerRange{End: 8}, Targets: []model.TargetID{"a", "b"}}},
	}}}
	table := targets.New()
	table.ApplyVMList(c, []event.VM{{ID: "a", Incarnation: 1, Role: event.RoleEngine}, {ID: "b", Incarnation: 1, Role: event.RoleEngine}})
	return settings.NewView(tree), table
}

func report(c *decision.Context, table *targets.Table, id model.TargetID, version model.ModelVersion) {
	table.Reported(c, event.EngineReported{Target: id, Incarnation: 1, Model: "m", Version: version, Layers: model.LayerRange{End: 8}})
}

// ordersAfter reconciles now and two seconds later, when an idle target counts as
// drained, and returns the orders sent then.
func ordersAfter(orders *leases.Orders, h *entryVM, lease *fakes.Platform, view *settings.View, table *targets.Table) []event.SendOrder {
	orders.Reconcile(&h.context, pipeline, view, table)
	h.renewFor(lease, 2*time.Second)
	h.context.Effects = nil
	orders.Reconcile(&h.context, pipeline, view, table)
	var sent []event.SendOrder
	for _, effect := range h.context.Effects {
		if order, ok := effect.(event.SendOrder); ok {
			sent = append(sent, order)
		}
	}
	return sent
}
