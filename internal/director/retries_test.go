package director_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

// budgetOf returns the retry budget of a service.
func (h *harness) budgetOf(service model.ServiceID) director.RetryBudget {
	for _, b := range h.state.RetryBudgets(h.now) {
		if b.Service == service {
			return b
		}
	}
	Fail("no budget of " + string(service))
	return director.RetryBudget{}
}

// stateChanges returns the texts of the state changes among effects.
func stateChanges(effects []director.Effect) (out []string) {
	for _, e := range effects {
		if change, ok := e.(*director.StateChanged); ok {
			out = append(out, change.What)
		}
	}
	return out
}

var _ = Describe("the figures of the retry budget", func() {
	// Guards against retries that cannot be attributed afterwards to a service, a cause
	// and a VM, and against a log line for each refused retry.
	It("count each retry by cause, and report each exhaustion and recovery once", func() {
		h := newHarness()
		h.addTarget("o1", orders, "a", 0, 0)
		h.addTarget("o2", orders, "b", 0, 0)
		h.read()
		h.state.Step(h.now, director.VMsCounted{Count: 2})
		h.advance(10 * time.Second)
		h.read()
		changes := []string{}
		step := func(e director.Event) director.Effect {
			effects := h.state.Step(h.now, e)
			for _, what := range stateChanges(effects) {
				if what != "target suspected" {
					changes = append(changes, what)
				}
			}
			return lastEffect(effects)
		}
		reject := func() {
			h.requests++
			id := model.RequestID(fmt.Sprint("q", h.requests))
			expectSend(step(director.RequestArrived{Request: &fleet.Request{ID: id, Host: "h", Path: "/r/x", Key: "key", HasKey: true}}))
			step(director.SendEnded{ID: id, Outcome: director.Rejected, Random: 0.5})
			step(director.RequestFinished{ID: id})
		}
		for range 15 {
			reject()
		}
		b := h.budgetOf(orders)
		Expect(b.FirstAttempts).To(Equal(15))
		Expect(b.VMs).To(Equal(2))
		Expect(b.Spent).To(Equal(b.Granted["rejected"]))
		Expect(float64(b.Spent)).To(BeNumerically("~", b.Limit, 1))
		Expect(b.Granted["rejected"] + b.Refused["rejected"]).To(Equal(15))
		Expect(b.Refused["rejected"]).To(BeNumerically(">", 1))
		Expect(changes).To(Equal([]string{"retry budget exhausted"}))
		h.advance(12 * time.Second)
		h.read()
		reject()
		Expect(changes).To(Equal([]string{"retry budget exhausted", "retry budget restored"}))
		Expect(h.budgetOf(orders).Spent).To(Equal(1))
		Expect(h.budgetOf(llm).Granted).To(BeEmpty())
	})
})

