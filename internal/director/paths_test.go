package director_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

var _ = Describe("paths", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.addTarget("a1", llm, "a", 0, 40)
		h.addTarget("a2", llm, "a", 40, 80)
		h.addTarget("a3", llm, "a", 40, 80)
		h.addTarget("b1", llm, "b", 0, 40)
		h.addTarget("b2", llm, "b", 40, 80)
		h.read()
	})

	begin := func() (model.RequestID, *director.Send) {
		id, e := h.arrive("/s/x")
		send := expectSend(e)
		h.state.Step(h.now, director.AnswerStarted{ID: id})
		return id, send
	}

	It("runs every layer in the home zone while possible", func() {
		_, send := begin()
		Expect(send.Hops[0].Target).To(BeEquivalentTo("a1"))
		Expect(send.Hops).To(HaveLen(2))
	})

	It("carries the workspace's priority, or the route's where it has none", func() {
		ranked := config(8)
		ranked.Routes[0].Priority = 3
		h.state.Step(h.now, director.ConfigRead{Config: ranked, Started: h.now})
		_, send := begin()
		Expect(send.Priority).To(Equal(3))
		again := config(9)
		again.Routes[0].Priority = 3
		again.Workspaces[0].Priority, again.Workspaces[0].HasPriority = 1, true
		h.state.Step(h.now, director.ConfigRead{Config: again, Started: h.now})
		_, send = begin()
		Expect(send.Priority).To(Equal(1))
	})

	It("uses another zone when the home zone lacks a layer", func() {
		delete(h.targets, "a1")
		h.read()
		_, send := begin()
		Expect(send.Hops[0].Target).To(BeEquivalentTo("b1"))
	})

	// Pattern: a hop of many streams crashes; their first target reports the address
	// that they are stalled on.
	It("cancels an idle stream once its hop is known to be faulty", func() {
		id, send := begin()
		failed := send.Hops[1]
		h.advance(350 * time.Millisecond)
		request, ok := lastEffect(h.state.Step(h.now, director.StreamIdle{ID: id, For: 350 * time.Millisecond})).(*director.RequestReport)
		Expect(ok).To(BeTrue())
		Expect(request.Target).To(BeEquivalentTo("a1"))
		h.state.Step(h.now, director.ReportRead{Target: "a1", Report: &fleet.Report{Slowdown: 1, Stalled: []string{failed.Address}}})
		_, ok = lastEffect(h.state.Step(h.now, director.StreamIdle{ID: id, For: 360 * time.Millisecond})).(*director.Divert)
		Expect(ok).To(BeTrue())
		next := expectSend(h.endSend(id, director.Diverted))
		Expect(next.Number).To(Equal(2))
		Expect(next.Hops[1].Target).NotTo(Equal(failed.Target))
		_, other := begin()
		Expect(other.Hops[1].Target).NotTo(Equal(failed.Target))
	})

	// Pattern: many targets unregister at once, and streams in flight are cancelled
	// for a send that the retry budget then forbids (lacing-fleet-grown, mix, seed
	// 151128349502).
	It("cancels no idle stream that it may not send again", func() {
		var ids []model.RequestID
		var failed fleet.Hop
		for range 300 {
			h.advance(time.Millisecond)
			id, e := h.arrive("/s/x")
			if send, ok := e.(*director.Send); ok {
				h.state.Step(h.now, director.AnswerStarted{ID: id})
				ids, failed = append(ids, id), send.Hops[1]
			}
		}
		h.state.Step(h.now, director.ReportRead{Target: "a1", Report: &fleet.Report{Slowdown: 1, Stalled: []string{failed.Address}}})
		cancelled := 0
		for _, id := range ids {
			if _, ok := lastEffect(h.state.Step(h.now, director.StreamIdle{ID: id, For: 400 * time.Millisecond})).(*director.Divert); ok {
				cancelled++
				expectSend(h.endSend(id, director.Diverted))
			}
		}
		Expect(cancelled).To(BeNumerically(">", 10))
		Expect(cancelled).To(BeNumerically("<", len(ids)))
	})

	It("requests a target's report once for many idle streams", func() {
		requested := 0
		var ids []model.RequestID
		for range 10 {
			id, _ := begin()
			ids = append(ids, id)
		}
		h.advance(400 * time.Millisecond)
		for _, id := range ids {
			requested += len(h.state.Step(h.now, director.StreamIdle{ID: id, For: 400 * time.Millisecond}))
		}
		Expect(requested).To(Equal(1))
	})

	// Pattern: callers continue to use open connections to a VM that is terminating.
	It("starts no stream late in a shutdown, and serves short requests until the end", func() {
		h.addTarget("o1", orders, "a", 0, 0)
		h.read()
		h.state.Step(h.now, director.Terminating{})
		Expect(h.state.Ready(h.now)).To(BeFalse())
		begin()
		h.advance(2100 * time.Millisecond)
		_, e := h.arrive("/s/x")
		Expect(expectRefusal(e).Status).To(Equal(http.StatusServiceUnavailable))
		Expect(expectRefusal(e).RetryAfter).To(BeNumerically("<", time.Second))
		_, e = h.arrive("/r/x")
		expectSend(e)
	})

	// Pattern: callers keep connections open to a VM that is about to be killed
	// (linha-dourada, mix, seed 783840168813).
	It("accepts no request that the end of the process would interrupt", func() {
		h.addTarget("o1", orders, "a", 0, 0)
		h.state.Step(h.now, director.SettingsChanged{Settings: director.Settings{
			Grace: 8 * time.Second, ConfigApply: 2 * time.Second, Revoke: time.Minute, Stall: 2500 * time.Millisecond,
		}})
		h.read()
		h.state.Step(h.now, director.Terminating{})
		h.advance(5 * time.Second)
		_, e := h.arrive("/p/x")
		expectSend(e)
		h.advance(2 * time.Second)
		_, e = h.arrive("/p/x")
		Expect(expectRefusal(e).Status).To(Equal(http.StatusServiceUnavailable))
		Expect(expectRefusal(e).RetryAfter).To(BeNumerically(">", 0))
	})

	// Pattern: a started stream fails while a layer of its model is being placed on
	// another target (linha-dourada, mix, seed 244455172231).
	It("lets a started stream wait for a path, but no request that has not started", func() {
		id, _ := begin()
		for _, emptied := range []model.TargetID{"a2", "a3", "b2"} {
			h.changeTarget(emptied, func(t *fleet.Target) { t.Held = model.LayerRange{} })
		}
		h.read()
		wait, ok := h.endSend(id, director.Broken).(*director.Wait)
		Expect(ok).To(BeTrue())
		h.advance(wait.For)
		Expect(lastEffect(h.state.Step(h.now, director.WaitElapsed{ID: id}))).To(BeAssignableToTypeOf(wait))
		h.changeTarget("a2", func(t *fleet.Target) { t.Held = model.LayerRange{First: 40, End: 80} })
		h.read()
		h.advance(wait.For)
		expectSend(lastEffect(h.state.Step(h.now, director.WaitElapsed{ID: id})))

		h.changeTarget("a2", func(t *fleet.Target) { t.Held = model.LayerRange{} })
		h.read()
		_, e := h.arrive("/s/x")
		expectRefusal(e)
		e = h.endSend(id, director.Broken)
		for range 20 {
			if wait, ok := e.(*director.Wait); ok {
				h.advance(wait.For)
				e = lastEffect(h.state.Step(h.now, director.WaitElapsed{ID: id}))
			}
		}
		Expect(expectRefusal(e).Status).To(Equal(http.StatusBadGateway), "the number of waits is bounded")
	})

	// Pattern: targets release their layers one after the other and reject a started
	// stream several times within milliseconds (linha-dourada, mix, seed
	// 517295667735).
	It("fails no started stream because of consecutive rejections", func() {
		id, _ := begin()
		e := h.endSend(id, director.Broken)
		sends := 1
		for sends < 6 {
			switch next := e.(type) {
			case *director.Send:
				sends++
				e = h.endSend(id, director.Rejected)
			case *director.Wait:
				h.advance(next.For)
				e = lastEffect(h.state.Step(h.now, director.WaitElapsed{ID: id}))
			default:
				Fail(fmt.Sprintf("%#v after %d sends", e, sends))
			}
		}
	})

	// Pattern: the retry budget is temporarily exhausted (linha-dourada, mix, seed
	// 77961520227).
	It("lets a started stream wait for the retry budget, and counts each send against it", func() {
		id, _ := begin()
		waits := 0
		for e := h.endSend(id, director.Broken); waits == 0; {
			switch next := e.(type) {
			case *director.Send:
				other, e2 := h.arrive("/s/x")
				expectSend(e2)
				for {
					if _, again := h.endSend(other, director.Lost).(*director.Send); !again {
						break
					}
				}
				e = h.endSend(id, director.Rejected)
			case *director.Wait:
				waits++
				Expect(next.For).To(BeNumerically(">", 0))
			default:
				Fail(fmt.Sprintf("%#v", e))
			}
		}
	})

	It("takes no action on a stream whose path is healthy", func() {
		id, _ := begin()
		Expect(h.state.Step(h.now, director.StreamIdle{ID: id, For: 100 * time.Millisecond})).To(BeEmpty())
	})

	It("avoids the hop that a rejection names", func() {
		id, e := h.arrive("/s/x")
		at := expectSend(e).Hops[1]
		next := expectSend(lastEffect(h.state.Step(h.now, director.SendEnded{ID: id, Outcome: director.Rejected, FaultAt: at.Address, Random: 0.1})))
		Expect(next.Hops[1].Target).NotTo(Equal(at.Target))
	})

	It("adopts a suspicion from another VM", func() {
		h.state.Step(h.now, director.PeerState{VM: "vm-2", Suspects: map[model.TargetID]director.Suspicion{"a1": {Remaining: time.Second}}})
		_, send := begin()
		Expect(send.Hops[0].Target).To(BeEquivalentTo("b1"))
	})

	// Pattern: one path is cheapest, and every VM sends all its requests on it.
	It("balances requests over equal targets", func() {
		used := map[model.TargetID]int{}
		for range 60 {
			_, send := begin()
			used[send.Hops[1].Target]++
		}
		Expect(used["a2"]).To(BeNumerically(">", 10))
		Expect(used["a3"]).To(BeNumerically(">", 10))
	})

	// Pattern: prompts arrive faster than passes can prefill them.
	It("refuses requests that would be late and serves the rest in time", func() {
		served, refused := 0, 0
		for range 400 {
			_, e := h.arrive("/s/x")
			switch e := e.(type) {
			case *director.Send:
				served++
			case *director.Refuse:
				refused++
				Expect(e.Status).To(Equal(http.StatusServiceUnavailable))
				Expect(e.RetryAfter).To(BeNumerically(">", 0))
			}
		}
		Expect(served).To(BeNumerically(">", 10))
		Expect(refused).To(BeNumerically(">", 100))
		Expect(h.state.InFlight()).To(Equal(served))
	})

	It("counts the load that other VMs put on a target", func() {
		h.state.Step(h.now, director.PeerState{VM: "vm-2", Loads: map[model.TargetID]director.Load{
			"a1": {Requests: 500, Waiting: 500, TokenLayers: 1e9},
		}})
		_, send := begin()
		Expect(send.Hops[0].Target).To(BeEquivalentTo("b1"))
		h.advance(3 * time.Second)
		h.read()
		_, send = begin()
		Expect(send.Hops[0].Target).To(BeEquivalentTo("a1"))
	})

	It("removes a request's load however it ends", func() {
		for i := range 30 {
			id, _ := begin()
			if i%2 == 0 {
				h.endSend(id, director.TimedOut)
			}
			h.state.Step(h.now, director.RequestFinished{ID: id})
		}
		Expect(h.state.OwnPeerState(h.now).Loads).To(BeEmpty())
		Expect(h.state.InFlight()).To(BeZero())
	})

	// Pattern: one target is the first hop of all paths of a zone, and its slots are
	// exhausted before its memory is.
	It("uses another first target when the slots of one are in use", func() {
		h.state.Step(h.now, director.PeerState{VM: "vm-2", Loads: map[model.TargetID]director.Load{"a1": {First: 192}}})
		_, send := begin()
		Expect(send.Hops[0].Target).To(BeEquivalentTo("b1"))
		h.state.Step(h.now, director.PeerState{VM: "vm-2", Loads: map[model.TargetID]director.Load{"a1": {First: 192}, "b1": {First: 192}}})
		_, e := h.arrive("/s/x")
		Expect(expectRefusal(e).Reason).To(ContainSubstring("full"))
	})

	// Pattern: some targets become many times slower.
	It("avoids slow targets, and serves late when there is no other path", func() {
		h.state.Step(h.now, director.PeerState{VM: "vm-2", Paces: map[model.TargetID]float64{"a2": 12}})
		_, send := begin()
		Expect(send.Hops[1].Target).To(BeEquivalentTo("a3"))
		h.state.Step(h.now, director.PeerState{VM: "vm-2", Paces: map[model.TargetID]float64{"a2": 30, "a3": 30, "b2": 30}})
		begin()
	})

	It("replaces only targets that do not answer report requests", func() {
		placeable := func() int { return len(h.state.Placeable(h.now)[0].Targets) }
		for range 3 {
			h.state.Step(h.now, director.ReportRead{Target: "a1"})
			Expect(placeable()).To(Equal(5), "the VM has reached no target")
		}
		missAfterContact := func() {
			h.advance(time.Millisecond)
			h.state.Step(h.now, director.ReportRead{Target: "a2", Report: &fleet.Report{Slowdown: 1}})
			h.state.Step(h.now, director.ReportRead{Target: "a1", Refused: true})
		}
		missAfterContact()
		Expect(placeable()).To(Equal(5))
		missAfterContact()
		Expect(placeable()).To(Equal(4))
		h.state.Step(h.now, director.ReportRead{Target: "a1", Report: &fleet.Report{Slowdown: 1}})
		Expect(placeable()).To(Equal(5))
	})
})
