package director_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/model"
)

// viaOf returns the VM through which a send reaches its target, "" without one.
func viaOf(e *director.Send) model.NodeID {
	if e.Relay == nil {
		return ""
	}
	return e.Relay.VM
}

// needsNewConnection reports whether a report is to be read over a new connection.
func needsNewConnection(e *director.RequestReport) bool { return e.NewConnection }

// isolated reports whether a VM knows that it does not reach the targets.
func isolated(vm *linkVM, _ model.Instant) bool { return vm.state.Isolated() }

func connectionProbed(id model.TargetID, accepted, refused bool) director.ConnectionProbed {
	return director.ConnectionProbed{Target: id, Accepted: accepted, Refused: refused}
}

func notSent(took time.Duration) director.SendEnded {
	return director.SendEnded{Outcome: director.NotSent, Took: took, Unconnected: true}
}

const (
	// cutTime is how long the links are cut.
	cutTime = 12 * time.Second
	// minServedRatio is the least share of first tries served at cut VMs, relative to the
	// others.
	minServedRatio = 2.0 / 3
)

// registrationLapse is three heartbeats, after which the platform removes a registration.
const registrationLapse = 3600 * time.Millisecond

// allVMs are the VMs of a link simulation.
var allVMs = []model.NodeID{"a-1", "a-2", "b-1", "c-1"}

// expectServedAlike checks that from stabilityWindow after the cut began, first tries at
// the cut VMs are served at least minServedRatio times as often as those at the others.
func expectServedAlike(l *linkSimulation, cutAt model.Instant, cut, others []model.NodeID) {
	from, to := cutAt.Add(stabilityWindow), cutAt.Add(cutTime)
	answered, all := l.served(from, to, cut...)
	otherAnswered, otherAll := l.served(from, to, others...)
	ExpectWithOffset(1, float64(answered)/float64(all)).To(BeNumerically(">=", minServedRatio*float64(otherAnswered)/float64(otherAll)),
		"cut VMs: %d of %d, others: %d of %d", answered, all, otherAnswered, otherAll)
	ExpectWithOffset(1, float64(otherAnswered)/float64(otherAll)).To(BeNumerically(">=", 0.95), "others: %d of %d", otherAnswered, otherAll)
}

