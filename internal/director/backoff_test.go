package director_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

var _ = Describe("a target that requests a backoff of this VM", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.addTarget("o1", orders, "a", 0, 0)
		h.addTarget("head", llm, "a", 0, 40)
		h.addTarget("tail", llm, "a", 40, 80)
		h.read()
	})

	// requestBackoff has the target of a request reject it and request a backoff, and returns the effect
	// of the end of the send.
	requestBackoff := func(path string, d time.Duration) director.Effect {
		id, e := h.arrive(path)
		expectSend(e)
		h.state.Step(h.now, director.BackoffRequested{ID: id, For: d})
		return h.endSend(id, director.Rejected)
	}
	expectBackoff := func(path string, left time.Duration) {
		_, e := h.arrive(path)
		refusal := expectRefusal(e)
		ExpectWithOffset(1, refusal.Reason).To(ContainSubstring("requested a backoff"))
		ExpectWithOffset(1, refusal.RetryAfter).To(BeNumerically("~", left, left/2+time.Millisecond))
	}

	DescribeTable("gets no request until it ends", func(path string) {
		Expect(expectRefusal(requestBackoff(path, 3*time.Second)).Status).To(Equal(503))
		for passed := 100 * time.Millisecond; passed < 3*time.Second; passed += 100 * time.Millisecond {
			h.advance(100 * time.Millisecond)
			h.read()
			expectBackoff(path, 3*time.Second-passed)
		}
		h.advance(100 * time.Millisecond)
		_, e := h.arrive(path)
		expectSend(e)
	},
		Entry("plain", "/r/x"), Entry("stream", "/s/x"),
	)

	// Guards against what ends a suspicion, and must not end a backoff.
	DescribeTable("keeps its backoff through", func(event func(running model.RequestID)) {
		running, e := h.arrive("/s/earlier")
		expectSend(e)
		requestBackoff("/s/x", 3*time.Second)
		h.advance(700 * time.Millisecond)
		event(running)
		h.advance(700 * time.Millisecond)
		expectBackoff("/s/x", 1600*time.Millisecond)
	},
		Entry("the answer to an earlier request", func(running model.RequestID) {
			h.state.Step(h.now, director.AnswerStarted{ID: running})
			h.state.Step(h.now, director.RequestFinished{ID: running, Delivered: true})
		}),
		Entry("a report", func(model.RequestID) {
			h.state.Step(h.now, director.ReportRead{Target: "head", Report: &fleet.Report{Slowdown: 1, StartedMs: 1}})
		}),
		Entry("a new plan", func(model.RequestID) {
			h.changeTarget("head", func(t *fleet.Target) { t.Held.End = 50 })
			h.read()
		}),
		Entry("changed settings", func(model.RequestID) {
			h.state.Step(h.now, director.SettingsChanged{Settings: harnessSettings})
		}),
		Entry("a shorter backoff", func(running model.RequestID) {
			h.state.Step(h.now, director.BackoffRequested{ID: running, For: 100 * time.Millisecond})
		}),
		Entry("the end of its registration for a moment", func(model.RequestID) {
			head := h.targets["head"]
			delete(h.targets, "head")
			h.read()
			h.targets["head"] = head
			h.read()
		}),
	)

	It("is used again by its next incarnation", func() {
		requestBackoff("/r/x", time.Minute)
		h.changeTarget("o1", func(t *fleet.Target) { t.StartedMs = 2 })
		h.read()
		_, e := h.arrive("/r/x")
		expectSend(e)
	})

	It("leaves requests to the others", func() {
		h.addTarget("o2", orders, "a", 0, 0)
		h.read()
		send, ok := requestBackoff("/r/x", 3*time.Second).(*director.Send)
		Expect(ok).To(BeTrue(), "sent again at once")
		backedOff := map[model.TargetID]model.TargetID{"o1": "o2", "o2": "o1"}[send.Hops[0].Target]
		for range 20 {
			_, e := h.arrive("/r/x")
			Expect(expectSend(e).Hops[0].Target).NotTo(Equal(backedOff))
		}
	})

	It("stays on paths behind the first hop", func() {
		h.config.Services[llm].Engine.LayerMB = 500 // a target holds the whole model
		h.addTarget("head-2", llm, "a", 0, 40)
		h.changeTarget("tail", func(t *fleet.Target) { t.Held.First = 0 })
		h.changeTarget("head", func(t *fleet.Target) { t.Held = model.LayerRange{} })
		h.read()
		id, e := h.arrive("/s/x")
		for expectSend(e).Hops[0].Target != "tail" {
			id, e = h.arrive("/s/x")
		}
		h.state.Step(h.now, director.BackoffRequested{ID: id, For: time.Minute})
		_, e = h.arrive("/s/x")
		Expect(expectSend(e).Hops).To(HaveLen(2))
		Expect(expectSend(e).Hops[1].Target).To(BeEquivalentTo("tail"))
	})

	It("does not make other VMs avoid it", func() {
		other := h.peer("vm-2")
		requestBackoff("/r/x", 3*time.Second)
		exchange([]*harness{h, other})
		_, e := other.arrive("/r/x")
		expectSend(e)
	})

	// Guards against a backoff that VMs pass on for ever, since each message adds its
	// time on the way.
	It("ends in time however often VMs exchange it", func() {
		vms := []*harness{h, h.peer("vm-2"), h.peer("vm-3")}
		requestBackoff("/r/x", time.Second)
		for range 11 {
			exchange(vms)
			for _, vm := range vms {
				vm.advance(100 * time.Millisecond)
				for _, r := range vm.state.OwnPeerState(vm.now).Backoffs {
					Expect(r.Remaining).To(BeNumerically("<=", time.Second))
				}
				r := vm.state.OwnPeerState(vm.now)
				r.Backoffs = append([]director.Backoff{}, r.Backoffs...)
				h.state.Step(h.now.Add(-50*time.Millisecond), r)
			}
		}
		_, e := h.arrive("/r/x")
		expectSend(e)
	})

	// Guards against memory that grows with the backoffs of targets that are gone.
	It("is one of a bounded number", func() {
		for n := range 5000 {
			h.state.Step(h.now, director.PeerState{VM: "vm-2", Backoffs: []director.Backoff{{
				VM: "vm-2", Target: model.TargetID(fmt.Sprint("t", n)), Born: 1, Remaining: time.Minute,
			}}})
		}
		Expect(h.state.Backoffs()).To(Equal(4096))
	})
})

var _ = Describe("a target that requests a backoff of a relay", func() {
	// Guards against requests that the relay, or other VMs through it, send to a target that
	// requested a backoff of it in an answer to a third VM.
	It("gets no more requests from the relay, and others from other VMs", func() {
		l := newLinkSimulation()
		l.advance(3 * time.Second)
		l.cut(linkSilent, "a-2")
		l.advance(4 * time.Second)
		vm := l.vm("a-2")
		r := l.arrive(vm, "/p/x")
		Expect(r.relay).NotTo(BeEmpty())
		asked := link{r.relay, r.sentTo}
		l.step(vm, director.BackoffRequested{ID: r.id, For: 3 * time.Second})
		l.advance(500 * time.Millisecond)
		l.arrivals = map[link]int{}
		l.advance(2 * time.Second)
		Expect(l.arrivals[asked]).To(BeZero())
		total := 0
		for way, n := range l.arrivals {
			if way.target == asked.target {
				total += n
			}
		}
		Expect(total).To(BeNumerically(">", 0), "from other VMs")
	})
})
