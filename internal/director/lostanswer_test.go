package director_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

var _ = Describe("answers that a VM lost on targets that may have crashed", func() {
	var h, other *harness
	var lostOn []model.TargetID
	const path = "/r/bad"
	BeforeEach(func() {
		h = newHarness()
		for _, id := range []model.TargetID{"o1", "o2", "o3", "o4"} {
			h.addTarget(id, orders, "a", 0, 0)
		}
		h.read()
		other = h.peer("vm-2")
		lostOn = nil
		for range 3 {
			id, e := other.arrive(path)
			lostOn = append(lostOn, expectSend(e).Hops[0].Target)
			other.endSend(id, director.Lost)
			other.state.Step(other.now, director.RequestFinished{ID: id})
		}
	})

	// receive passes on a message of the other VM, and crash restarts the targets.
	receive := func() { h.state.Step(h.now, other.state.OwnPeerState(other.now)) }
	crash := func() {
		for _, id := range lostOn {
			h.changeTarget(id, func(t *fleet.Target) { t.StartedMs++ })
		}
		h.read()
	}
	// restart passes on the first message of the other VM's next process.
	restart := func() { h.state.Step(h.now, director.PeerState{VM: "vm-2", Process: 7}) }
	silence := func(d time.Duration) {
		h.advance(d)
		h.state.Step(h.now, director.ProbeDue{Lead: true})
		h.read()
	}
	expectServed := func() {
		_, e := h.arrive(path)
		expectSend(e)
	}
	expectRefused := func() {
		_, e := h.arrive(path)
		Expect(expectRefusal(e).Reason).To(ContainSubstring("crashed"))
	}

	It("are sent to other VMs with their age, those to the content with most targets first", func() {
		other.advance(100 * time.Millisecond)
		id, e := other.arrive("/r/other")
		expectSend(e)
		other.endSend(id, director.Lost)
		sent := other.state.OwnPeerState(other.now).LostAnswers
		Expect(sent).To(HaveLen(4))
		Expect(sent[0].Cause).To(Equal(sent[2].Cause))
		Expect(sent[0].Age).To(Equal(100 * time.Millisecond))
		Expect(sent[3].Cause).NotTo(Equal(sent[0].Cause))
	})

	// Pattern: a target crashes while many requests with the same content run on it.
	It("are sent once for each target", func() {
		var ids []model.RequestID
		for range 12 {
			id, e := other.arrive(path)
			expectSend(e)
			ids = append(ids, id)
		}
		for _, id := range ids {
			other.endSend(id, director.Lost)
		}
		Expect(len(other.state.OwnPeerState(other.now).LostAnswers)).To(BeNumerically("<=", 4))
	})

	It("are bounded in a message", func() {
		for n := range 40 {
			id, _ := other.arrive("/r/other" + string(rune('a'+n)))
			other.endSend(id, director.Lost)
		}
		Expect(len(other.state.OwnPeerState(other.now).LostAnswers)).To(BeNumerically("<=", 16))
	})

	// Pattern: the VM is killed before it has confirmed the crashes.
	It("count at the others when its process has restarted", func() {
		receive()
		crash()
		expectServed()
		restart()
		expectRefused()
	})

	It("count at the others when it is silent", func() {
		receive()
		crash()
		silence(900 * time.Millisecond)
		expectServed()
		silence(200 * time.Millisecond)
		expectRefused()
	})

	// Guards against content that is refused although the VM that lost the answers has
	// delivered one since: its messages were lost for a while, so it counted as ended.
	It("do not count once its process sends messages again", func() {
		receive()
		id, e := other.arrive(path)
		expectSend(e)
		other.state.Step(other.now, director.RequestFinished{ID: id, Delivered: true})
		silence(1050 * time.Millisecond)
		receive()
		crash()
		expectServed()
	})

	It("count at the others when their targets restart after it has ended", func() {
		receive()
		restart()
		expectServed()
		crash()
		expectRefused()
	})

	It("do not count for longer than at the VM itself", func() {
		other.advance(3 * time.Second)
		receive()
		restart()
		silence(3 * time.Second)
		crash()
		expectServed()
	})

	// Guards against knowledge that waits for the next regular message, and against a
	// message for each of many unrelated answers that are lost.
	It("are sent without delay once the content has lost answers on two targets", func() {
		learned := func(vm *harness, f func()) bool {
			before := vm.state.Learned()
			f()
			return vm.state.Learned() != before
		}
		lose := func(path string) func() {
			return func() {
				id, e := h.arrive(path)
				expectSend(e)
				h.endSend(id, director.Lost)
				h.state.Step(h.now, director.RequestFinished{ID: id})
			}
		}
		Expect(learned(h, lose("/r/x"))).To(BeFalse())
		Expect(learned(h, lose("/r/x"))).To(BeTrue())
		Expect(learned(h, receive)).To(BeFalse(), "others have sent it")
		Expect(learned(h, lose(path))).To(BeTrue(), "another VM has lost answers to it")
		Expect(learned(h, crash)).To(BeFalse(), "two targets")
		Expect(learned(other, func() { other.read() })).To(BeTrue(), "quarantined")
		other.advance(11 * time.Second)
		other.read()
		var id model.RequestID
		Expect(learned(other, func() {
			var e director.Effect
			id, e = other.arrive(path)
			expectSend(e)
		})).To(BeTrue(), "on probation")
		Expect(learned(other, func() {
			other.state.Step(other.now, director.RequestFinished{ID: id, Delivered: true})
		})).To(BeTrue(), "released")
	})

	// Pattern: popular content on targets that crash for another reason is answered at
	// the VM that lost other answers to it.
	It("do not count at the others while it runs, and not once it drops them", func() {
		receive()
		crash()
		id, e := other.arrive(path)
		expectSend(e)
		other.state.Step(other.now, director.RequestFinished{ID: id, Delivered: true})
		receive()
		restart()
		expectServed()
	})

	// Pattern: the same, and the content is answered at another VM only.
	It("do not count where their content was answered before it ended", func() {
		receive()
		id, e := h.arrive(path)
		expectSend(e)
		h.state.Step(h.now, director.RequestFinished{ID: id, Delivered: true})
		receive()
		learned := h.state.Learned()
		id, e = h.arrive(path)
		expectSend(e)
		h.endSend(id, director.Lost)
		Expect(h.state.Learned()).To(Equal(learned), "the first target since the answer")
		crash()
		restart()
		expectServed()
	})

	// Pattern: the other VM is killed, and this one starts at the same time, or reads an
	// older copy of the store.
	It("count only once the targets are known, and not for an earlier incarnation", func() {
		fresh := newHarnessOf("vm-0")
		fresh.now, fresh.config, fresh.targets, fresh.rows = h.now, h.config, h.targets, h.rows
		fresh.state.Step(fresh.now, director.ConfigRead{Config: fresh.config, Started: fresh.now})
		newer := other.state.OwnPeerState(other.now)
		for i := range newer.LostAnswers {
			newer.LostAnswers[i].Born += 5
		}
		fresh.state.Step(fresh.now, newer)
		fresh.state.Step(fresh.now, director.PeerState{VM: "vm-2", Process: 7})
		fresh.read()
		_, e := fresh.arrive(path)
		expectSend(e)
	})

	// Pattern: a VM ends in a zone of many VMs while targets refuse connections.
	It("are looked for by one VM of a zone", func() {
		receive()
		restart()
		probes := func(lead bool) (n int) {
			h.advance(300 * time.Millisecond)
			for _, effect := range h.state.Step(h.now, director.ProbeDue{Lead: lead}) {
				if _, ok := effect.(*director.ProbeConnection); ok {
					n++
				}
			}
			return n
		}
		Expect(probes(false)).To(BeZero())
		Expect(probes(true)).To(Equal(3))
	})
})
