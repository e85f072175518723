package director_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

var _ = Describe("a fault reported by others", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.addTarget("a1", llm, "a", 0, 40)
		h.addTarget("a2", llm, "a", 40, 80)
		h.read()
	})

	stream := func() director.Effect {
		id, e := h.arrive("/s/x")
		if _, ok := e.(*director.Send); ok {
			h.state.Step(h.now, director.AnswerStarted{ID: id})
		}
		return e
	}
	reportSuspicion := func(age time.Duration) {
		suspicion := director.Suspicion{Remaining: 2 * time.Second, Age: age}
		h.state.Step(h.now, director.PeerState{VM: "vm-b", Suspects: map[model.TargetID]director.Suspicion{"a1": suspicion, "a2": suspicion}})
	}

	// Pattern: after a partition of its zone, a VM reports all targets outside the zone
	// as faulty (lacing-fleet, trouble-2, second 39).
	It("does not override answers received through the target since", func() {
		expectSend(stream())
		h.advance(100 * time.Millisecond)
		reportSuspicion(300 * time.Millisecond)
		expectSend(stream())
	})

	It("counts when no answer was received through the target since", func() {
		expectSend(stream())
		h.advance(500 * time.Millisecond)
		reportSuspicion(100 * time.Millisecond)
		expectRefusal(stream())
	})

	// Pattern: a target is reported as stalled while other paths through it make
	// progress.
	It("is overridden by a later answer through the target", func() {
		id, e := h.arrive("/s/x")
		expectSend(e)
		h.state.Step(h.now, director.ReportRead{Target: "a1", Report: &fleet.Report{Slowdown: 1, Stalled: []string{"at-a2"}}})
		expectRefusal(stream())
		h.advance(100 * time.Millisecond)
		h.state.Step(h.now, director.AnswerStarted{ID: id})
		expectSend(stream())
	})

	// Pattern: targets drain while the store is unreachable. Each answers report
	// requests and rejects all others, so sends to it would exhaust the retry budget
	// (lacing-fleet-grown, trouble-3, second 28).
	It("is not cleared by the report of a target that rejects requests", func() {
		id, e := h.arrive("/s/x")
		expectSend(e)
		h.state.Step(h.now, director.SendEnded{ID: id, Outcome: director.Rejected, FaultAt: "at-a2", Took: time.Millisecond})
		h.advance(100 * time.Millisecond)
		h.state.Step(h.now, director.ReportRead{Target: "a2", Report: &fleet.Report{Slowdown: 1}})
		expectRefusal(stream())
		h.advance(time.Second)
		expectSend(stream())
	})

	// Pattern: a target is ordered to hold other layers. Streams through its released
	// layers report it as stalled, as does a rejection before its registration changes.
	It("does not exclude a target that holds new layers", func() {
		id, e := h.arrive("/s/x")
		expectSend(e)
		h.addTarget("a3", llm, "a", 40, 80)
		h.read()
		h.state.Step(h.now, director.ReportRead{Target: "a1", Report: &fleet.Report{Slowdown: 1, Stalled: []string{"at-a2"}}})
		h.changeTarget("a2", func(t *fleet.Target) { t.Held = model.LayerRange{First: 30, End: 60} })
		h.changeTarget("a3", func(t *fleet.Target) { t.Held = model.LayerRange{First: 60, End: 80} })
		h.read()
		h.state.Step(h.now, director.ReportRead{Target: "a1", Report: &fleet.Report{Slowdown: 1, Stalled: []string{"at-a2"}}})
		expectSend(stream())
		_, ok := lastEffect(h.state.Step(h.now, director.StreamIdle{ID: id, For: 310 * time.Millisecond})).(*director.Divert)
		Expect(ok).To(BeTrue(), "the stream's hop released its layers")
	})

	// Pattern: the only holder of some layers is suspected. Its report is requested,
	// and it is used as soon as it answers, not after the suspicion.
	It("does not exclude a layer's only holder once it answers a report request", func() {
		h.state.Step(h.now, director.ReportRead{Target: "a1", Report: &fleet.Report{Slowdown: 1, Stalled: []string{"at-a2"}}})
		Expect(expectRefusal(stream()).Reason).To(ContainSubstring("no usable target"))
		h.advance(260 * time.Millisecond)
		requested := []model.TargetID{}
		for _, e := range h.state.Step(h.now, director.ProbeDue{}) {
			if request, ok := e.(*director.RequestReport); ok {
				requested = append(requested, request.Target)
			}
		}
		Expect(requested).To(ContainElement(model.TargetID("a2")))
		h.state.Step(h.now, director.ReportRead{Target: "a2", Report: &fleet.Report{Slowdown: 1}})
		expectSend(stream())
	})
})

