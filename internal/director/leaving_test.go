package director_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
)

var _ = Describe("a target that stated that it leaves", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.addTarget("o1", orders, "a", 0, 0)
		h.addTarget("m1", llm, "a", 0, 80)
		h.read()
		id, e := h.arrive("/r/x")
		expectSend(e)
		h.state.Step(h.now, director.TargetLeaving{ID: id})
		h.state.Step(h.now, director.RequestFinished{ID: id, Delivered: true})
	})

	expectNoSend := func(h *harness) {
		_, e := h.arrive("/r/x")
		refusal := expectRefusal(e)
		ExpectWithOffset(1, refusal.Status).To(Equal(503))
		ExpectWithOffset(1, refusal.RetryAfter).To(BeNumerically(">", 0))
	}

	// Guards against a registration, or its return, that makes a leaving target ready again.
	DescribeTable("gets no new request after", func(event func()) {
		event()
		expectNoSend(h)
	},
		Entry("a read that says that it is ready", func() {
			h.changeTarget("o1", func(t *fleet.Target) { t.Slots++ })
			h.read()
		}),
		Entry("the end and return of its registration", func() {
			o1 := h.targets["o1"]
			delete(h.targets, "o1")
			h.read()
			h.targets["o1"] = o1
			h.read()
		}),
		Entry("the loss of the store", func() { h.state.Step(h.now, director.StoreFailed{}) }),
	)

	It("gets requests again as its next incarnation", func() {
		h.changeTarget("o1", func(t *fleet.Target) { t.StartedMs = 2 })
		h.read()
		_, e := h.arrive("/r/x")
		expectSend(e)
	})

	It("gets no new request from other VMs, nor from one that starts", func() {
		other := h.peer("vm-2")
		exchange([]*harness{h, other})
		expectNoSend(other)
		third := h.peer("vm-3")
		exchange([]*harness{other, third})
		expectNoSend(third)
	})

	It("gets no layers, by its word in a report", func() {
		h.state.Step(h.now, director.ReportRead{Target: "m1", Report: &fleet.Report{Slowdown: 1, StartedMs: 1, Leaving: true}})
		Expect(h.state.Placeable(h.now)[0].Targets).To(BeEmpty())
	})
})
