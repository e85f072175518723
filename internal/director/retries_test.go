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
