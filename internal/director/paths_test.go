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
	var w *world
	BeforeEach(func() {
		w = newWorld()
		w.add("a1", llm, "a", 0, 40)
		w.add("a2", llm, "a", 40, 80)
		w.add("a3", llm, "a", 40, 80)
		w.add("b1", llm, "b", 0, 40)
		w.add("b2", llm, "b", 40, 80)
		w.read()
	})

	begin := func() (model.RequestID, *director.Send) {
		id, e := w.arrive("/s/x")
		send := sent(e)
		w.state.Step(w.now, director.Began{ID: id})
		return id, send
	}

	It("runs every layer in the home zone while it can", func() {
		_, send := begin()
		Expect(send.Hops[0].Target).To(BeEquivalentTo("a1"))
		Expect(send.Hops).To(HaveLen(2))
	})

	It("bears the workspace's rank, or the route's where it has none", func() {
		ranked := config(8)
		ranked.Routes[0].Priority = 3
		w.state.Step(w.now, director.ConfigRead{Config: ranked, Started: w.now})
		_, send := begin()
		Expect(send.Priority).To(Equal(3))
		again := config(9)
		again.Routes[0].Priority = 3
		again.Workspaces[0].Priority, again.Workspaces[0].HasPriority = 1, true
		w.state.Step(w.now, director.ConfigRead{Config: again, Started: w.now})
		_, send = begin()
		Expect(send.Priority).To(Equal(1))
	})

	It("goes to another zone when the home zone lacks a layer", func() {
		delete(w.targets, "a1")
		w.read()
		_, send := begin()
		Expect(send.Hops[0].Target).To(BeEquivalentTo("b1"))
	})

	// Pattern: a hop of many streams dies at once; its first target reports what
	// it waits for.
	It("gives up a silent stream once its hop is known to be at fault", func() {
		id, send := begin()
		dead := send.Hops[1]
		w.pass(350 * time.Millisecond)
		ask, ok := last(w.state.Step(w.now, director.Quiet{ID: id, For: 350 * time.Millisecond})).(*director.AskReport)
		Expect(ok).To(BeTrue())
		Expect(ask.Target).To(BeEquivalentTo("a1"))
		w.state.Step(w.now, director.ReportRead{Target: "a1", Report: &fleet.Report{Pace: 1, Stalled: []string{dead.Address}}})
		_, ok = last(w.state.Step(w.now, director.Quiet{ID: id, For: 360 * time.Millisecond})).(*director.Divert)
		Expect(ok).To(BeTrue())
		next := sent(w.ended(id, director.Diverted))
		Expect(next.Number).To(Equal(2))
		Expect(next.Hops[1].Target).NotTo(Equal(dead.Target))
		_, other := begin()
		Expect(other.Hops[1].Target).NotTo(Equal(dead.Target))
	})

	// Pattern: many targets leave at once, and streams that still run must not be
	// given up for a send that the retry budget then forbids (lacing-fleet-grown,
	// mix, seed 151128349502).
	It("gives up no silent stream that it may not send again", func() {
		var ids []model.RequestID
		var dead fleet.Hop
		for range 300 {
			w.pass(time.Millisecond)
			id, e := w.arrive("/s/x")
			if send, ok := e.(*director.Send); ok {
				w.state.Step(w.now, director.Began{ID: id})
				ids, dead = append(ids, id), send.Hops[1]
			}
		}
		w.state.Step(w.now, director.ReportRead{Target: "a1", Report: &fleet.Report{Pace: 1, Stalled: []string{dead.Address}}})
		given := 0
		for _, id := range ids {
			if _, ok := last(w.state.Step(w.now, director.Quiet{ID: id, For: 400 * time.Millisecond})).(*director.Divert); ok {
				given++
				sent(w.ended(id, director.Diverted))
			}
		}
		Expect(given).To(BeNumerically(">", 10))
		Expect(given).To(BeNumerically("<", len(ids)))
	})

	It("asks a target for its report once for many silent streams", func() {
		asked := 0
		var ids []model.RequestID
		for range 10 {
			id, _ := begin()
			ids = append(ids, id)
		}
		w.pass(400 * time.Millisecond)
		for _, id := range ids {
			asked += len(w.state.Step(w.now, director.Quiet{ID: id, For: 400 * time.Millisecond}))
		}
		Expect(asked).To(Equal(1))
	})

	// Pattern: callers go on using open connections of a VM that is stopping.
	It("begins no stream late in a shutdown, and serves short requests to the end", func() {
		w.add("o1", orders, "a", 0, 0)
		w.read()
		w.state.Step(w.now, director.Terminating{})
		Expect(w.state.Ready(w.now)).To(BeFalse())
		begin()
		w.pass(2100 * time.Millisecond)
		_, e := w.arrive("/s/x")
		Expect(refused(e).Status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused(e).RetryAfter).To(BeNumerically("<", time.Second))
		_, e = w.arrive("/r/x")
		sent(e)
	})

	// Pattern: callers keep connections open to a VM that is about to be killed
	// (linha-dourada, mix, seed 783840168813).
	It("takes no request that the end of the process would cut", func() {
		w.add("o1", orders, "a", 0, 0)
		w.state.Step(w.now, director.SettingsChanged{Settings: director.Settings{
			Grace: 8 * time.Second, ConfigApply: 2 * time.Second, Revoke: time.Minute, Stall: 2500 * time.Millisecond,
		}})
		w.read()
		w.state.Step(w.now, director.Terminating{})
		w.pass(5 * time.Second)
		_, e := w.arrive("/p/x")
		sent(e)
		w.pass(2 * time.Second)
		_, e = w.arrive("/p/x")
		Expect(refused(e).Status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused(e).RetryAfter).To(BeNumerically(">", 0))
	})

	// Pattern: a begun stream breaks while a layer of its model is being placed
	// anew (linha-dourada, mix, seed 244455172231).
	It("lets a begun stream wait for a path, but no request that has not begun", func() {
		id, _ := begin()
		for _, hole := range []model.TargetID{"a2", "a3", "b2"} {
			w.change(hole, func(t *fleet.Target) { t.Held = model.LayerRange{} })
		}
		w.read()
		wait, ok := w.ended(id, director.Broken).(*director.Wait)
		Expect(ok).To(BeTrue())
		w.pass(wait.For)
		Expect(last(w.state.Step(w.now, director.Waited{ID: id}))).To(BeAssignableToTypeOf(wait))
		w.change("a2", func(t *fleet.Target) { t.Held = model.LayerRange{First: 40, End: 80} })
		w.read()
		w.pass(wait.For)
		sent(last(w.state.Step(w.now, director.Waited{ID: id})))

		w.change("a2", func(t *fleet.Target) { t.Held = model.LayerRange{} })
		w.read()
		_, e := w.arrive("/s/x")
		refused(e)
		e = w.ended(id, director.Broken)
		for range 20 {
			if wait, ok := e.(*director.Wait); ok {
				w.pass(wait.For)
				e = last(w.state.Step(w.now, director.Waited{ID: id}))
			}
		}
		Expect(refused(e).Status).To(Equal(http.StatusBadGateway), "it does not wait for ever")
	})

	// Pattern: targets shed and lose their layers one after the other, and reject a
	// begun stream several times within milliseconds (linha-dourada, mix, seed
	// 517295667735).
	It("breaks no begun stream off for rejections in a row", func() {
		id, _ := begin()
		e := w.ended(id, director.Broken)
		sends := 1
		for sends < 6 {
			switch next := e.(type) {
			case *director.Send:
				sends++
				e = w.ended(id, director.Rejected)
			case *director.Wait:
				w.pass(next.For)
				e = last(w.state.Step(w.now, director.Waited{ID: id}))
			default:
				Fail(fmt.Sprintf("%#v after %d sends", e, sends))
			}
		}
	})

	// Pattern: the retry budget is spent for the moment (linha-dourada, mix, seed
	// 77961520227).
	It("lets a begun stream wait for the retry budget, and pays for each send", func() {
		id, _ := begin()
		spent := 0
		for e := w.ended(id, director.Broken); spent == 0; {
			switch next := e.(type) {
			case *director.Send:
				other, e2 := w.arrive("/s/x")
				sent(e2)
				for {
					if _, again := w.ended(other, director.Lost).(*director.Send); !again {
						break
					}
				}
				e = w.ended(id, director.Rejected)
			case *director.Wait:
				spent++
				Expect(next.For).To(BeNumerically(">", 0))
			default:
				Fail(fmt.Sprintf("%#v", e))
			}
		}
	})

	It("leaves a stream alone whose path is sound", func() {
		id, _ := begin()
		Expect(w.state.Step(w.now, director.Quiet{ID: id, For: 100 * time.Millisecond})).To(BeEmpty())
	})

	It("avoids the hop that a rejection names", func() {
		id, e := w.arrive("/s/x")
		at := sent(e).Hops[1]
		next := sent(last(w.state.Step(w.now, director.SendEnded{ID: id, Outcome: director.Rejected, FaultAt: at.Address, Random: 0.1})))
		Expect(next.Hops[1].Target).NotTo(Equal(at.Target))
	})

	It("learns of a fault from another VM", func() {
		w.state.Step(w.now, director.PeerHeard{VM: "vm-2", Suspects: map[model.TargetID]director.Suspicion{"a1": {Left: time.Second}}})
		_, send := begin()
		Expect(send.Hops[0].Target).To(BeEquivalentTo("b1"))
	})

	// Pattern: one chain is cheapest, and every VM sends all its requests there.
	It("spreads requests over like targets", func() {
		used := map[model.TargetID]int{}
		for range 60 {
			_, send := begin()
			used[send.Hops[1].Target]++
		}
		Expect(used["a2"]).To(BeNumerically(">", 10))
		Expect(used["a3"]).To(BeNumerically(">", 10))
	})

	// Pattern: more prompts arrive than passes can read.
	It("refuses what would be late and serves the rest in time", func() {
		served, turnedAway := 0, 0
		for range 400 {
			_, e := w.arrive("/s/x")
			switch e := e.(type) {
			case *director.Send:
				served++
			case *director.Refuse:
				turnedAway++
				Expect(e.Status).To(Equal(http.StatusServiceUnavailable))
				Expect(e.RetryAfter).To(BeNumerically(">", 0))
			}
		}
		Expect(served).To(BeNumerically(">", 10))
		Expect(turnedAway).To(BeNumerically(">", 100))
		Expect(w.state.InFlight()).To(Equal(served))
	})

	It("counts the load that other VMs put on a target", func() {
		w.state.Step(w.now, director.PeerHeard{VM: "vm-2", Loads: map[model.TargetID]director.Load{
			"a1": {Requests: 500, Waiting: 500, TokenLayers: 1e9},
		}})
		_, send := begin()
		Expect(send.Hops[0].Target).To(BeEquivalentTo("b1"))
		w.pass(3 * time.Second)
		w.read()
		_, send = begin()
		Expect(send.Hops[0].Target).To(BeEquivalentTo("a1"))
	})

	It("takes a request's load away however it ends", func() {
		for i := range 30 {
			id, _ := begin()
			if i%2 == 0 {
				w.ended(id, director.TimedOut)
			}
			w.state.Step(w.now, director.Finished{ID: id})
		}
		Expect(w.state.Share(w.now).Loads).To(BeEmpty())
		Expect(w.state.InFlight()).To(BeZero())
	})

	// Pattern: one target begins the paths of a whole zone, and its slots are
	// taken before its memory is.
	It("takes another first target when the slots of one are taken", func() {
		w.state.Step(w.now, director.PeerHeard{VM: "vm-2", Loads: map[model.TargetID]director.Load{"a1": {First: 192}}})
		_, send := begin()
		Expect(send.Hops[0].Target).To(BeEquivalentTo("b1"))
		w.state.Step(w.now, director.PeerHeard{VM: "vm-2", Loads: map[model.TargetID]director.Load{"a1": {First: 192}, "b1": {First: 192}}})
		_, e := w.arrive("/s/x")
		Expect(refused(e).Reason).To(ContainSubstring("full"))
	})

	// Pattern: some targets turn many times slower.
	It("goes around slow targets, and serves late when there is no other way", func() {
		w.state.Step(w.now, director.PeerHeard{VM: "vm-2", Paces: map[model.TargetID]float64{"a2": 12}})
		_, send := begin()
		Expect(send.Hops[1].Target).To(BeEquivalentTo("a3"))
		w.state.Step(w.now, director.PeerHeard{VM: "vm-2", Paces: map[model.TargetID]float64{"a2": 30, "a3": 30, "b2": 30}})
		begin()
	})

	It("replaces only targets that do not answer for themselves", func() {
		placeable := func() int { return len(w.state.Placeable(w.now)[0].Targets) }
		w.state.Step(w.now, director.ReportRead{Target: "a1"})
		Expect(placeable()).To(Equal(5))
		w.state.Step(w.now, director.ReportRead{Target: "a1"})
		Expect(placeable()).To(Equal(4))
		w.state.Step(w.now, director.ReportRead{Target: "a1", Report: &fleet.Report{Pace: 1}})
		Expect(placeable()).To(Equal(5))
	})
})
