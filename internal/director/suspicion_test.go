package director_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

var _ = Describe("what others say of a target", func() {
	var w *world
	BeforeEach(func() {
		w = newWorld()
		w.add("a1", llm, "a", 0, 40)
		w.add("a2", llm, "a", 40, 80)
		w.read()
	})

	stream := func() director.Effect {
		id, e := w.arrive("/s/x")
		if _, ok := e.(*director.Send); ok {
			w.state.Step(w.now, director.Began{ID: id})
		}
		return e
	}
	hear := func(age time.Duration) {
		suspicion := director.Suspicion{Left: 2 * time.Second, Age: age}
		w.state.Step(w.now, director.PeerHeard{VM: "vm-b", Suspects: map[model.TargetID]director.Suspicion{"a1": suspicion, "a2": suspicion}})
	}

	// Pattern: a zone returns from a cut, and its VM says that all targets beyond
	// it were at fault (lacing-fleet, trouble-2, second 39).
	It("does not outweigh answers that came through it since", func() {
		sent(stream())
		w.pass(100 * time.Millisecond)
		hear(300 * time.Millisecond)
		sent(stream())
	})

	It("counts when no answer came through it since", func() {
		sent(stream())
		w.pass(500 * time.Millisecond)
		hear(100 * time.Millisecond)
		refused(stream())
	})

	// Pattern: a target is named as stalled while other paths flow through it.
	It("is overruled by an answer that comes through it later", func() {
		id, e := w.arrive("/s/x")
		sent(e)
		w.state.Step(w.now, director.ReportRead{Target: "a1", Report: &fleet.Report{Pace: 1, Stalled: []string{"at-a2"}}})
		refused(stream())
		w.pass(100 * time.Millisecond)
		w.state.Step(w.now, director.Began{ID: id})
		sent(stream())
	})

	// Pattern: targets drain while the store is away; each answers its report and
	// refuses requests, and sends to it would spend the retry budget
	// (lacing-fleet-grown, trouble-3, second 28).
	It("does not bring a target back that refuses requests", func() {
		id, e := w.arrive("/s/x")
		sent(e)
		w.state.Step(w.now, director.SendEnded{ID: id, Outcome: director.Rejected, FaultAt: "at-a2", Took: time.Millisecond})
		w.pass(100 * time.Millisecond)
		w.state.Step(w.now, director.ReportRead{Target: "a2", Report: &fleet.Report{Pace: 1}})
		refused(stream())
		w.pass(time.Second)
		sent(stream())
	})

	// Pattern: a target is ordered to take other layers; streams that it gave up
	// name it as stalled, and so did a rejection before its registration changed.
	It("does not keep a target out that holds new layers", func() {
		id, e := w.arrive("/s/x")
		sent(e)
		w.add("a3", llm, "a", 40, 80)
		w.read()
		w.state.Step(w.now, director.ReportRead{Target: "a1", Report: &fleet.Report{Pace: 1, Stalled: []string{"at-a2"}}})
		w.change("a2", func(t *fleet.Target) { t.Held = model.LayerRange{First: 30, End: 60} })
		w.change("a3", func(t *fleet.Target) { t.Held = model.LayerRange{First: 60, End: 80} })
		w.read()
		w.state.Step(w.now, director.ReportRead{Target: "a1", Report: &fleet.Report{Pace: 1, Stalled: []string{"at-a2"}}})
		sent(stream())
		_, ok := last(w.state.Step(w.now, director.Quiet{ID: id, For: 310 * time.Millisecond})).(*director.Divert)
		Expect(ok).To(BeTrue(), "the stream's hop gave its layers up")
	})

	// Pattern: the only holder of some layers is suspected; it is asked for its
	// report and used as soon as it answers, not after the suspicion.
	It("does not keep a layer's only holder out once it answers for itself", func() {
		w.state.Step(w.now, director.ReportRead{Target: "a1", Report: &fleet.Report{Pace: 1, Stalled: []string{"at-a2"}}})
		Expect(refused(stream()).Reason).To(ContainSubstring("no usable target"))
		w.pass(260 * time.Millisecond)
		asked := []model.TargetID{}
		for _, e := range w.state.Step(w.now, director.ProbeDue{}) {
			if ask, ok := e.(*director.AskReport); ok {
				asked = append(asked, ask.Target)
			}
		}
		Expect(asked).To(ContainElement(model.TargetID("a2")))
		w.state.Step(w.now, director.ReportRead{Target: "a2", Report: &fleet.Report{Pace: 1}})
		sent(stream())
	})
})

