package director_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

const heartbeat = 1200 * time.Millisecond

// Guards against a target that gets new requests after it left, because failed reads of single
// VMs count as an outage of the store (review/1), and against targets that are dropped in one.
var _ = Describe("a target whose registration is missing", func() {
	var state *director.State
	var now model.Instant
	var listed map[model.TargetID]bool
	// apply applies a copy of the registrations that was confirmed some time ago.
	apply := func(age time.Duration) {
		read := director.TargetsRead{Rows: map[model.TargetID]fleet.StoreVersion{}, ConfirmedAt: now.Add(-age)}
		for id := range listed {
			read.Targets = append(read.Targets, &fleet.Target{ID: id, Service: orders, Address: "at-" + string(id), Zone: "a", State: fleet.TargetReady, Slots: 6, StartedMs: 1})
			read.Rows[id] = fleet.StoreVersion{Row: 1}
		}
		state.Step(now, read)
	}
	fail := func() { state.Step(now, director.StoreFailed{}) }
	after := func(d time.Duration) { now = now.Add(d) }
	remove := func() { delete(listed, "o1") }
	kept := func() bool { return state.Serves(now, "o1") }
	BeforeEach(func() {
		settings := harnessSettings
		settings.Heartbeat = heartbeat
		state, now = director.New(settings), model.Instant(time.Hour)
		listed = map[model.TargetID]bool{"o1": true, "o2": true}
		apply(0)
	})

	DescribeTable("is dropped, or kept until it may have registered again",
		func(history func(), want bool) {
			history()
			Expect(kept()).To(Equal(want))
			Expect(state.Serves(now, "o2")).To(BeTrue())
		},
		Entry("dropped while the store serves", func() { after(time.Second); remove(); apply(0) }, false),
		Entry("dropped after failed reads too short for it to expire", func() { after(time.Second); fail(); after(time.Second); remove(); apply(0) }, false),
		Entry("dropped after a pause of the VM without a failed read", func() { after(9 * time.Second); remove(); apply(0) }, false),
		Entry("kept after an outage", func() { after(time.Second); fail(); after(2 * time.Second); remove(); apply(0) }, true),
		Entry("dropped by a read that began long enough after an outage", func() {
			after(time.Second)
			fail()
			after(2 * time.Second)
			remove()
			apply(0)
			after(2200 * time.Millisecond)
			apply(0)
		}, false),
		Entry("kept while the copy is not confirmed again, however late", func() {
			after(time.Second)
			fail()
			after(2 * time.Second)
			remove()
			apply(0)
			after(9 * time.Second)
			apply(9 * time.Second)
		}, true),
		Entry("dropped where another VM read the store meanwhile, though reads of this one fail", func() {
			for range 9 {
				after(time.Second)
				fail()
				apply(300 * time.Millisecond)
			}
			remove()
			after(100 * time.Millisecond)
			apply(0)
		}, false),
		Entry("dropped where this VM read the store during the outage that another one states", func() {
			for range 9 {
				after(time.Second)
				apply(0)
			}
			state.Step(now, director.RecoveryStated{At: now.Add(-100 * time.Millisecond)})
			after(time.Second)
			remove()
			apply(0)
		}, false),
		Entry("kept after an outage that only another VM noticed", func() {
			after(2500 * time.Millisecond)
			remove()
			state.Step(now, director.RecoveryStated{At: now.Add(-100 * time.Millisecond)})
			apply(50 * time.Millisecond)
		}, true),
		Entry("dropped once the outage that only another VM noticed is long over", func() {
			after(9 * time.Second)
			remove()
			state.Step(now, director.RecoveryStated{At: now.Add(-3 * time.Second)})
			apply(0)
		}, false),
		Entry("kept where the feed brings its removal before the first read after an outage", func() {
			after(time.Second)
			fail()
			after(2 * time.Second)
			remove()
			apply(3 * time.Second)
		}, true),
		Entry("kept though the copy from before the outage was applied again after it", func() {
			after(time.Second)
			fail()
			after(2 * time.Second)
			apply(3 * time.Second)
			remove()
			apply(100 * time.Millisecond)
		}, true),
	)

	It("is kept after any outage where the interval of renewals is unknown", func() {
		state = director.New(harnessSettings)
		apply(0)
		after(100 * time.Millisecond)
		fail()
		after(100 * time.Millisecond)
		remove()
		apply(0)
		Expect(kept()).To(BeTrue())
	})

	It("is kept by all that take the copies of a VM that noticed the outage, and no longer than by it", func() {
		after(time.Second)
		fail()
		after(2 * time.Second)
		remove()
		apply(0)
		Expect(state.StoreRecoveredAt()).To(Equal(now))
		recoveredAt := now
		after(500 * time.Millisecond)
		state.Step(now, director.RecoveryStated{At: recoveredAt.Add(-20 * time.Millisecond)})
		apply(0)
		Expect(state.StoreRecoveredAt()).To(Equal(recoveredAt), "what others state of the same outage does not prolong it")
	})
})
