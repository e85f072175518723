package director_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/model"
)

var _ = Describe("a demand that grows in one zone within seconds", func() {
	const calmSeconds, peakEnd, end = 6, 24, 30
	prefill := overflowScenario{
		heads: [3]int{2, 5, 5}, slots: 192, vms: 13, base: [3]float64{55, 60, 60}, peak: 180, peakFrom: calmSeconds * time.Second, peakTo: peakEnd * time.Second,
		messageInterval: time.Second,
	}
	slots := prefill
	slots.slots, slots.stretch, slots.base, slots.peak = 32, 4, [3]float64{12, 20, 20}, 36

	// Pattern: 78 VMs whose messages are late. Each sees the home zone busy, and idle, some
	// time after it is: all send their requests away at once, and all keep them at once.
	DescribeTable("overflows before requests are late or refused, without oscillation",
		func(scenario overflowScenario, interval, delay time.Duration) {
			scenario.digestInterval, scenario.digestDelay = interval, delay
			failedBefore, failedAfter := 0, 0
			for seed := range uint64(3) {
				scenario.seed, scenario.earlier = seed, true
				before := newOverflowSimulation(scenario).run(end * time.Second)
				scenario.earlier = false
				after := newOverflowSimulation(scenario).run(end * time.Second)
				_, deviationBefore, _ := before.shareDeviation()
				share, deviation, ofDraws := after.shareDeviation()
				detail := fmt.Sprintf("seed %d: late %d, refused %d, rejected %d, deviation %.3f before; late %d, refused %d, rejected %d, share %.2f, deviation %.3f after, %.3f of independent draws",
					seed, before.late, before.refused, before.rejected, deviationBefore, after.late, after.refused, after.rejected, share, deviation, ofDraws)
				GinkgoWriter.Println(detail)
				failedBefore, failedAfter = failedBefore+before.late+before.refused, failedAfter+after.late+after.refused
				peak := after.over(calmSeconds, peakEnd)
				Expect(float64(peak.late+peak.refused)).To(BeNumerically("<", 0.07*float64(peak.arrived)), detail)
				Expect(deviation).To(BeNumerically("<", 2*ofDraws), detail)
				Expect(after.over(0, calmSeconds).remote).To(BeZero(), detail)
				Expect(after.over(peakEnd+5, end).remote).To(BeNumerically("<=", 1), detail)
			}
			Expect(failedAfter).To(BeNumerically("<=", failedBefore/2))
		},
		Entry("prompts, digests in time", prefill, 400*time.Millisecond, time.Duration(0)),
		Entry("prompts, digests 0.6 s old", prefill, 400*time.Millisecond, 600*time.Millisecond),
		Entry("prompts, digests 1.5 s old", prefill, 400*time.Millisecond, 1500*time.Millisecond),
		Entry("prompts, most digests lost", prefill, 1900*time.Millisecond, time.Duration(0)),
		Entry("slots, digests in time", slots, 400*time.Millisecond, time.Duration(0)),
		Entry("slots, digests 1.5 s old", slots, 400*time.Millisecond, 1500*time.Millisecond),
		Entry("slots, most digests lost", slots, 1900*time.Millisecond, time.Duration(0)),
	)

	// Pattern: an upgrade. Guards against VMs of this build that overflow for the demand of
	// those of an earlier one, and leave the home zone idle.
	It("is served no worse while half of the VMs run an earlier build", func() {
		scenario, failedBefore, failedHalf := slots, 0, 0
		for seed := range uint64(3) {
			scenario.seed, scenario.earlier, scenario.halfEarlier = seed, true, false
			before := newOverflowSimulation(scenario).run(peakEnd * time.Second)
			scenario.earlier, scenario.halfEarlier = false, true
			half := newOverflowSimulation(scenario).run(peakEnd * time.Second)
			failedBefore, failedHalf = failedBefore+before.late+before.refused, failedHalf+half.late+half.refused
			_, deviationBefore, _ := before.shareDeviation()
			_, deviation, _ := half.shareDeviation()
			GinkgoWriter.Printf("half: seed %d: late %d, refused %d, rejected %d, deviation %.3f before; late %d, refused %d, rejected %d, deviation %.3f\n",
				seed, before.late, before.refused, before.rejected, deviationBefore, half.late, half.refused, half.rejected, deviation)
			Expect(deviation).To(BeNumerically("<", deviationBefore))
			Expect(half.over(0, calmSeconds).remote).To(BeZero())
		}
		Expect(failedHalf).To(BeNumerically("<=", failedBefore))
	})

	// Guards against traffic between zones, which is charged, on days of normal load.
	It("changes no choice while the targets of each zone suffice", func() {
		for seed := range uint64(3) {
			calm := overflowScenario{heads: [3]int{2, 3, 3}, slots: 24, base: [3]float64{25, 30, 20}, seed: seed}
			now := newOverflowSimulation(calm).run(20 * time.Second)
			calm.earlier = true
			before := newOverflowSimulation(calm).run(20 * time.Second)
			Expect(len(now.sends)).To(BeNumerically(">", 1000))
			Expect(now.sends).To(Equal(before.sends))
		}
	})

	It("ends when the digests of the other zones do, 2 s later", func() {
		cut := slots
		cut.cutFrom = (calmSeconds + 5) * time.Second
		o := newOverflowSimulation(cut).run(cut.cutFrom)
		sent := func() (sum uint64) {
			for _, vm := range o.fronts {
				for _, overflow := range vm.state.Overflows() {
					sum += overflow.Sent
				}
			}
			return sum
		}
		Expect(sent()).To(BeNumerically(">", 20))
		o.run(cut.cutFrom + 2*time.Second)
		until := sent()
		o.run(peakEnd * time.Second)
		Expect(sent()).To(Equal(until))
	})

	// Guards against zones that send each other what none of them can serve.
	It("changes no choice while all zones have more than they can serve", func() {
		full := overflowScenario{heads: [3]int{1, 1, 1}, slots: 24, base: [3]float64{70, 70, 70}}
		now := newOverflowSimulation(full).run(8 * time.Second)
		full.earlier = true
		before := newOverflowSimulation(full).run(8 * time.Second)
		Expect(before.refused).To(BeNumerically(">", 100))
		Expect(now.sends).To(Equal(before.sends))
	})
})