var _ = Describe("VMs partitioned from all targets", func() {
	// Guards against callers of a VM that lost its links to the targets being refused, while
	// other VMs reach the same targets, and against decisions for all VMs on its view alone.
	DescribeTable("serve their callers through other VMs", func(state linkState, cut, others []model.NodeID) {
		l := newLinkSimulation()
		l.advance(5 * time.Second)
		cutAt := l.now
		l.cut(state, cut...)
		l.advance(cutTime)
		l.cut(linkUp, cut...)
		l.advance(5 * time.Second)
		expectServedAlike(l, cutAt, cut, others)
		Expect(l.partialPlans).To(BeEmpty())
		Expect(l.excessRuns()).To(BeEmpty())
		answered, all := l.served(cutAt.Add(cutTime+2*time.Second), cutAt.Add(cutTime+4*time.Second), allVMs...)
		Expect(answered).To(Equal(all), "after the cut")
	},
		Entry("one VM, silent", linkSilent, []model.NodeID{"a-2"}, []model.NodeID{"a-1", "b-1", "c-1"}),
		Entry("one VM, reset", linkReset, []model.NodeID{"a-2"}, []model.NodeID{"a-1", "b-1", "c-1"}),
		Entry("one VM, refused", linkRefuses, []model.NodeID{"a-2"}, []model.NodeID{"a-1", "b-1", "c-1"}),
		Entry("the VM that places layers, silent", linkSilent, []model.NodeID{"a-1"}, []model.NodeID{"a-2", "b-1", "c-1"}),
		Entry("the VM that places layers, reset", linkReset, []model.NodeID{"a-1"}, []model.NodeID{"a-2", "b-1", "c-1"}),
		Entry("the VM that places layers, refused", linkRefuses, []model.NodeID{"a-1"}, []model.NodeID{"a-2", "b-1", "c-1"}),
		Entry("all of a zone, silent", linkSilent, []model.NodeID{"a-1", "a-2"}, []model.NodeID{"b-1", "c-1"}),
		Entry("all of a zone, reset", linkReset, []model.NodeID{"a-1", "a-2"}, []model.NodeID{"b-1", "c-1"}),
		Entry("all of a zone, refused", linkRefuses, []model.NodeID{"a-1", "a-2"}, []model.NodeID{"b-1", "c-1"}),
		Entry("all VMs but one, silent", linkSilent, []model.NodeID{"a-1", "a-2", "b-1"}, []model.NodeID{"c-1"}),
		Entry("all VMs but one, reset", linkReset, []model.NodeID{"a-1", "a-2", "b-1"}, []model.NodeID{"c-1"}),
	)

	// Guards against a process that starts behind the cut, knows no target that it reached
	// before, and refuses its callers.
	It("serve their callers after a restart during the cut", func() {
		l := newLinkSimulation()
		l.advance(5 * time.Second)
		cutAt := l.now
		l.cut(linkSilent, "a-2")
		l.advance(time.Second)
		l.start(l.vm("a-2"))
		l.advance(cutTime - time.Second)
		expectServedAlike(l, cutAt.Add(time.Second), []model.NodeID{"a-2"}, []model.NodeID{"a-1", "b-1", "c-1"})
	})

	// Guards against a target that is replaced because the VM which monitors its zone for
	// the others, and places layers, does not reach it, while no request shows that it runs.
	DescribeTable("keep targets that only they do not reach in the placement view", func(state linkState, lost ...model.TargetID) {
		l := newLinkSimulation()
		l.quiet = true
		l.advance(5 * time.Second)
		for _, id := range lost {
			l.links[link{"a-1", id}] = state
		}
		l.advance(10 * time.Second)
		Expect(l.partialPlans).To(BeEmpty())
		l.quiet = false
		from := l.now
		l.advance(3 * time.Second)
		answered, all := l.served(from.Add(time.Second), from.Add(2*time.Second), allVMs...)
		Expect(answered).To(Equal(all))
	},
		Entry("one, silent", linkSilent, model.TargetID("a-tail-0")), Entry("one, refused", linkRefuses, model.TargetID("a-tail-0")),
		Entry("two, silent", linkSilent, model.TargetID("a-head-0"), model.TargetID("a-tail-0")),
		Entry("two, reset", linkReset, model.TargetID("a-head-0"), model.TargetID("b-tail-0")),
	)

	// Guards against layers being placed on the view of targets that answer again one by
	// one after a cut of all VMs.
	It("place no layers on a partial view when all VMs were cut", func() {
		l := newLinkSimulation()
		l.advance(5 * time.Second)
		cutAt := l.now
		l.cut(linkSilent, allVMs...)
		l.advance(cutTime)
		l.cut(linkUp, allVMs...)
		l.advance(6 * time.Second)
		Expect(l.partialPlans).To(BeEmpty())
		answered, all := l.served(cutAt.Add(cutTime+3*time.Second), cutAt.Add(cutTime+5*time.Second), allVMs...)
		Expect(answered).To(Equal(all), "after the cut")
	})
})

var _ = Describe("a target that is silent for a second or so", func() {
	// Guards against a pause that is taken for a crash, so that its layers are placed
	// elsewhere, or for a cut; with and without a VM that is cut at the same time.
	DescribeTable("stays in the placement view, and is used again", func(cut ...model.NodeID) {
		for phase := time.Duration(0); phase < 600*time.Millisecond; phase += 50 * time.Millisecond {
			for _, id := range []model.TargetID{"a-head-0", "b-tail-1"} {
				l := newLinkSimulation()
				l.advance(5*time.Second + phase)
				l.cut(linkSilent, cut...)
				l.advance(2 * time.Second)
				l.pause(id)
				l.advance(1400 * time.Millisecond)
				l.resume(id)
				l.advance(4 * time.Second)
				Expect(l.partialPlans).To(BeEmpty(), "%s at phase %s", id, phase)
				Expect(l.excessRuns()).To(BeEmpty())
				for _, vm := range l.vms {
					if !slices.Contains(cut, vm.id) {
						Expect(vm.state.Isolated()).To(BeFalse(), string(vm.id))
					}
				}
				answered, all := l.served(l.now.Add(-2*time.Second), l.now.Add(-time.Second), allVMs...)
				Expect(answered).To(Equal(all), "%s at phase %s", id, phase)
			}
		}
	},
		Entry("no VM cut"), Entry("one VM cut", model.NodeID("a-2")), Entry("the VM that places layers cut", model.NodeID("a-1")),
	)
})

var _ = Describe("a target that stops", func() {
	// Guards against a crash that counts as a cut: its layers would not be placed elsewhere.
	It("is missing in the placement view before its registration lapses", func() {
		l := newLinkSimulation()
		l.advance(5 * time.Second)
		l.crash("b-head-0")
		l.advance(registrationLapse)
		for _, vm := range l.vms {
			if vm.id == "a-1" || vm.id == "b-1" {
				Expect(vm.state.Placeable(l.now)[0].Targets).To(HaveLen(11), string(vm.id))
			}
		}
		Expect(l.partialPlans).To(BeEmpty())
	})
})
