package director_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

var _ = Describe("what VMs store of content that crashes targets", func() {
	var h *harness
	var lostOn []model.TargetID
	const path = "/r/bad"
	BeforeEach(func() {
		h = newHarness()
		for _, id := range []model.TargetID{"o1", "o2", "o3", "o4"} {
			h.addTarget(id, orders, "a", 0, 0)
		}
		h.read()
		lostOn = nil
	})

	lose := func(path string) {
		id, e := h.arrive(path)
		lostOn = append(lostOn, expectSend(e).Hops[0].Target)
		h.endSend(id, director.Lost)
		h.state.Step(h.now, director.RequestFinished{ID: id})
	}
	crash := func(h *harness) {
		for _, id := range lostOn {
			h.changeTarget(id, func(t *fleet.Target) { t.StartedMs++ })
		}
		h.read()
	}
	quarantine := func() {
		for range 3 {
			lose(path)
		}
		crash(h)
	}
	answer := func(h *harness) {
		id, e := h.arrive(path)
		expectSend(e)
		h.state.Step(h.now, director.RequestFinished{ID: id, Delivered: true})
	}
	stored := func() director.StoredContent { return h.state.ContentToStore(h.now) }
	changed := func(f func()) bool {
		before := h.state.ContentChanged()
		f()
		return h.state.ContentChanged() != before
	}
	// start returns a VM that starts and reads rows, and startAlone one that receives no
	// message before it applies them.
	start := func(vm model.NodeID, rows ...director.StoredContent) *harness {
		other := h.peer(vm)
		other.state.Step(other.now, director.VMsCounted{Count: 9})
		other.state.Step(other.now, director.ContentRead{Stored: rows})
		return other
	}
	startAlone := func(vm model.NodeID, rows ...director.StoredContent) *harness {
		other := start(vm, rows...)
		other.state.Step(other.now, director.VMsCounted{Count: 1})
		other.state.Step(other.now, director.ProbeDue{})
		return other
	}
	refusedFor := func(vm *harness) time.Duration {
		_, e := vm.arrive(path)
		if _, sent := e.(*director.Send); sent {
			return 0
		}
		return expectRefusal(e).RetryAfter
	}

	It("is what would refuse the content, its quarantine, its trials and its release", func() {
		Expect(changed(func() { lose("/r/other"); lose(path); lose(path) })).To(BeFalse())
		Expect(stored().LostAnswers).To(BeEmpty())
		Expect(changed(func() { lose(path) })).To(BeTrue())
		Expect(stored().LostAnswers).To(HaveLen(3))
		Expect(changed(func() { crash(h) })).To(BeTrue())
		Expect(stored().LostAnswers).To(BeEmpty())
		Expect(stored().Quarantines).To(HaveLen(1))
		h.advance(11 * time.Second)
		h.read()
		var id model.RequestID
		Expect(changed(func() { id, _ = h.arrive(path) })).To(BeFalse())
		Expect(changed(func() { h.endSend(id, director.Lost) })).To(BeTrue())
		Expect(stored().Quarantines[0].Level).To(Equal(2))
		h.advance(21 * time.Second)
		h.read()
		Expect(changed(func() { answer(h) })).To(BeTrue())
		Expect(stored().Quarantines[0].Cleared).To(Equal(2))
		Expect(changed(func() { answer(h); h.advance(time.Minute); h.read() })).To(BeFalse())
	})

	// Pattern: each VM observes one crash, and the last message completes their number.
	// Guards against a quarantine that no VM stores.
	It("is written by the VMs that observed one of the crashes, whichever VM completes them", func() {
		lose(path)
		crash(h)
		others := director.PeerState{VM: "vm-2"}
		crashes := h.state.OwnPeerState(h.now).Crashes
		Expect(crashes).To(HaveLen(1))
		for _, target := range []model.TargetID{"x", "y"} {
			others.Crashes = append(others.Crashes, director.Crash{Cause: crashes[0].Cause, Target: target, Born: 1})
		}
		Expect(changed(func() { h.state.Step(h.now, others) })).To(BeTrue())
		Expect(stored().Quarantines).To(HaveLen(1))
		none := h.peer("vm-3")
		others.Crashes = append(others.Crashes, crashes...)
		none.state.Step(none.now, others)
		Expect(refusedFor(none)).NotTo(BeZero())
		Expect(none.state.ContentToStore(none.now).Quarantines).To(BeEmpty())
	})

	// Guards against rows and writes that grow with the number of VMs.
	It("is written by the VM that learned it only", func() {
		quarantine()
		other := h.peer("vm-2")
		other.state.Step(other.now, h.state.OwnPeerState(h.now))
		Expect(other.state.ContentChanged()).To(BeZero())
		Expect(other.state.ContentToStore(other.now).Quarantines).To(BeEmpty())
		other.advance(13 * time.Second)
		other.read()
		answer(other)
		Expect(other.state.ContentToStore(other.now).Quarantines).To(HaveLen(1), "released here")
	})

	// Pattern: the VMs of a zone inherit the same lost answers.
	DescribeTable("is written by one VM of a zone when its owner has ended", func(lead bool) {
		for range 3 {
			lose(path)
		}
		vm := startAlone("vm-2", stored())
		vm.state.Step(vm.now, director.ProbeDue{Lead: lead})
		crash(vm)
		Expect(refusedFor(vm)).NotTo(BeZero())
		Expect(vm.state.ContentToStore(vm.now).Quarantines).To(HaveLen(map[bool]int{true: 1}[lead]))
	},
		Entry("by the leader", true), Entry("not by the others", false),
	)

	It("has no lost answers to content that is quarantined", func() {
		var ids []model.RequestID
		for range 8 {
			id, e := h.arrive(path)
			expectSend(e)
			ids = append(ids, id)
		}
		quarantine()
		for _, id := range ids {
			h.endSend(id, director.Lost)
		}
		Expect(stored().LostAnswers).To(BeEmpty())
	})

	It("is bounded", func() {
		var ids []model.RequestID
		for n := range 50 {
			for range 8 {
				id, e := h.arrive("/r/bad" + string(rune('a'+n)))
				lostOn = append(lostOn, expectSend(e).Hops[0].Target)
				ids = append(ids, id)
			}
		}
		for _, id := range ids {
			h.endSend(id, director.Lost)
		}
		Expect(len(stored().LostAnswers)).To(And(BeNumerically(">", 28), BeNumerically("<=", 32)))
		crash(h)
		Expect(stored().Quarantines).To(HaveLen(16))
	})

	// Pattern: a harmless part that others share is in all requests with a crashing one, and
	// all VMs restart.
	It("holds the answered parts that lost answers, so that they are not taken for the cause", func() {
		harmless, crashing := model.PartID("harmless"), model.PartID("crashing")
		id, e := h.arriveWithParts(harmless)
		expectSend(e)
		h.state.Step(h.now, director.RequestFinished{ID: id, Delivered: true})
		for n := range 3 {
			h.advance(10 * time.Millisecond)
			Expect(len(stored().LostAnswers) > 0).To(Equal(n >= 2), "from the second target on")
			id, e := h.arriveWithParts(harmless, crashing)
			lostOn = append(lostOn, expectSend(e).Hops[0].Target)
			h.endSend(id, director.Lost)
			h.state.Step(h.now, director.RequestFinished{ID: id})
		}
		ofCrashing := slices.DeleteFunc(stored().LostAnswers, func(l director.LostAnswer) bool { return l.Cause != director.PartCause(crashing) })
		Expect(ofCrashing).To(HaveLen(3))
		Expect(stored().Answers).To(HaveExactElements(director.AnsweredPart{Part: director.PartCause(harmless), Age: 30 * time.Millisecond}))
		for _, answers := range [][]director.AnsweredPart{stored().Answers, nil} {
			row := stored()
			row.Answers = answers
			// The crashes are known to the VM that starts for both parts.
			for _, l := range row.LostAnswers {
				l.Cause = director.PartCause(harmless)
				row.LostAnswers = append(row.LostAnswers, l)
			}
			vm := startAlone("vm-2", row)
			crash(vm)
			_, e = vm.arriveWithParts(crashing)
			expectRefusal(e)
			_, e = vm.arriveWithParts(harmless)
			if answers != nil {
				expectSend(e)
				continue
			}
			expectRefusal(e)
		}
	})

	It("is refused by a VM that starts for the rest of the quarantine", func() {
		quarantine()
		row := stored()
		row.Elapsed = 4 * time.Second
		Expect(refusedFor(startAlone("vm-2", row))).To(Equal(6 * time.Second))
		row.Elapsed = 11 * time.Minute
		expired := startAlone("vm-2", row)
		Expect(expired.state.OwnPeerState(expired.now).Quarantines).To(BeEmpty())
	})

	It("counts from when it was read, and once", func() {
		quarantine()
		vm := start("vm-2", stored())
		vm.advance(4 * time.Second)
		vm.state.Step(vm.now, director.ProbeDue{})
		Expect(refusedFor(vm)).To(Equal(6 * time.Second))
		vm.advance(11 * time.Second)
		vm.read()
		vm.state.Step(vm.now, director.ProbeDue{})
		answer(vm)
		vm.state.Step(vm.now, director.ProbeDue{})
		Expect(refusedFor(vm)).To(BeZero())
	})

	// Pattern: all VMs restart twice.
	It("is stored again by its VM with what it learns later", func() {
		quarantine()
		again := startAlone("vm-1", stored())
		Expect(again.state.ContentToStore(again.now).Quarantines).To(HaveLen(1))
	})

	// Pattern: all VMs are killed before the crashes are confirmed.
	It("counts at VMs that start when all have ended", func() {
		for range 3 {
			lose(path)
		}
		row := stored()
		row.Elapsed = 6 * time.Second
		h.advance(6 * time.Second)
		for _, hear := range []func(vm *harness){
			func(vm *harness) {
				vm.state.Step(vm.now, director.VMsCounted{Count: 2})
				vm.state.Step(vm.now, director.PeerState{VM: row.VM, Process: 9, Uptime: 5 * time.Second})
			},
			func(vm *harness) {
				vm.state.Step(vm.now, director.VMsCounted{Count: 3})
				vm.state.Step(vm.now, director.PeerState{VM: row.VM, Process: 9, Uptime: 5 * time.Second})
				vm.advance(700 * time.Millisecond)
				vm.state.Step(vm.now, director.ProbeDue{})
			},
		} {
			vm := start("vm-2", row)
			crash(vm)
			vm.state.Step(vm.now, director.ProbeDue{})
			Expect(refusedFor(vm)).To(BeZero())
			hear(vm)
			Expect(refusedFor(vm)).NotTo(BeZero())
		}
		row.Elapsed = 11 * time.Second
		vm := startAlone("vm-2", row)
		crash(vm)
		Expect(refusedFor(vm)).To(BeZero(), "too old")
	})

	// Pattern: popular content. A VM that runs since before the row was written has
	// received what is in it, and what became of it.
	DescribeTable("counts at a VM that starts unless another one knows it", func(uptime time.Duration, counts bool) {
		for range 3 {
			lose(path)
		}
		lost := stored()
		crash(h)
		refused := stored()
		lost.VM, lost.Process, refused.Process = "vm-3", 5, 5
		lost.Elapsed, refused.Elapsed = 4*time.Second, 4*time.Second
		vm := start("vm-2", lost, refused)
		message := director.PeerState{VM: "vm-4", Process: 8, Uptime: uptime}
		for range 4 {
			vm.advance(250 * time.Millisecond)
			vm.state.Step(vm.now, message)
			vm.state.Step(vm.now, director.ProbeDue{})
			message.Uptime += 250 * time.Millisecond
		}
		Expect(refusedFor(vm) > 0).To(Equal(counts))
	},
		Entry("and started before it was written", 4300*time.Millisecond, false),
		Entry("and started later", 4200*time.Millisecond, true),
	)

	// Pattern: the store is away when the VM starts, so that it reads the rows after it has
	// received messages.
	It("does not count before the other VMs have sent a message since it was read", func() {
		quarantine()
		row := stored()
		row.Process, row.Elapsed = 5, 4*time.Second
		vm := h.peer("vm-2")
		vm.state.Step(vm.now, director.VMsCounted{Count: 2})
		message := director.PeerState{VM: "vm-4", Process: 8, Uptime: time.Minute}
		vm.state.Step(vm.now, message)
		vm.advance(10 * time.Millisecond)
		vm.state.Step(vm.now, director.ContentRead{Stored: []director.StoredContent{row}})
		vm.state.Step(vm.now, director.ProbeDue{})
		Expect(refusedFor(vm)).To(BeZero())
		vm.state.Step(vm.now, message)
		vm.advance(time.Second)
		vm.state.Step(vm.now, director.ProbeDue{})
		Expect(refusedFor(vm)).To(BeZero())
	})

	It("does not count while its owner runs, however late it wrote its row", func() {
		quarantine()
		row := stored()
		row.Process = 5
		vm := start("vm-2", row)
		vm.state.Step(vm.now, director.PeerState{VM: row.VM, Process: 5})
		vm.advance(time.Second)
		vm.state.Step(vm.now, director.ProbeDue{})
		Expect(refusedFor(vm)).To(BeZero())
	})

	// Pattern: a VM that starts reads the quarantine, and then receives or confirms the
	// crashes that led to it.
	It("is not refused for longer by a VM that counts the same crashes again", func() {
		for range 3 {
			lose(path)
		}
		lostBefore := stored()
		lostBefore.VM = "vm-3"
		crash(h)
		for _, rows := range [][]director.StoredContent{{stored()}, {stored(), lostBefore}} {
			vm := startAlone("vm-2", rows...)
			vm.state.Step(vm.now, h.state.OwnPeerState(h.now))
			known := vm.state.OwnPeerState(vm.now).Quarantines
			Expect(known).To(HaveLen(1))
			Expect(known[0].Level).To(Equal(1))
			Expect(known[0].Remaining).To(Equal(10 * time.Second))
		}
	})

	It("is dropped when its content is answered", func() {
		for range 3 {
			lose(path)
		}
		Expect(changed(func() { answer(h) })).To(BeTrue())
		Expect(stored().LostAnswers).To(BeEmpty())
	})

	// Pattern: the store comes back from an older copy. Rows written later are lost, and
	// its clock says nothing on the age of the others.
	Context("when its row is of an earlier era of the store", func() {
		var older director.StoredContent
		BeforeEach(func() {
			quarantine()
			older = stored()
			older.EarlierEra = true
		})

		It("is not known by a VM that has run for long", func() {
			vm := start("vm-2", older)
			vm.state.Step(vm.now, director.PeerState{VM: "vm-4", Process: 8, Uptime: time.Hour})
			vm.advance(time.Second)
			vm.state.Step(vm.now, director.ProbeDue{})
			Expect(refusedFor(vm)).To(BeNumerically(">", 8*time.Second))
		})

		It("only adds quarantines, for the time that they had left", func() {
			Expect(refusedFor(startAlone("vm-2", older))).To(Equal(10 * time.Second))
			older.Quarantines[0].Cleared = older.Quarantines[0].Level
			released := startAlone("vm-2", older)
			Expect(refusedFor(released)).To(BeZero())
			released.state.Step(released.now, director.PeerState{VM: "vm-3", Quarantines: stored().Quarantines})
			Expect(refusedFor(released)).NotTo(BeZero(), "a release of an earlier quarantine ends no later one")
		})

		DescribeTable("never ends or shortens one that is known", func(level, cleared int, remaining time.Duration) {
			row := stored()
			row.Quarantines[0].Level, row.Quarantines[0].Remaining = 2, 20*time.Second
			q := &older.Quarantines[0]
			q.Level, q.Cleared, q.Remaining = level, cleared, remaining
			Expect(refusedFor(startAlone("vm-2", older, row))).To(Equal(20 * time.Second))
			known := h.peer("vm-2")
			known.state.Step(known.now, director.PeerState{VM: "vm-3", Quarantines: row.Quarantines})
			known.state.Step(known.now, director.ContentRead{Stored: []director.StoredContent{older}})
			known.advance(time.Second)
			known.state.Step(known.now, director.ProbeDue{})
			Expect(refusedFor(known)).To(BeNumerically(">=", 19*time.Second))
		},
			Entry("released", 9, 9, time.Duration(0)), Entry("released before", 9, 8, time.Second), Entry("over", 2, 0, time.Duration(0)),
			Entry("an earlier one", 1, 0, 3*time.Second),
		)
	})
})