var _ = Describe("a path with a full target", func() {
	// Pattern: one target of the home zone is full, and another zone has capacity.
	It("is replaced by one with capacity, before the request is refused", func() {
		h := newHarness()
		h.addTarget("a1", llm, "a", 0, 40)
		h.addTarget("a2", llm, "a", 40, 80)
		h.addTarget("b1", llm, "b", 0, 40)
		h.addTarget("b2", llm, "b", 40, 80)
		h.read()
		h.state.Step(h.now, director.PeerState{VM: "vm-2", Loads: map[model.TargetID]director.Load{"a2": {Requests: 80, TokenLayers: 2.6e6}}})
		h.state.Step(h.now, director.PeerState{VM: "vm-3", Paces: map[model.TargetID]float64{"b1": 12, "b2": 12}})
		_, e := h.arrive("/s/x")
		Expect(expectSend(e).Hops[0].Target).To(BeEquivalentTo("b1"))
	})
})

var _ = Describe("an order that releases layers", func() {
	// Pattern: some targets become many times slower, and the order that replaces one
	// waits ten seconds for slow streams (lacing-fleet-grown, trouble-2).
	It("interrupts requests only where all of them may be repeated", func() {
		h := newHarness()
		h.addTarget("a1", llm, "a", 0, 80)
		h.read()
		Expect(h.state.Placeable(h.now)[0].Interruptible).To(BeTrue())
		next := config(8)
		next.Routes = append(next.Routes, fleet.Route{
			Name: "once-stream", Host: "h", Prefix: "/o/", Kind: fleet.Stream, MaxTargets: 1,
			Split: []fleet.WeightedService{{Service: llm, Weight: 1}},
		})
		h.state.Step(h.now, director.ConfigRead{Config: next, Started: h.now})
		Expect(h.state.Placeable(h.now)[0].Interruptible).To(BeFalse())
	})
})

var _ = Describe("an address taken by another incarnation", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.addTarget("a1", llm, "a", 0, 40)
		h.addTarget("a2", llm, "a", 0, 40)
		h.addTarget("a9", llm, "a", 40, 80)
		h.read()
	})

	// Pattern: a target crashes while the store is unreachable and restarts under
	// another id (lacing-fleet-grown, trouble-3, second 28).
	It("removes the previous target, also during the grace period of lapsed registrations", func() {
		h.state.Step(h.now, director.StoreFailed{})
		h.advance(8 * time.Second)
		delete(h.targets, "a1")
		h.addTarget("a3", llm, "a", 0, 0)
		h.changeTarget("a3", func(t *fleet.Target) { t.Address, t.StartedMs = "at-a1", 2 })
		h.read()
		for range 20 {
			_, e := h.arrive("/s/x")
			Expect(expectSend(e).Hops[0].Target).To(BeEquivalentTo("a2"))
		}
	})

	It("is detected by a report before the registration", func() {
		h.state.Step(h.now, director.ReportRead{Target: "a1", Report: &fleet.Report{Slowdown: 1, StartedMs: 2}})
		for range 20 {
			_, e := h.arrive("/s/x")
			Expect(expectSend(e).Hops[0].Target).To(BeEquivalentTo("a2"))
		}
		h.changeTarget("a1", func(t *fleet.Target) { t.StartedMs = 2 })
		delete(h.targets, "a2")
		h.read()
		_, e := h.arrive("/s/x")
		expectSend(e)
	})
})

var _ = Describe("consecutive faults", func() {
	// Pattern: a draining target rejects new requests and completes those in flight;
	// each VM sends to it again every 400 ms.
	It("are not reset by an answer to a request sent before them", func() {
		h := newHarness()
		h.addTarget("a1", llm, "a", 0, 40)
		h.addTarget("a2", llm, "a", 40, 80)
		h.read()
		earlier := []model.RequestID{}
		for range 2 {
			id, e := h.arrive("/s/x")
			expectSend(e)
			earlier = append(earlier, id)
		}
		for _, id := range earlier {
			h.advance(500 * time.Millisecond)
			next, e := h.arrive("/s/x")
			if _, ok := e.(*director.Send); ok {
				h.state.Step(h.now, director.SendEnded{ID: next, Outcome: director.Rejected, FaultAt: "at-a2", Took: time.Millisecond})
			}
			h.state.Step(h.now, director.RequestFinished{ID: id, Delivered: true})
		}
		h.advance(500 * time.Millisecond)
		_, e := h.arrive("/s/x")
		expectRefusal(e)
	})
})
