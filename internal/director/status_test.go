package director_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

var _ = Describe("what a VM says of itself", func() {
	It("names holders, holes and the state of targets", func() {
		w := newWorld()
		Expect(w.state.Status(w.now).ConfirmedMs).To(BeEquivalentTo(-1))
		w.add("a1", llm, "a", 0, 40)
		w.add("a2", llm, "a", 60, 80)
		w.add("b1", llm, "b", 0, 80)
		w.add("o1", orders, "a", 0, 0)
		w.read()
		_, e := w.arrive("/r/x")
		sent(e)
		w.change("o1", func(t *fleet.Target) { t.State = fleet.TargetDraining })
		w.read()
		w.state.Step(w.now, director.ReportRead{Target: "a1"})
		w.pass(100 * time.Millisecond)
		status := w.state.Status(w.now)
		Expect(status.InFlight).To(Equal(1))
		Expect(status.ConfirmedMs).To(BeEquivalentTo(100))
		Expect(status.Holes).To(Equal([]director.Hole{{Service: llm, Zone: "a", Layers: model.LayerRange{First: 0, End: 60}}}))
		states := map[model.TargetID]string{}
		for _, t := range status.Targets {
			states[t.ID] = t.State
		}
		Expect(states).To(Equal(map[model.TargetID]string{"a1": "suspected", "a2": "ready", "b1": "ready", "o1": "draining"}))
		Expect(w.state.TargetStates(w.now)).To(Equal(map[string]int{"suspected": 1, "ready": 2, "draining": 1}))
	})
})
