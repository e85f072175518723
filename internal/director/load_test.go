package director_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

var _ = Describe("the load of a target whose registration returns", func() {
	// Guards against a load that falls below zero, which draws all further requests to
	// the target: its registration was removed and written again while it served one.
	It("counts the requests that are still in flight", func() {
		h := newHarness()
		h.addTarget("o1", orders, "a", 0, 0)
		h.addTarget("o2", orders, "a", 0, 0)
		h.read()
		sendTo := func() (model.RequestID, model.TargetID) {
			id, e := h.arrive("/r/x")
			return id, expectSend(e).Hops[0].Target
		}
		first, target := sendTo()
		Expect(target).To(BeEquivalentTo("o1"))
		h.targets = map[model.TargetID]*fleet.Target{"o2": h.targets["o2"]}
		h.read()
		h.addTarget("o1", orders, "a", 0, 0)
		h.read()
		Expect(h.state.OwnPeerState(h.now).Loads["o1"].Requests).To(Equal(1))
		second, target := sendTo()
		Expect(target).To(BeEquivalentTo("o2"))
		for _, id := range []model.RequestID{first, second} {
			h.state.Step(h.now, director.RequestFinished{ID: id, Delivered: true})
		}
		_, target = sendTo()
		Expect(target).To(BeEquivalentTo("o1"))
		_, target = sendTo()
		Expect(target).To(BeEquivalentTo("o2"), "o1 has a request in flight")
	})
})
