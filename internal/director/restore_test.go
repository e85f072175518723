package director_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

var _ = Describe("a store that comes back from an older copy", func() {
	var h *harness
	// readCopy applies a read in era 1 of rows whose versions are those of the harness;
	// newest is the newest version of the store.
	readCopy := func(newest model.RowVersion) {
		read := director.TargetsRead{Rows: map[model.TargetID]fleet.StoreVersion{}, Newest: fleet.StoreVersion{Era: 1, Row: newest}}
		for id, t := range h.targets {
			read.Targets = append(read.Targets, t)
			read.Rows[id] = fleet.StoreVersion{Era: 1, Row: h.rows[id].Row}
		}
		h.state.Step(h.now, read)
	}
	restore := func() { h.state.Step(h.now, director.StoreRestored{Era: 1}) }
	sendsTo := func() model.TargetID {
		id, effect := h.arrive("/r/x")
		send, ok := effect.(*director.Send)
		if !ok {
			return ""
		}
		h.state.Step(h.now, director.RequestFinished{ID: id, Delivered: true})
		return send.Hops[0].Target
	}
	BeforeEach(func() {
		h = newHarness()
		h.addTarget("o1", orders, "a", 0, 0)
		h.read()
		h.advance(time.Millisecond)
	})

	// Guards against a revoked key that the older configuration of the copy confirms.
	It("does not confirm the configuration in force by an older one", func() {
		h.state.Step(h.now, director.ConfigRead{Config: config(8), Started: h.now})
		restore()
		for range 30 {
			h.advance(200 * time.Millisecond)
			h.state.Step(h.now, director.ConfigRead{Config: config(7), Started: h.now})
		}
		Expect(h.state.Config().Version).To(Equal(model.Revision(8)))
		Expect(h.state.Ready(h.now)).To(BeFalse())
		_, effect := h.arrive("/r/x")
		Expect(effect.(*director.Refuse).Status).To(Equal(503))
		h.state.Step(h.now, director.ConfigRead{Config: config(9), Started: h.now})
		Expect(sendsTo()).To(Equal(model.TargetID("o1")))
	})

	// Guards against a VM that starts while the copy is all there is, and accepts keys
	// that the other VMs know to be revoked.
	It("does not confirm a configuration that is older than another VM's", func() {
		h.state.Step(h.now, director.PeerState{VM: "vm-2", Config: 8})
		h.advance(6 * time.Second)
		h.state.Step(h.now, director.ConfigRead{Config: config(7), Started: h.now})
		Expect(h.state.Ready(h.now)).To(BeFalse())
		h.state.Step(h.now, director.ConfigRead{Config: config(8), Started: h.now})
		Expect(h.state.Ready(h.now)).To(BeTrue())
	})

	// Guards against the same in the time until the other VM's first message.
	It("confirms no configuration just after a start, except at the first start of all", func() {
		for firstStart, ready := range map[bool]bool{false: false, true: true} {
			settings := harnessSettings
			settings.FirstStart = firstStart
			state, now := director.New(settings), h.now
			state.Step(now, director.TargetsRead{})
			read := director.ConfigRead{Config: config(7), Started: now, Era: 3}
			state.Step(now, read)
			Expect(state.Ready(now)).To(Equal(ready))
			now = now.Add(800 * time.Millisecond)
			state.Step(now, director.ConfigRead{Started: now, Era: 3})
			Expect(state.Ready(now)).To(BeTrue())
		}
	})

	// Guards against the same when the VM has read the copy before it receives the other
	// VM's message.
	It("withdraws a confirmation by the copy when another VM has a newer configuration", func() {
		h = newHarness()
		h.addTarget("o1", orders, "a", 0, 0)
		h.read()
		Expect(h.state.Ready(h.now)).To(BeTrue())
		h.state.Step(h.now, director.PeerState{VM: "vm-2", Config: 8})
		Expect(h.state.Ready(h.now)).To(BeFalse())
		_, e := h.arrive("/r/x")
		Expect(expectRefusal(e).Status).To(Equal(503))
		h.state.Step(h.now, director.ConfigRead{Config: config(8), Started: h.now})
		Expect(h.state.Ready(h.now)).To(BeTrue())
		h.advance(11 * time.Second)
		h.state.Step(h.now, director.ConfigRead{Started: h.now})
		h.state.Step(h.now, director.PeerState{VM: "vm-2", Config: 9})
		Expect(h.state.Ready(h.now)).To(BeTrue(), "a change that this VM is about to read")
	})

	// Guards against a target that is taken for gone because its registration was lost.
	It("keeps a target that the copy lacks until it registers again or the grace ends", func() {
		restore()
		delete(h.targets, "o1")
		readCopy(5)
		Expect(sendsTo()).To(Equal(model.TargetID("o1")))
		h.advance(11 * time.Second)
		h.state.Step(h.now, director.ConfigRead{Started: h.now})
		readCopy(6)
		Expect(sendsTo()).To(BeEmpty())
	})

	// Guards against a read of the earlier era that is applied after the restore was
	// observed, and makes the target look registered since.
	It("keeps a target that the copy lacks and an earlier read lists at the same time", func() {
		restore()
		h.read()
		delete(h.targets, "o1")
		readCopy(5)
		Expect(sendsTo()).To(Equal(model.TargetID("o1")))
	})

	// Guards against a read of the earlier era that is accepted before the restore is
	// observed, applied after a later read, and undoes it.
	It("ignores a read of an earlier era", func() {
		restore()
		earlier, version := h.targets["o1"], h.rows["o1"]
		h.changeTarget("o1", func(t *fleet.Target) { t.State = fleet.TargetDraining })
		readCopy(5)
		h.targets["o1"], h.rows["o1"] = earlier, version
		h.read()
		Expect(sendsTo()).To(BeEmpty())
		Expect(h.state.Status(h.now).StoreEra).To(Equal(fleet.StoreEra(1)))
	})

	It("keeps a target that was listed at the very time of the restore", func() {
		h.read()
		restore()
		delete(h.targets, "o1")
		readCopy(5)
		Expect(sendsTo()).To(Equal(model.TargetID("o1")))
	})

	// Guards against a VM that ignores another store because its eras are lower.
	It("follows another store, whose era is lower", func() {
		restore()
		readCopy(5)
		h.state.Step(h.now, director.StoreReplaced{})
		h.changeTarget("o1", func(t *fleet.Target) { t.State = fleet.TargetDraining })
		h.read()
		Expect(sendsTo()).To(BeEmpty())
	})

	// Guards against a removal after the restore that is taken for a loss.
	It("removes a target at once that was registered since the restore", func() {
		restore()
		readCopy(5)
		h.advance(time.Second)
		delete(h.targets, "o1")
		readCopy(6)
		Expect(sendsTo()).To(BeEmpty())
	})

	// Guards against a drain that is taken for part of the copy because it was written
	// after the restore but before this VM's first read.
	It("leaves out a target that drains between the restore and the first read", func() {
		restore()
		h.changeTarget("o1", func(t *fleet.Target) { t.State = fleet.TargetDraining })
		readCopy(5)
		Expect(sendsTo()).To(BeEmpty())
	})

	// Guards against requests to a target whose drain or removal the copy has lost.
	DescribeTable("leaves out a target that had left before the restore", func(leave func()) {
		earlier, version := h.targets["o1"], h.rows["o1"]
		leave()
		h.read()
		Expect(sendsTo()).To(BeEmpty())
		restore()
		h.targets["o1"], h.rows["o1"] = earlier, version
		readCopy(5)
		Expect(sendsTo()).To(BeEmpty())
		h.rows["o1"] = fleet.StoreVersion{Row: 6}
		readCopy(6)
		Expect(sendsTo()).To(Equal(model.TargetID("o1")), "its registration is written again")
	},
		Entry("draining", func() { h.changeTarget("o1", func(t *fleet.Target) { t.State = fleet.TargetDraining }) }),
		Entry("removed", func() { delete(h.targets, "o1") }),
	)
})