var _ = Describe("a path with a full target", func() {
	// Pattern: one target of the home zone is full, and another zone has room.
	It("is left for one with room, before the request is refused", func() {
		w := newWorld()
		w.add("a1", llm, "a", 0, 40)
		w.add("a2", llm, "a", 40, 80)
		w.add("b1", llm, "b", 0, 40)
		w.add("b2", llm, "b", 40, 80)
		w.read()
		w.state.Step(w.now, director.PeerHeard{VM: "vm-2", Loads: map[model.TargetID]director.Load{"a2": {Requests: 80, TokenLayers: 2.6e6}}})
		w.state.Step(w.now, director.PeerHeard{VM: "vm-3", Paces: map[model.TargetID]float64{"b1": 12, "b2": 12}})
		_, e := w.arrive("/s/x")
		Expect(sent(e).Hops[0].Target).To(BeEquivalentTo("b1"))
	})
})

var _ = Describe("an order that gives layers up", func() {
	// Pattern: some targets turn many times slower; the order that replaces one
	// waited ten seconds for streams that crept (lacing-fleet-grown, trouble-2).
	It("interrupts requests only where all of them may go on elsewhere", func() {
		w := newWorld()
		w.add("a1", llm, "a", 0, 80)
		w.read()
		Expect(w.state.Placeable(w.now)[0].Interruptible).To(BeTrue())
		next := config(8)
		next.Routes = append(next.Routes, fleet.Route{
			Name: "once-stream", Host: "h", Prefix: "/o/", Kind: fleet.Stream, MaxTargets: 1,
			Split: []fleet.WeightedService{{Service: llm, Weight: 1}},
		})
		w.state.Step(w.now, director.ConfigRead{Config: next, Started: w.now})
		Expect(w.state.Placeable(w.now)[0].Interruptible).To(BeFalse())
	})
})

var _ = Describe("an address that another life has taken", func() {
	var w *world
	BeforeEach(func() {
		w = newWorld()
		w.add("a1", llm, "a", 0, 40)
		w.add("a2", llm, "a", 0, 40)
		w.add("a9", llm, "a", 40, 80)
		w.read()
	})

	// Pattern: a target crashes while the store is away and comes back under
	// another id (lacing-fleet-grown, trouble-3, second 28).
	It("ends the target that was there before, also while lapsed ones are waited for", func() {
		w.state.Step(w.now, director.StoreFailed{})
		w.pass(8 * time.Second)
		delete(w.targets, "a1")
		w.add("a3", llm, "a", 0, 0)
		w.change("a3", func(t *fleet.Target) { t.Address, t.Born = "at-a1", 2 })
		w.read()
		for range 20 {
			_, e := w.arrive("/s/x")
			Expect(sent(e).Hops[0].Target).To(BeEquivalentTo("a2"))
		}
	})

	It("is seen by its report before its registration", func() {
		w.state.Step(w.now, director.ReportRead{Target: "a1", Report: &fleet.Report{Pace: 1, Born: 2}})
		for range 20 {
			_, e := w.arrive("/s/x")
			Expect(sent(e).Hops[0].Target).To(BeEquivalentTo("a2"))
		}
		w.change("a1", func(t *fleet.Target) { t.Born = 2 })
		delete(w.targets, "a2")
		w.read()
		_, e := w.arrive("/s/x")
		sent(e)
	})
})

var _ = Describe("faults in a row", func() {
	// Pattern: a draining target refuses what comes and finishes what it has; each
	// VM asked it again every 400 ms.
	It("are not forgotten for an answer to a request from before them", func() {
		w := newWorld()
		w.add("a1", llm, "a", 0, 40)
		w.add("a2", llm, "a", 40, 80)
		w.read()
		earlier := []model.RequestID{}
		for range 2 {
			id, e := w.arrive("/s/x")
			sent(e)
			earlier = append(earlier, id)
		}
		for _, id := range earlier {
			w.pass(500 * time.Millisecond)
			next, e := w.arrive("/s/x")
			if _, ok := e.(*director.Send); ok {
				w.state.Step(w.now, director.SendEnded{ID: next, Outcome: director.Rejected, FaultAt: "at-a2", Took: time.Millisecond})
			}
			w.state.Step(w.now, director.Finished{ID: id, Delivered: true})
		}
		w.pass(500 * time.Millisecond)
		_, e := w.arrive("/s/x")
		refused(e)
	})
})