var _ = Describe("the retry budget of a VM", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.addTarget("a1", llm, "a", 0, 40)
		h.addTarget("a2", llm, "a", 40, 80)
		h.addTarget("a3", llm, "a", 40, 80)
		h.addTarget("o1", orders, "a", 0, 0)
		h.addTarget("o2", orders, "b", 0, 0)
		h.read()
	})

	// Guards against a VM that takes the whole slack until it has read how many VMs
	// share it.
	It("has no slack before the number of VMs is known", func() {
		h.state = director.New(harnessSettings)
		h.read()
		for range 20 {
			id, e := h.arrive("/r/x")
			expectSend(e)
			h.endSend(id, director.Rejected)
			h.state.Step(h.now, director.RequestFinished{ID: id})
		}
		Expect(h.budgetOf(orders).Spent).To(BeNumerically("<=", 20*harnessSettings.Retries.Ratio))
	})

	holdLayers := func() {
		for _, id := range []model.TargetID{"a2", "a3"} {
			h.changeTarget(id, func(t *fleet.Target) { t.Held = model.LayerRange{First: 40, End: 80} })
		}
		h.read()
	}

	// Guards against a VM that keeps its share of the slack when another joins while the
	// store is unreachable.
	It("shares its slack with VMs that send messages and are not listed yet", func() {
		for n := range 3 {
			for range 2 {
				h.state.Step(h.now, director.PeerState{VM: model.NodeID(fmt.Sprint("vm-", 2+n))})
				Expect(h.budgetOf(orders).VMs).To(Equal(2 + n))
			}
		}
		h.state.Step(h.now, director.VMsCounted{Count: 2})
		Expect(h.budgetOf(orders).VMs).To(Equal(4))
		h.state.Step(h.now, director.VMsCounted{Count: 6})
		Expect(h.budgetOf(orders).VMs).To(Equal(6))
	})

	// Guards against messages of some VMs that are taken for the number of all.
	It("does not know the number of VMs from messages alone", func() {
		h.state = director.New(harnessSettings)
		h.read()
		h.state.Step(h.now, director.PeerState{VM: "vm-2"})
		Expect(h.budgetOf(orders).VMs).To(BeZero())
	})

	// waiting returns a started stream that was diverted and waits for a path, with its
	// retry taken from the budget.
	waiting := func() model.RequestID {
		holdLayers()
		id, e := h.arrive("/s/x")
		at := expectSend(e).Hops[1].Target
		h.state.Step(h.now, director.AnswerStarted{ID: id})
		h.changeTarget(at, func(t *fleet.Target) { t.Held = model.LayerRange{} })
		h.read()
		Expect(lastEffect(h.state.Step(h.now, director.StreamIdle{ID: id, For: time.Second}))).To(BeAssignableToTypeOf(&director.Divert{}))
		for _, other := range []model.TargetID{"a2", "a3"} {
			h.changeTarget(other, func(t *fleet.Target) { t.Held = model.LayerRange{} })
		}
		h.read()
		Expect(h.endSend(id, director.Diverted)).To(BeAssignableToTypeOf(&director.Wait{}))
		return id
	}

	// Guards against a retry that was taken at the divert, sent seconds later and
	// dropped from the count a window after the divert: its window then holds it and a
	// whole budget besides.
	It("counts a retry that waits for a path when it is sent", func() {
		id := waiting()
		h.advance(1800 * time.Millisecond)
		holdLayers()
		expectSend(lastEffect(h.state.Step(h.now, director.WaitElapsed{ID: id})))
		h.advance(harnessSettings.Retries.Window - 100*time.Millisecond)
		Expect(h.budgetOf(llm).Spent).To(Equal(1))
	})

	// Guards against retries that are taken from the budget and never sent.
	It("returns a retry that is not sent", func() {
		id := waiting()
		Expect(h.budgetOf(llm).Spent).To(Equal(1))
		h.state.Step(h.now, director.RequestFinished{ID: id})
		Expect(h.budgetOf(llm).Spent).To(BeZero())
		id = waiting()
		h.advance(19900 * time.Millisecond)
		expectRefusal(lastEffect(h.state.Step(h.now, director.WaitElapsed{ID: id})))
		Expect(h.budgetOf(llm).Spent).To(BeZero())
	})
})

var _ = Describe("a retry after an error", func() {
	fail := func(h *harness, id model.RequestID) director.Effect {
		return lastEffect(h.state.Step(h.now, director.SendEnded{ID: id, Outcome: director.Failed, Status: 500, Random: 0.5}))
	}

	// Guards against retries that spend the budget on the target that has just failed them,
	// while no other path exists: they fail again, and other requests are denied theirs.
	It("is not sent to the target that failed it, mostly fails and is the only one", func() {
		h := newHarness()
		h.addTarget("f", llm, "a", 0, 40)
		h.addTarget("later", llm, "a", 40, 80)
		h.read()
		for range 6 {
			id, e := h.arrive("/s/x")
			expectSend(e)
			if send, again := fail(h, id).(*director.Send); again {
				Expect(send.Hops[0].Target).To(BeEquivalentTo("f"))
				fail(h, id)
			}
			h.state.Step(h.now, director.RequestFinished{ID: id})
		}
		Expect(h.budgetOf(llm).Spent).To(BeNumerically("<=", 2))
		h.addTarget("g", llm, "b", 0, 40)
		h.read()
		id, e := h.arrive("/s/x")
		for expectSend(e).Hops[0].Target != "f" {
			id, e = h.arrive("/s/x")
		}
		Expect(expectSend(fail(h, id)).Hops[0].Target).To(BeEquivalentTo("g"))
	})

	It("avoids the first hop that failed the request before that is ejected", func() {
		h := newHarness()
		h.addTarget("f", llm, "a", 0, 40)
		h.addTarget("later", llm, "a", 40, 80)
		h.addTarget("g", llm, "b", 0, 40)
		h.read()
		id, e := h.arrive("/s/x")
		Expect(expectSend(e).Hops[0].Target).To(BeEquivalentTo("f"))
		Expect(expectSend(fail(h, id)).Hops[0].Target).To(BeEquivalentTo("g"))
		Expect(h.state.EjectedTargets(h.now)).To(BeEmpty())
	})

	// A rejection promises that the request has not run: it is a matter of load.
	It("counts no rejection as an error", func() {
		h := newHarness()
		h.addTarget("f", orders, "a", 0, 0)
		h.read()
		for range 20 {
			id, _ := h.arrive("/r/x")
			h.endSend(id, director.Rejected)
			h.state.Step(h.now, director.RequestFinished{ID: id})
			h.advance(10 * time.Millisecond)
		}
		Expect(h.state.OwnPeerState(h.now).Outliers.Empty()).To(BeTrue())
	})
})
