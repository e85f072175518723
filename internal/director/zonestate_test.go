package director_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/loadview"
	"tamarackreach/internal/model"
)

var _ = Describe("the digest of another zone", func() {
	member := func(vm model.NodeID, age time.Duration) director.PeerState {
		return director.PeerState{VM: vm, Zone: "b", Process: 3, Age: age, Relay: director.Relay{Address: "relay-of-" + string(vm)}}
	}

	It("makes its VMs known, with the age of what they stated, and their loads once", func() {
		h := newHarness()
		h.addTarget("o1", orders, "a", 0, 0)
		h.addTarget("o2", orders, "a", 0, 0)
		h.read()
		h.state.Step(h.now, director.PeerState{VM: "vm-8", Zone: "b", Loads: map[model.TargetID]director.Load{"o1": {Requests: 3}}})
		h.state.Step(h.now, director.ZoneState{
			Zone: "b", Members: []director.PeerState{member("vm-8", 100*time.Millisecond), member("vm-9", 400*time.Millisecond), member("vm-1", 0)},
			Loads: loadview.Loads{"o1": {Requests: 4}},
		})
		count, oldest := h.state.KnownVMs(h.now)
		Expect(count).To(Equal(2), "the VM itself is no other VM")
		Expect(oldest).To(Equal(400 * time.Millisecond))
		for _, t := range h.state.Status(h.now).Targets {
			Expect(t.Requests).To(Equal(map[model.TargetID]int{"o1": 4, "o2": 0}[t.ID]))
		}
	})

	It("says nothing of the VM's own zone", func() {
		h := newHarness()
		h.state.Step(h.now, director.ZoneState{Zone: "a", Members: []director.PeerState{{VM: "vm-8", Zone: "a"}}})
		count, _ := h.state.KnownVMs(h.now)
		Expect(count).To(BeZero())
	})

	It("does not replace a VM's own message that is newer", func() {
		h := newHarness()
		own := member("vm-8", 0)
		own.Isolated = true
		h.state.Step(h.now, own)
		h.state.Step(h.now, director.ZoneState{Zone: "b", Members: []director.PeerState{member("vm-8", 100*time.Millisecond)}})
		_, oldest := h.state.KnownVMs(h.now)
		Expect(oldest).To(BeZero())
	})

	// Pattern: the leader of a zone fails, and the other zones hear nothing of its VMs until
	// the next one leads. Guards against what they do being taken over from running VMs.
	It("may be missing while its zone changes the leader, before its VMs count as ended", func() {
		h := newHarness()
		for _, id := range []model.TargetID{"o1", "o2", "o3", "o4"} {
			h.addTarget(id, orders, "a", 0, 0)
		}
		h.read()
		other := h.peer("vm-2")
		for range 3 {
			id, e := other.arrive("/r/bad")
			expectSend(e)
			other.endSend(id, director.Lost)
			other.state.Step(other.now, director.RequestFinished{ID: id})
		}
		state := other.state.OwnPeerState(other.now)
		Expect(state.LostAnswers).To(HaveLen(3))
		lostOn := []model.TargetID{state.LostAnswers[0].Target, state.LostAnswers[1].Target, state.LostAnswers[2].Target}
		state.Zone = "b"
		h.state.Step(h.now, director.ZoneState{Zone: "b", Members: []director.PeerState{state}})
		for _, id := range lostOn {
			h.changeTarget(id, func(t *fleet.Target) { t.StartedMs++ })
		}
		h.advance(2 * time.Second)
		h.read()
		for _, e := range h.state.Step(h.now, director.ProbeDue{Lead: true}) {
			if change, ok := e.(*director.StateChanged); ok {
				Expect(change.What).NotTo(ContainSubstring("taken over"))
			}
		}
		h.advance(600 * time.Millisecond)
		taken := false
		for _, e := range h.state.Step(h.now, director.ProbeDue{Lead: true}) {
			if change, ok := e.(*director.StateChanged); ok && change.What == "lost answers taken over" {
				taken = true
			}
		}
		Expect(taken).To(BeTrue())
	})
})
