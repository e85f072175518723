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

// holder is one entry VM with its lease table and timers.
type holder struct {
	context decision.Context
	leases  *leases.Table
	inbox   []message
	paused  model.Instant
}

// message is something that arrives at an instant.
type message struct {
	at model.Instant
	ev event.Event
}

func newHolder(i int) *holder {
	h := &holder{
		context: decision.Context{Timers: timer.New(), Rand: rand.New(rand.NewPCG(1, uint64(i)))},
		leases:  leases.New(model.NodeID(fmt.Sprintf("node-%d", i)), 1),
	}
	h.leases.Track(&h.context, []model.PipelineID{pipeline})
	return h
}

// run fires due timers and delivers what has arrived, unless paused.
func (h *holder) run(now model.Instant) []event.Effect {
	if now < h.paused {
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

func (h *holder) holds(now model.Instant) bool {
	left, _ := h.leases.HeldFor(now, pipeline)
	return now >= h.paused && left > 0
}

// world is a set of holders over one table, with a network that delays, loses
// and reorders.
type world struct {
	random  *rand.Rand
	table   *fakes.Platform
	holders []*holder
	// late are writes that take effect later; their answers are lost.
	late []lateWrite
}

type lateWrite struct {
	at     model.Instant
	effect event.Transact
}

func newWorld(seed uint64, nodes int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 0)), table: fakes.NewPlatform()}
	for i := range nodes {
		w.holders = append(w.holders, newHolder(i))
	}
	return w
}

func (w *world) upTo(most time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(most)))
}

// step runs every holder once, with pauses, outages and lost answers.
func (w *world) step(now model.Instant) {
	w.table.Down = now.Sub(0)%(40*time.Second) > 30*time.Second
	w.arriveLate(now)
	for _, h := range w.holders {
		if w.random.IntN(400) == 0 {
			h.paused = now.Add(w.upTo(12 * time.Second))
		}
		for _, effect := range h.run(now) {
			h.inbox = append(h.inbox, message{at: now.Add(w.upTo(300 * time.Millisecond)), ev: w.send(now, effect)})
		}
	}
}

func (w *world) send(now model.Instant, effect event.Effect) event.Event {
	if transact, ok := effect.(event.Transact); ok && w.random.IntN(10) == 0 {
		w.late = append(w.late, lateWrite{at: now.Add(w.upTo(9 * time.Second)), effect: transact})
		return event.TransactionUnknown{Transaction: transact.Transaction}
	}
	w.table.LoseAnswers = w.random.IntN(5) == 0
	answer, _ := w.table.Answer(effect)
	return answer
}

func (w *world) arriveLate(now model.Instant) {
	var later []lateWrite
	for _, write := range w.late {
		if write.at > now {
			later = append(later, write)
			continue
		}
		w.table.Answer(write.effect)
	}
	w.late = later
}

// holding returns, by holder, the fencing numbers of those who hold the lease.
func (w *world) holding(now model.Instant) map[int]model.FencingNumber {
	numbers := make(map[int]model.FencingNumber)
	for i, h := range w.holders {
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
				numbers := w.holding(now)
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
			Expect(held).To(BeNumerically(">", 0), "seed %d: nobody held the lease", seed)
		}
	})
})

var _ = Describe("orders", func() {
	It("undo an old order within seconds, one target of a stage at a time", func() {
		h, lease := acquired()
		orders := leases.NewOrders("node-0", h.leases, 1000)
		view, table := stageOfTwo(&h.context)
		report(&h.context, table, "a", "v1")
		report(&h.context, table, "b", "v1")
		Expect(ordersAfter(orders, h, lease, view, table)).To(BeEmpty())

		By("an old holder's order that a target did not refuse")
		report(&h.context, table, "a", "v0")
		Expect(ordersAfter(orders, h, lease, view, table)).To(ConsistOf(HaveField("Target", model.TargetID("a"))))
		Expect(ordersAfter(orders, h, lease, view, table)).To(BeEmpty(), "the order is on its way")

		By("a second target that differs while the first is being ordered")
		report(&h.context, table, "a", "v1")
		report(&h.context, table, "b", "v0")
		sent := ordersAfter(orders, h, lease, view, table)
		Expect(sent).To(ConsistOf(HaveField("Target", model.TargetID("b"))))
		Expect(sent[0].Version).To(Equal(model.ModelVersion("v1")))
		Expect(sent[0].ValidUntil).To(BeNumerically(">", h.context.Now))
	})

	It("are not given once the lease has lapsed", func() {
		h, lease := acquired()
		orders := leases.NewOrders("node-0", h.leases, 1000)
		view, table := stageOfTwo(&h.context)
		report(&h.context, table, "a", "v0")
		Expect(ordersAfter(orders, h, lease, view, table)).NotTo(BeEmpty())
		h.context.Now = h.context.Now.Add(time.Minute)
		lease.Down = true
		report(&h.context, table, "b", "v0")
		Expect(ordersAfter(orders, h, lease, view, table)).To(BeEmpty())
	})
})

// acquired returns a holder that has taken the lease over, and its table.
func acquired() (*holder, *fakes.Platform) {
	h, table := newHolder(0), fakes.NewPlatform()
	h.keep(table, 4*time.Second)
	return h, table
}

// keep renews the lease over an undisturbed table for a time.
func (h *holder) keep(table *fakes.Platform, length time.Duration) {
	for end := h.context.Now.Add(length); h.context.Now < end; {
		for _, effect := range h.run(h.context.Now.Add(step)) {
			answer, _ := table.Answer(effect)
			h.inbox = append(h.inbox, message{at: h.context.Now, ev: answer})
		}
	}
}

// stageOfTwo returns settings of one stage with targets a and b.
func stageOfTwo(c *decision.Context) (*settings.View, *targets.Table) {
	tree := settings.NewTree()
	tree.Teams["platform"] = &settings.Team{Pipelines: map[model.PipelineID]*settings.Pipeline{pipeline: {
		Model: "m", Version: "v1",
		Stages: []settings.Stage{{Layers: model.LayerRange{End: 8}, Targets: []model.TargetID{"a", "b"}}},
	}}}
	table := targets.New()
	table.Listed(c, []event.VM{{ID: "a", Incarnation: 1, Role: event.RoleEngine}, {ID: "b", Incarnation: 1, Role: event.RoleEngine}})
	return settings.NewView(tree), table
}

func report(c *decision.Context, table *targets.Table, id model.TargetID, version model.ModelVersion) {
	table.Reported(c, event.EngineReported{Target: id, Incarnation: 1, Model: "m", Version: version, Layers: model.LayerRange{End: 8}})
}

// ordersAfter compares now and two seconds later, when a target without work is
// taken for drained, and returns the orders sent then.
func ordersAfter(orders *leases.Orders, h *holder, lease *fakes.Platform, view *settings.View, table *targets.Table) []event.SendOrder {
	orders.Reconcile(&h.context, pipeline, view, table)
	h.keep(lease, 2*time.Second)
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
