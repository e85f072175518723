package director_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

var _ = Describe("the status of a VM", func() {
	It("lists holders, missing layers and the state of targets", func() {
		h := newHarness()
		Expect(h.state.Status(h.now).ConfirmedMs).To(BeEquivalentTo(-1))
		h.addTarget("a1", llm, "a", 0, 40)
		h.addTarget("a2", llm, "a", 60, 80)
		h.addTarget("b1", llm, "b", 0, 40)
		h.addTarget("b2", llm, "b", 40, 80)
		h.addTarget("o1", orders, "a", 0, 0)
		h.read()
		_, e := h.arrive("/r/x")
		expectSend(e)
		h.changeTarget("o1", func(t *fleet.Target) { t.State = fleet.TargetDraining })
		h.read()
		h.state.Step(h.now, director.ReportRead{Target: "a1"})
		h.advance(100 * time.Millisecond)
		status := h.state.Status(h.now)
		Expect(status.InFlight).To(Equal(1))
		Expect(status.ConfirmedMs).To(BeEquivalentTo(100))
		Expect(status.Holes).To(Equal([]director.MissingLayers{{Service: llm, Zone: "a", Layers: model.LayerRange{First: 0, End: 60}}}))
		states := map[model.TargetID]string{}
		for _, t := range status.Targets {
			states[t.ID] = t.State
		}
		Expect(states).To(Equal(map[model.TargetID]string{"a1": "suspected", "a2": "ready", "b1": "ready", "b2": "ready", "o1": "draining"}))
		Expect(h.state.TargetStates(h.now)).To(Equal(map[string]int{"suspected": 1, "ready": 3, "draining": 1}))
	})
})

var _ = Describe("the refusal of a request without a usable target", func() {
	// Guards against a refusal whose log line does not tell which layers are missing and
	// which targets this VM does not reach.
	It("states the targets by state, the missing layers and the last fault", func() {
		h := newHarness()
		h.addTarget("m1", llm, "a", 0, 40)
		h.addTarget("m2", llm, "a", 40, 80)
		h.read()
		id, e := h.arrive("/s/x")
		expectSend(e)
		h.advance(400 * time.Millisecond)
		Expect(expectRefusal(h.endSend(id, director.NotSent)).Detail).To(And(
			ContainSubstring("targets of llm: 2, ready 1, draining 0, suspected 1, dead 0"),
			ContainSubstring("no usable target for layers [0,40)"), ContainSubstring("last fault on m1, observed by this VM 0s ago")))
		_, e = h.arrive("/s/y")
		Expect(expectRefusal(e).Detail).To(ContainSubstring("layers [0,40)"))
	})
})
