package director_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

var _ = Describe("the bound of a route on targets that may have run a request", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		for _, id := range []model.TargetID{"a1", "a2", "a3"} {
			h.addTarget(id, llm, "a", 0, 40)
		}
		h.addTarget("a4", llm, "a", 40, 80)
		h.addTarget("o1", orders, "a", 0, 0)
		h.addTarget("o2", orders, "a", 0, 0)
		h.addTarget("o3", orders, "a", 0, 0)
		h.read()
	})

	// runs counts the targets that ran a request of a route with a bound of 2; each of
	// its sends is lost, and then changed is applied to the target.
	runs := func(path string, changed func(model.TargetID)) int {
		id, e := h.arrive(path)
		ran := map[model.TargetID]bool{}
		for {
			send, ok := e.(*director.Send)
			if !ok {
				expectRefusal(e)
				return len(ran)
			}
			target := send.Hops[0].Target
			ran[target] = true
			changed(target)
			e = h.endSend(id, director.Lost)
		}
	}

	// Guards against targets that are too slow to answer two report requests, go on
	// running the request and are no longer counted.
	It("counts targets that only miss report requests", func() {
		Expect(runs("/s/x", func(id model.TargetID) {
			h.state.Step(h.now, director.ReportRead{Target: id})
			h.state.Step(h.now, director.ReportRead{Target: id})
		})).To(Equal(2))
	})

	// missReports misses a target's reports for longer than any bound, while the VM reaches
	// another target.
	missReports := func(id model.TargetID) {
		for range 8 {
			h.advance(300 * time.Millisecond)
			h.state.Step(h.now, director.ReportRead{Target: "a4", Report: &fleet.Report{Slowdown: 1, StartedMs: 1}})
			h.state.Step(h.now, director.ReportRead{Target: id})
		}
	}

	// Guards against a target that leaves, takes no new connections, and finishes the
	// requests that it runs.
	It("counts a draining target that answers no reports", func() {
		Expect(runs("/s/x", func(id model.TargetID) {
			h.changeTarget(id, func(t *fleet.Target) { t.State = fleet.TargetDraining })
			h.read()
			missReports(id)
		})).To(Equal(2))
	})

	// Guards against streams that fail although the targets that ran them have crashed.
	It("does not count a target that has stopped", func() {
		Expect(runs("/s/x", missReports)).To(Equal(3))
	})

	// Guards against a target that ended, started again under its id and ran the
	// request again, and is taken for the incarnation that ended.
	It("counts a later incarnation that ran the request again", func() {
		id, e := h.arrive("/s/x")
		first := expectSend(e).Hops[0].Target
		h.state.Step(h.now, director.AnswerStarted{ID: id})
		hold := func(others model.LayerRange) {
			for _, other := range []model.TargetID{"a1", "a2", "a3"} {
				if other != first {
					h.changeTarget(other, func(t *fleet.Target) { t.Held = others })
				}
			}
			h.read()
		}
		hold(model.LayerRange{})
		wait, ok := h.endSend(id, director.Broken).(*director.Wait)
		Expect(ok).To(BeTrue())
		h.changeTarget(first, func(t *fleet.Target) { t.StartedMs++ })
		h.read()
		h.advance(wait.For)
		again := lastEffect(h.state.Step(h.now, director.WaitElapsed{ID: id}))
		Expect(expectSend(again).Hops[0].Target).To(Equal(first))
		hold(model.LayerRange{End: 40})
		ran := map[model.TargetID]bool{first: true}
		for send, ok := h.endSend(id, director.Broken).(*director.Send); ok; send, ok = h.endSend(id, director.Broken).(*director.Send) {
			ran[send.Hops[0].Target] = true
		}
		Expect(ran).To(HaveLen(2))
	})

	// Guards against a target that ended, started again under its id and is used as one
	// that has run the request already, when two others have.
	It("counts the next incarnation of a target that ended as another target", func() {
		id, e := h.arrive("/s/x")
		ended := expectSend(e).Hops[0].Target
		h.state.Step(h.now, director.ReportRead{Target: ended, Report: &fleet.Report{Slowdown: 1, StartedMs: 2}})
		running := map[model.TargetID]bool{}
		for range 2 {
			e = h.endSend(id, director.Lost)
			running[expectSend(e).Hops[0].Target] = true
		}
		Expect(running).To(And(HaveLen(2), Not(HaveKey(ended))))
		h.changeTarget(ended, func(t *fleet.Target) { t.StartedMs = 2 })
		h.read()
		if send, ok := h.endSend(id, director.Lost).(*director.Send); ok {
			running[send.Hops[0].Target] = true
		}
		Expect(running).To(HaveLen(2))
	})
})
