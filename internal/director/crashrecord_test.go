package director_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

var _ = Describe("a request that crashes each target that runs it", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		for _, id := range []model.TargetID{"o1", "o2", "o3", "o4"} {
			h.addTarget(id, orders, "a", 0, 0)
		}
		h.config.Services[llm].Engine.LayerMB = 500 // a target holds the whole model
		for _, id := range []model.TargetID{"l1", "l2", "l3", "l4"} {
			h.addTarget(id, llm, "a", 0, 80)
		}
		h.read()
	})

	crash := func(id model.TargetID) {
		h.changeTarget(id, func(t *fleet.Target) { t.StartedMs++ })
		h.read()
	}
	// lose sends a request until it is refused. Each answer is lost, and the targets
	// crash when crashing is true.
	lose := func(h *harness, path string, crashing bool) *director.Refuse {
		id, e := h.arrive(path)
		for range 5 {
			send, ok := e.(*director.Send)
			if !ok {
				break
			}
			e = h.endSend(id, director.Lost)
			if crashing {
				crash(send.Hops[0].Target)
			}
			h.advance(50 * time.Millisecond)
		}
		return expectRefusal(e)
	}

	// Pattern: the caller retries the request after each crash.
	It("is refused as not run after three crashes, with a Retry-After that grows with each", func() {
		refusal := lose(h, "/r/bad", true)
		Expect(refusal.Status).To(Equal(http.StatusBadGateway), "it ran and crashed three targets")
		refusal = lose(h, "/r/bad", true)
		Expect(refusal.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(refusal.RetryAfter).To(And(BeNumerically(">", 5*time.Second), BeNumerically("<", time.Minute)))
		Expect(refusal.Reason).To(ContainSubstring("crashed"))
		_, e := h.arrive("/r/other")
		expectSend(e)
		ran := 0
		for range 60 {
			h.advance(time.Second)
			h.read()
			id, e := h.arrive("/r/bad")
			if send, ok := e.(*director.Send); ok {
				ran++
				h.endSend(id, director.Lost)
				crash(send.Hops[0].Target)
				h.state.Step(h.now, director.RequestFinished{ID: id})
			}
		}
		Expect(ran).To(BeNumerically("<=", 3))
	})

	It("is refused by VMs that received its crashes", func() {
		lose(h, "/r/bad", true)
		other := h.peer("vm-2")
		other.state.Step(other.now, h.state.OwnPeerState(h.now))
		_, e := other.arrive("/r/bad")
		Expect(expectRefusal(e).Reason).To(ContainSubstring("crashed"))
	})

	// Pattern: each target sends the head of a stream and crashes before the first event.
	It("is refused when the targets crash between the head and the first event", func() {
		id, e := h.arrive("/s/bad")
		for range 3 {
			send := expectSend(e)
			e = h.endSend(id, director.Broken)
			crash(send.Hops[0].Target)
		}
		Expect(expectRefusal(h.endSend(id, director.Rejected)).Reason).To(ContainSubstring("crashed"))
		_, e = h.arrive("/s/bad")
		Expect(expectRefusal(e).Status).To(Equal(http.StatusServiceUnavailable))
	})

	// Pattern: a layer has a single holder, to which a stream is sent again after each
	// restart.
	It("is refused when it crashes three incarnations of one target", func() {
		for _, id := range []model.TargetID{"l2", "l3", "l4"} {
			delete(h.targets, id)
		}
		h.read()
		id, e := h.arrive("/s/bad")
		h.state.Step(h.now, director.AnswerStarted{ID: id})
		for range 3 {
			expectSend(e)
			e = h.endSend(id, director.Broken)
			crash("l1")
			if wait, ok := e.(*director.Wait); ok {
				h.advance(wait.For)
				e = lastEffect(h.state.Step(h.now, director.WaitElapsed{ID: id}))
			}
		}
		Expect(expectRefusal(e).Reason).To(ContainSubstring("crashed"))
		_, e = h.arrive("/s/bad")
		Expect(expectRefusal(e).Reason).To(ContainSubstring("crashed"))
	})

	// breakStream starts a stream on each of three targets, breaks each off some time
	// after its first event, and crashes the target.
	breakStream := func(path string, after time.Duration) director.Effect {
		id, e := h.arrive(path)
		for range 3 {
			send := expectSend(e)
			h.state.Step(h.now, director.AnswerStarted{ID: id})
			h.advance(after)
			if after >= director.ProgressTime {
				h.state.Step(h.now, director.StreamProgressed{ID: id})
			}
			e = h.endSend(id, director.Broken)
			crash(send.Hops[0].Target)
		}
		h.state.Step(h.now, director.RequestFinished{ID: id})
		_, e = h.arrive(path)
		return e
	}

	// Pattern: the request starts to run with its first token, which is delivered
	// before the target crashes.
	It("is refused when the targets crash right after the first event", func() {
		Expect(expectRefusal(breakStream("/s/bad", 50*time.Millisecond)).Reason).To(ContainSubstring("crashed"))
	})

	// Pattern: targets that crash for another reason break off streams that many
	// callers have read for a while.
	It("is not assumed when its streams had run for a while", func() {
		expectSend(breakStream("/s/popular", time.Second))
	})

	// Pattern: a stream that has run for a while is sent on to targets that crash in
	// the same fault before they send its next event.
	It("is not assumed when one of its sends had run for a while", func() {
		id, e := h.arrive("/s/popular")
		first := expectSend(e)
		h.state.Step(h.now, director.AnswerStarted{ID: id})
		h.advance(time.Second)
		h.state.Step(h.now, director.StreamProgressed{ID: id})
		e = h.endSend(id, director.Broken)
		crash(first.Hops[0].Target)
		for range 3 {
			send := expectSend(e)
			e = h.endSend(id, director.Broken)
			crash(send.Hops[0].Target)
		}
		_, e = h.arrive("/s/popular")
		expectSend(e)
	})

	// Pattern: a VM starts, or is reachable again, long after the crashes.
	It("is refused by a VM that starts during the quarantine, for the rest of it", func() {
		lose(h, "/r/bad", true)
		_, e := h.arrive("/r/bad")
		left := expectRefusal(e).RetryAfter - 6*time.Second
		h.advance(6 * time.Second)
		other := h.peer("vm-0")
		other.state.Step(other.now, h.state.OwnPeerState(h.now))
		_, e = other.arrive("/r/bad")
		Expect(expectRefusal(e).RetryAfter).To(Equal(left))
	})

	// Pattern: a VM is suspended and receives old messages when it continues, or two VMs
	// receive each other's messages late.
	It("is not refused for longer because VMs repeat each other's quarantine", func() {
		lose(h, "/r/bad", true)
		_, e := h.arrive("/r/bad")
		ends := h.now.Add(expectRefusal(e).RetryAfter)
		other := h.peer("vm-2")
		for range 10 {
			toOther := h.state.OwnPeerState(h.now)
			h.advance(500 * time.Millisecond)
			other.now = h.now
			h.read()
			other.read()
			other.state.Step(other.now, toOther)
			h.state.Step(h.now, other.state.OwnPeerState(other.now))
		}
		_, e = h.arrive("/r/bad")
		Expect(h.now.Add(expectRefusal(e).RetryAfter)).To(Equal(ends))
	})

	// Pattern: a request of popular content that was in flight before the quarantine is
	// answered, while another VM still sends the crashes that were counted before.
	It("is served once its content was answered, though another VM repeats its crashes", func() {
		answered, _ := h.arrive("/r/popular")
		lose(h, "/r/popular", true)
		other := h.peer("vm-2")
		other.state.Step(other.now, h.state.OwnPeerState(h.now))
		h.state.Step(h.now, director.RequestFinished{ID: answered, Delivered: true})
		h.state.Step(h.now, other.state.OwnPeerState(other.now))
		_, e := h.arrive("/r/popular")
		expectSend(e)
	})

	// Pattern: the same, on a VM that only received the crashes.
	It("is served by every VM once one of them has received an answer to its content", func() {
		answered, _ := h.arrive("/r/popular")
		lose(h, "/r/popular", true)
		other := h.peer("vm-2")
		other.state.Step(other.now, h.state.OwnPeerState(h.now))
		h.state.Step(h.now, director.RequestFinished{ID: answered, Delivered: true})
		other.state.Step(other.now, h.state.OwnPeerState(h.now))
		_, e := other.arrive("/r/popular")
		expectSend(e)
	})

	// Pattern: the same, while a VM waits to learn whether the targets that lost its own
	// answers crashed.
	It("is not refused for answers lost before another VM received an answer to its content", func() {
		other := h.peer("vm-2")
		var lostOn []model.TargetID
		for range 3 {
			id, e := other.arrive("/r/popular")
			send := expectSend(e)
			other.endSend(id, director.Lost)
			other.state.Step(other.now, director.RequestFinished{ID: id})
			lostOn = append(lostOn, send.Hops[0].Target)
		}
		answered, _ := h.arrive("/r/popular")
		lose(h, "/r/popular", true)
		h.state.Step(h.now, director.RequestFinished{ID: answered, Delivered: true})
		other.state.Step(other.now, h.state.OwnPeerState(h.now))
		for _, id := range lostOn {
			crash(id)
		}
		other.read()
		_, e := other.arrive("/r/popular")
		expectSend(e)
	})

	// Pattern: a VM that starts learns of a quarantine shortly before the others remove it,
	// and sends it to them again.
	It("expires at all VMs, though they send it to each other", func() {
		lose(h, "/r/bad", true)
		vms := []*harness{h, h.peer("vm-2")}
		for minute := range 12 {
			if minute == 8 {
				vms[1] = h.peer("vm-2")
			}
			exchange(vms)
			for _, vm := range vms {
				vm.advance(time.Minute)
				vm.read()
			}
		}
		exchange(vms)
		for _, vm := range vms {
			vm.read()
			Expect(vm.state.OwnPeerState(vm.now).Quarantines).To(BeEmpty())
		}
	})

	// probe answers the connection probes of the next intervals and returns their number.
	probe := func(refused bool) int {
		probes := 0
		for range 4 {
			h.advance(250 * time.Millisecond)
			for _, effect := range h.state.Step(h.now, director.ProbeDue{}) {
				if e, ok := effect.(*director.ProbeConnection); ok {
					probes++
					h.state.Step(h.now, director.ConnectionProbed{Target: e.Target, Refused: refused, Accepted: !refused})
				}
			}
		}
		return probes
	}

	// Pattern: the targets of a plain service take long to restart, or the store is
	// unreachable, so that no registration shows their crashes.
	It("is refused once the targets refuse connections, though they stay registered", func() {
		h.config.Routes[1].MaxTargets = 3
		lose(h, "/r/bad", false)
		Expect(probe(true)).To(Equal(6), "two for each target")
		_, e := h.arrive("/r/bad")
		Expect(expectRefusal(e).Reason).To(ContainSubstring("crashed"))
	})

	// Pattern: targets restart within a report interval while the store is unreachable.
	It("is refused once other incarnations answer at the targets' addresses", func() {
		id, e := h.arrive("/s/bad")
		for range 3 {
			send := expectSend(e)
			e = h.endSend(id, director.Lost)
			h.state.Step(h.now, director.ReportRead{Target: send.Hops[0].Target, Report: &fleet.Report{Slowdown: 1, StartedMs: 2}})
		}
		h.state.Step(h.now, director.RequestFinished{ID: id})
		_, e = h.arrive("/s/bad")
		Expect(expectRefusal(e).Reason).To(ContainSubstring("crashed"))
	})

	It("is not assumed when the targets accept connections", func() {
		for range 3 {
			lose(h, "/r/unlucky", false)
			Expect(probe(false)).To(BeNumerically("<=", 4))
		}
		_, e := h.arrive("/r/unlucky")
		expectSend(e)
	})

	// Pattern: a VM has no retries left, so that each request with the content reaches
	// one target and each VM observes one lost answer.
	DescribeTable("is looked for after a single lost answer, with as few connections as it takes", func(refused bool, probes int) {
		id, e := h.arrive("/r/unlucky")
		expectSend(e)
		h.endSend(id, director.Lost)
		h.state.Step(h.now, director.RequestFinished{ID: id})
		Expect(probe(refused)).To(Equal(probes))
	},
		Entry("that the target accepts", false, 1), Entry("that the target refuses", true, 2),
	)

	// vmsAtExpiry returns four VMs that quarantined the content of a path, at the end of
	// the quarantine.
	vmsAtExpiry := func(path string) []*harness {
		vms := []*harness{h, h.peer("vm-2"), h.peer("vm-3"), h.peer("vm-4")}
		exchange(vms)
		lose(h, path, true)
		exchange(vms)
		_, e := h.arrive(path)
		expired := h.now.Add(expectRefusal(e).RetryAfter)
		for _, vm := range vms {
			vm.now = expired
			vm.read()
		}
		exchange(vms)
		return vms
	}

	// Pattern: callers send the request to all VMs when the quarantine expires, and the
	// crash of the first target is confirmed only seconds later.
	It("is sent once, by one VM, after each quarantine", func() {
		sends := 0
		vms := vmsAtExpiry("/r/bad")
		for step := range 80 {
			for _, vm := range vms {
				vm.advance(100 * time.Millisecond)
				vm.read()
				id, e := vm.arrive("/r/bad")
				if _, ok := e.(*director.Send); ok {
					sends++
					Expect(expectRefusal(vm.endSend(id, director.Lost)).Status).To(Equal(http.StatusBadGateway), "no second target")
				}
			}
			if step%6 == 0 {
				exchange(vms)
			}
		}
		Expect(sends).To(Equal(1))
	})

	// Pattern: the request arrives at all VMs in one instant, long after the quarantine.
	It("is sent by one VM at most when it arrives at all of them in one instant", func() {
		vms := vmsAtExpiry("/r/bad")
		total := 0
		for range 40 {
			sends := 0
			for _, vm := range vms {
				vm.advance(700 * time.Millisecond)
				vm.read()
				id, e := vm.arrive("/r/bad")
				if _, ok := e.(*director.Send); ok {
					sends++
					vm.state.Step(vm.now, director.RequestFinished{ID: id}) // its caller has left
				}
			}
			exchange(vms)
			Expect(sends).To(BeNumerically("<=", 1))
			total += sends
		}
		Expect(total).To(BeNumerically(">", 4), "probation continues")
	})

	It("is not sent to a second target while the first send is in flight", func() {
		vms := vmsAtExpiry("/s/bad")
		id, e := h.arrive("/s/bad")
		send := expectSend(e)
		for range 12 {
			exchange(vms)
			for _, vm := range vms {
				vm.advance(time.Second)
				vm.read()
				_, e := vm.arrive("/s/bad")
				Expect(expectRefusal(e).Reason).To(ContainSubstring("crashed"))
			}
		}
		h.state.Step(h.now, director.ReportRead{Target: send.Hops[0].Target})
		idle := h.state.Step(h.now, director.StreamIdle{ID: id, For: time.Second})
		Expect(idle).NotTo(ContainElement(BeAssignableToTypeOf(&director.Divert{})))
	})

	// Pattern: two VMs try the content at once, and the other one loses its answer first.
	It("is not sent on when another VM quarantines it again meanwhile", func() {
		vms := vmsAtExpiry("/r/bad")
		id, e := h.arrive("/r/bad")
		expectSend(e)
		again := h.state.OwnPeerState(h.now).Quarantines[0]
		again.Level, again.Remaining = again.Level+1, 20*time.Second
		h.state.Step(h.now, director.PeerState{VM: vms[1].state.OwnPeerState(h.now).VM, Quarantines: []director.Quarantine{again}})
		Expect(expectRefusal(h.endSend(id, director.Rejected)).Status).To(Equal(http.StatusServiceUnavailable), "it has not run")
	})

	// Pattern: harmless streams that callers have read for a while lose their targets
	// while their content is quarantined.
	It("is sent on after it had run for a while, though its content is quarantined", func() {
		id, e := h.arrive("/s/popular")
		expectSend(e)
		h.state.Step(h.now, director.AnswerStarted{ID: id})
		lose(h, "/s/popular", true)
		h.advance(time.Second)
		h.state.Step(h.now, director.StreamProgressed{ID: id})
		_, e = h.arrive("/s/popular")
		expectRefusal(e)
		expectSend(h.endSend(id, director.Broken))
	})

	// Pattern: harmless content was running on several targets that crashed.
	It("is served at all VMs once a send after the quarantine was answered", func() {
		vms := vmsAtExpiry("/r/popular")
		id, e := h.arrive("/r/popular")
		expectSend(e)
		e = h.endSend(id, director.Rejected)
		expectSend(e)
		h.state.Step(h.now, director.RequestFinished{ID: id, Delivered: true})
		exchange(vms)
		for _, vm := range vms {
			for range 3 {
				_, e := vm.arrive("/r/popular")
				expectSend(e)
			}
		}
	})

	// Pattern: a stream waits for a path while its content is quarantined by another VM.
	It("is not sent on after a wait while it is quarantined", func() {
		other := h.peer("vm-2")
		id, e := other.arrive("/s/bad")
		expectSend(e)
		other.state.Step(other.now, director.AnswerStarted{ID: id})
		other.advance(time.Second)
		for range 4 {
			e = other.endSend(id, director.Rejected)
			other.advance(10 * time.Millisecond)
		}
		Expect(e).To(BeAssignableToTypeOf(&director.Wait{}))
		lose(h, "/s/bad", true)
		other.advance(3 * time.Second)
		other.state.Step(other.now, h.state.OwnPeerState(h.now))
		e = lastEffect(other.state.Step(other.now, director.WaitElapsed{ID: id}))
		Expect(expectRefusal(e).Reason).To(ContainSubstring("crashed"))
	})

	// Pattern: many callers send the same content, and several targets crash at once
	// while running it.
	It("is not assumed when its content is answered meanwhile for any caller", func() {
		for range 4 {
			lost, e := h.arrive("/r/popular")
			send := expectSend(e)
			h.endSend(lost, director.Lost)
			answered, _ := h.arrive("/r/popular")
			h.state.Step(h.now, director.RequestFinished{ID: answered, Delivered: true})
			crash(send.Hops[0].Target)
			h.state.Step(h.now, director.RequestFinished{ID: lost})
			h.advance(time.Second)
			h.read()
		}
		_, e := h.arrive("/r/popular")
		expectSend(e)
	})

	It("counts a target once, however many answers were lost on it", func() {
		var lost []model.RequestID
		var target model.TargetID
		for range 12 {
			id, e := h.arrive("/r/popular")
			if target == "" || expectSend(e).Hops[0].Target == target {
				target = expectSend(e).Hops[0].Target
				lost = append(lost, id)
			}
		}
		Expect(len(lost)).To(BeNumerically(">=", 3))
		for _, id := range lost {
			h.endSend(id, director.Lost)
		}
		crash(target)
		_, e := h.arrive("/r/popular")
		expectSend(e)
	})

	// Pattern: answers of many targets are lost and none of the targets crashes.
	It("is not assumed when its answers are lost without a crash", func() {
		for range 3 {
			lose(h, "/r/unlucky", false)
		}
		h.advance(6 * time.Second)
		h.read()
		crash("o1")
		_, e := h.arrive("/r/unlucky")
		expectSend(e)
	})
})
