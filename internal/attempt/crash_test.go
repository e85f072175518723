package attempt_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/event"
	"tamarackreach/internal/fault"
)

var _ = Describe("content on a target that crashes", func() {
	var b *bench

	BeforeEach(func() {
		b = newBench(GinkgoTB(), 3)
		b.request("r1", "listing")
	})

	// breakStream reports that the stream of r1's attempt at its last target failed.
	breakStream := func(notListening bool) {
		open := b.open["r1"]
		b.reduce(event.StreamBroken{
			Request: "r1", Attempt: open.Attempt, FailedTarget: open.Chain[2].Target, OwnConnection: true, NotListening: notListening,
		})
	}

	// awaitNextAttempt advances time until r1's next attempt starts or r1 is refused.
	awaitNextAttempt := func(open event.OpenChain) {
		GinkgoHelper()
		for waited := time.Duration(0); waited < 2*time.Second; waited += 50 * time.Millisecond {
			if b.open["r1"].Attempt > open.Attempt || len(b.refused) > 0 {
				return
			}
			b.advance(50 * time.Millisecond)
		}
		Fail("r1 neither goes on nor is refused")
	}

	// Guards against content that crashes targets without end: a connection refused
	// to a reopened stream was taken as proof that the attempt had never run there.
	It("is refused after two crashes, also when the stream had been reopened", func() {
		for range 2 {
			open := b.open["r1"]
			b.advance(time.Second)
			Expect(b.open["r1"].Attempt).To(Equal(open.Attempt))
			b.down[open.Chain[2].Target] = true
			breakStream(true)
			awaitNextAttempt(open)
		}
		Expect(b.refused).To(HaveKey(BeEquivalentTo("r1")))
		Expect(b.refused["r1"].Fault.Code).To(Equal(fault.Quarantined))
	})

	// Guards against the same when a second call of the attempt fails during the check
	// of the target: its refused connection replaced what the first failure had shown.
	It("is refused after two crashes, also when a later connection of the attempt was refused", func() {
		for range 2 {
			open := b.open["r1"]
			last := open.Chain[2].Target
			b.silent[last] = true
			breakStream(false)
			breakStream(true)
			b.down[last] = true
			b.reduce(event.TargetLost{Target: last, NotListening: true})
			awaitNextAttempt(open)
		}
		Expect(b.refused).To(HaveKey(BeEquivalentTo("r1")))
		Expect(b.refused["r1"].Fault.Code).To(Equal(fault.Quarantined))
	})

	// Guards against the same when the target is back before its watch is: it refuses the
	// attempt as one of its earlier incarnation, and the request had moved on when the
	// crash was found.
	It("is refused after two crashes, also when the restarted target refuses the attempt", func() {
		for range 2 {
			open := b.open["r1"]
			last := open.Chain[2].Target
			b.silent[last] = true
			b.reduce(event.TargetLost{Target: last})
			b.incarnations[last]++
			b.reduce(event.StreamBroken{Request: "r1", Attempt: open.Attempt, FailedTarget: last, Refused: true})
			b.silent[last] = false
			b.reduce(b.report(last, 0))
			awaitNextAttempt(open)
		}
		Expect(b.refused).To(HaveKey(BeEquivalentTo("r1")))
		Expect(b.refused["r1"].Fault.Code).To(Equal(fault.Quarantined))
	})

	It("rebuilds at a target that refuses the attempt while it is checked and is alive", func() {
		open := b.open["r1"]
		last := open.Chain[2].Target
		b.silent[last] = true
		b.reduce(event.TargetLost{Target: last})
		b.reduce(event.StreamBroken{Request: "r1", Attempt: open.Attempt, FailedTarget: last, Refused: true})
		b.silent[last] = false
		b.reduce(b.report(last, 0))
		Expect(b.open["r1"].Attempt).To(Equal(open.Attempt + 1))
		Expect(rebuiltTargets(b.open["r1"])).To(ContainElement(b.open["r1"].Chain[2].Target))
		b.reduce(event.CallerGone{Request: "r1"})
		Expect(b.request("r2", "listing").Attempt).To(BeEquivalentTo(1))
	})

	// Guards against the same when the list of VMs is the first to show the restart.
	It("is refused after two crashes, also when the list of VMs shows them first", func() {
		for range 2 {
			open := b.open["r1"]
			last := open.Chain[2].Target
			b.silent[last] = true
			b.replaceVM(last)
			awaitNextAttempt(open)
		}
		Expect(b.refused).To(HaveKey(BeEquivalentTo("r1")))
		Expect(b.refused["r1"].Fault.Code).To(Equal(fault.Quarantined))
	})

	// Guards against the refusal of content that was in progress on a VM which the
	// platform removed and later started anew.
	It("is not counted as the cause when a VM that was gone returns", func() {
		last := b.open["r1"].Chain[2].Target
		all := b.vms
		b.vms = slices.DeleteFunc(slices.Clone(all), func(vm event.VM) bool { return vm.ID == string(last) })
		for range 5 {
			b.advance(time.Second, "r1")
			b.deliverToken("r1")
			b.reduce(event.VMsListed{VMs: b.vms})
		}
		b.vms = all
		b.silent[last] = true
		b.replaceVM(last)
		Expect(b.open["r1"].Attempt).To(BeEquivalentTo(2))
		b.reduce(event.CallerGone{Request: "r1"})
		b.crash(b.request("r2", "listing").Chain[1].Target)
		b.advance(2*time.Second, "r2")
		Expect(b.refused).To(BeEmpty())
		Expect(b.open["r2"].Attempt).To(BeEquivalentTo(2))
	})

	// Guards against the refusal of content that was only sent to targets that had
	// crashed already.
	It("is not suspected when the first connection of the attempt was refused", func() {
		b.down[b.open["r1"].Chain[2].Target] = true
		breakStream(true)
		Expect(b.open["r1"].Attempt).To(BeEquivalentTo(2))
	})
})
