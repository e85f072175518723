package director_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
)

// expectOrder expects that the kinds are refused, and their first events late, in the order of
// their priorities.
func expectOrder(kinds []*simKind) {
	for i := range kinds[1:] {
		ExpectWithOffset(1, kinds[i].refusedShare()).To(BeNumerically("<=", kinds[i+1].refusedShare()), kinds[i].path)
		ExpectWithOffset(1, kinds[i].servedInTime()).To(BeNumerically(">=", kinds[i+1].servedInTime()), kinds[i].path)
	}
}

var _ = Describe("the order of priorities beyond the capacity", func() {
	var capacity float64
	BeforeEach(func() { capacity = simCapacity() })

	// Load: VMs restart during an overload. Guards against VMs that admit all kinds alike until
	// they have a history.
	It("holds while VMs restart", func() {
		a := newAdmissionSimulation(4, true, 11, simKinds()...)
		restart := func(vm int) {
			a.vms[vm] = a.newVM(vm)
			a.start(vm)
		}
		for i := range 30 {
			a.after(time.Duration(10+2*i)*time.Second, func() { restart(i % 4) })
		}
		a.overload(capacity, 1.5)
		a.report("4 VMs, one restarts every two seconds")
		expectOrder(a.kinds)
	})

	// Load: targets whose KV caches are full before prompts wait. Guards against an order that
	// rests on the predicted first event alone.
	It("holds where the KV cache is the limit", func() {
		small := simHardware
		small.MemoryMB = 150000
		for _, vms := range []int{4, 16} {
			a := newAdmissionSimulation(vms, true, 16, simKinds()...)
			a.config.Services[llm].Engine.Hardware["big"] = small
			a.overload(simCapacityOf(small), 1.5)
			a.report(fmt.Sprintf("%d VMs, small KV caches", vms))
			expectOrder(a.kinds)
		}
	})

	// Load: a partition between the VMs, each of which knows only its own load.
	It("holds while the VMs are partitioned", func() {
		a := newAdmissionSimulation(4, true, 12, simKinds()...)
		a.after(30*time.Second, func() { a.partitioned = true })
		a.overload(capacity, 1.5)
		a.report("4 VMs, partitioned after 20 of 60 s")
		expectOrder(a.kinds)
	})

	// Load: an upgrade, in which half of the VMs admit without regard to priorities.
	It("holds at the VMs of this build while half run an earlier build", func() {
		a := newAdmissionSimulation(4, true, 13, simKinds()...)
		earlier := newAdmissionSimulation(4, false, 13, simKinds()...).config
		ordered := a.config
		for vm := range 2 {
			a.vms[vm], a.config = a.newVM(vm), earlier
			a.start(vm)
		}
		a.config = ordered
		kinds := a.countOnly(func(vm *director.State) bool { return vm == a.vms[2] || vm == a.vms[3] })
		a.overload(capacity, 1.5)
		a.report("4 VMs, two of them of an earlier build; requests of the others")
		expectOrder(kinds)
	})

	// Load: normal. Guards against refusals while there is spare capacity.
	It("causes no refusals at six tenths of the capacity", func() {
		for _, vms := range []int{4, 16} {
			a := newAdmissionSimulation(vms, true, 14, simKinds()...)
			a.overload(capacity, 0.6)
			a.report(fmt.Sprintf("0.6 of the capacity, %d VMs", vms))
			for _, k := range a.kinds {
				Expect(k.refused).To(BeZero(), k.path)
			}
		}
	})

	// Load: one workspace sends as much as all others together, in one priority.
	It("leaves the fair share of a priority to each workspace", func() {
		kinds := simKinds()[:2]
		kinds[0].share = 0.3
		for i := range 4 {
			k := &simKind{path: "/s/1/", priority: 1, goal: kinds[1].goal, key: fmt.Sprint("small-", i), share: 0.05}
			kinds = append(kinds, k)
		}
		kinds[1].key, kinds[1].share = "large", 0.5
		a := newAdmissionSimulation(4, true, 15, kinds...)
		a.overload(capacity, 1.5)
		a.report("a large workspace beside small ones")
		for _, k := range kinds[2:] {
			Expect(k.refusedShare()).To(BeNumerically("<", kinds[1].refusedShare()/2))
		}
	})
})