var _ = Describe("the overflow of a plain service", func() {
	var h *harness
	other := func(demand map[model.ServiceID]float64) director.ZoneState {
		return director.ZoneState{Zone: "b", Members: []director.PeerState{{VM: "vm-8", Zone: "b", Demand: demand}, {VM: "vm-9", Zone: "b", Demand: demand}}, Loads: map[model.TargetID]director.Load{
			"far": {Requests: 180, First: 180},
		}}
	}
	// serve has requests arrive every 10 ms, each of which stays for a second, and returns how
	// many went to zone b in the last second.
	serve := func(seconds int, each func()) (remote int) {
		type running struct {
			id    model.RequestID
			until model.Instant
		}
		var list []running
		for step := range seconds * 100 {
			if each != nil && step%20 == 0 {
				each()
			}
			for len(list) > 0 && list[0].until <= h.now {
				h.state.Step(h.now, director.RequestFinished{ID: list[0].id, Delivered: true})
				list = list[1:]
			}
			id, e := h.arrive("/r/x")
			if send, ok := e.(*director.Send); ok {
				list = append(list, running{id, h.now.Add(time.Second)})
				if step >= (seconds-1)*100 && h.targets[send.Hops[0].Target].Zone == "b" {
					remote++
				}
			}
			h.advance(10 * time.Millisecond)
		}
		for _, r := range list {
			h.state.Step(h.now, director.RequestFinished{ID: r.id, Delivered: true})
		}
		return remote
	}
	BeforeEach(func() {
		h = newHarness()
		h.addTarget("near", orders, "a", 0, 0)
		h.addTarget("far", orders, "b", 0, 0)
		h.targets["near"].Slots, h.targets["far"].Slots = 110, 400
		h.config.Workspaces, h.config.Routes[1].Public = nil, true // keys would expire in the run
		h.read()
	})

	It("begins where the home zone has more demand than its targets serve well, in proportion", func() {
		// 100 requests per second of 110: 65% of 110 stay. The load of the other zone is such that
		// the penalty for other zones alone lets none of them go there.
		Expect(serve(6, func() { h.state.Step(h.now, other(map[model.ServiceID]float64{orders: 90})) })).To(BeNumerically("~", 28, 8))
		overflows := h.state.Overflows()
		Expect(overflows).To(HaveLen(2))
		Expect(overflows[1].Zone).To(BeEquivalentTo("b"))
		Expect(overflows[1].Share).To(BeNumerically("~", 0.28, 0.08))
		Expect(overflows[1].Sent).To(BeNumerically(">", 50))
	})

	It("ends at once when the state of the other zone is older than 2 s", func() {
		serve(4, func() { h.state.Step(h.now, other(map[model.ServiceID]float64{orders: 90})) })
		h.state.Step(h.now, other(map[model.ServiceID]float64{orders: 90}))
		Expect(serve(2, nil)).To(BeNumerically(">", 10))
		h.advance(time.Millisecond)
		sent := h.state.Overflows()[1].Sent
		serve(1, nil)
		for _, o := range h.state.Overflows() {
			Expect(o.Share).To(BeZero())
			Expect(o.Sent).To(BeElementOf(uint64(0), sent))
		}
	})

	It("does not count a zone whose VMs state no demand, or that has no spare capacity", func() {
		Expect(serve(4, func() { h.state.Step(h.now, other(nil)) })).To(BeZero())
		Expect(serve(4, func() { h.state.Step(h.now, other(map[model.ServiceID]float64{orders: 140})) })).To(BeZero())
	})

	// Pattern: an upgrade, in which a VM of an earlier build states no demand.
	It("assumes the same demand at the VMs of a zone that state none", func() {
		h.state.Step(h.now, other(map[model.ServiceID]float64{orders: 50}))
		earlier := director.PeerState{VM: "vm-7", Zone: "b"}
		serve(1, nil)
		h.state.Step(h.now, earlier)
		h.state.Step(h.now, director.PeerState{VM: "vm-6", Zone: "b"})
		h.advance(200 * time.Millisecond)
		h.arrive("/r/x")
		Expect(h.state.Overflows()[1].Demand).To(BeNumerically("~", 200, 1))
	})
})
