package director_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
)

// Guards against a slowdown that VMs state to each other for ever after the target has become
// normal again, because each passes on what it was told as its own observation.
var _ = Describe("the slowdown of a target", func() {
	pace := func(h *harness) float64 {
		for _, t := range h.state.Status(h.now).Targets {
			if t.ID == "a1" {
				return t.Pace
			}
		}
		return 0
	}

	It("ends at all VMs of the zone after it was last observed", func() {
		lead := newHarness()
		lead.addTarget("a1", llm, "a", 0, 40)
		lead.read()
		vms := []*harness{lead, lead.peer("vm-2"), lead.peer("vm-3")}
		report := func(slowdown float64) {
			lead.state.Step(lead.now, director.ReportRead{Target: "a1", Report: &fleet.Report{Slowdown: slowdown, StartedMs: 1}})
		}
		report(5)
		exchange(vms)
		for _, h := range vms {
			Expect(pace(h)).To(Equal(5.0))
		}
		for i := range 40 {
			for _, h := range vms {
				h.advance(200 * time.Millisecond)
			}
			if i%5 == 0 {
				report(1)
			}
			exchange(vms)
		}
		for _, h := range vms {
			Expect(pace(h)).To(Equal(1.0), string(h.state.OwnPeerState(h.now).VM))
		}
	})
})
