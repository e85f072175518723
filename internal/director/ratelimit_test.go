package director_test

import (
	"maps"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

var _ = Describe("targets that name a rate limit", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.config.Services[llm].Engine.LayerMB = 500 // a target holds the whole model
		h.addTarget("o1", orders, "a", 0, 0)
		h.addTarget("o2", orders, "a", 0, 0)
		h.addTarget("first", llm, "a", 0, 40)
		h.addTarget("whole", llm, "a", 0, 80)
		h.addTarget("second", llm, "a", 40, 80)
		h.read()
	})

	// name has the target of a request's send name a limit in its answer.
	name := func(id model.RequestID, perSecond float64) {
		h.state.Step(h.now, director.RateLimitRead{ID: id, PerSecond: perSecond})
	}
	// limit has each target of a route's service that starts requests name a limit.
	limit := func(path string, perSecond float64) {
		for named := map[model.TargetID]bool{}; len(named) < 2; {
			id, e := h.arrive(path)
			named[expectSend(e).Hops[0].Target] = true
			name(id, perSecond)
		}
	}

	DescribeTable("are left out once it is reached, and the request is refused at once",
		func(path string) {
			limit(path, 2)
			_, e := h.arrive(path)
			refusal := expectRefusal(e)
			Expect(refusal.Status).To(Equal(http.StatusServiceUnavailable))
			Expect(refusal.Reason).To(ContainSubstring("limits"))
			Expect(refusal.RetryAfter).To(BeNumerically("~", 500*time.Millisecond, 300*time.Millisecond))
			h.advance(500 * time.Millisecond)
			for range 2 {
				_, e = h.arrive(path)
				expectSend(e)
			}
			_, e = h.arrive(path)
			expectRefusal(e)
		},
		Entry("on a plain service", "/r/x"), Entry("on paths", "/s/x"),
	)

	// Guards against repeats that do not count.
	It("count resumed streams too", func() {
		limit("/s/x", 1)
		h.advance(time.Second)
		id, e := h.arrive("/s/x")
		expectSend(e)
		h.state.Step(h.now, director.AnswerStarted{ID: id})
		expectSend(h.endSend(id, director.Broken))
		_, e = h.arrive("/s/x")
		expectRefusal(e)
	})

	It("are used freely again when an answer names none, or another incarnation starts", func() {
		limit("/r/x", 1)
		h.advance(time.Second)
		id, e := h.arrive("/r/x")
		expectSend(e)
		name(id, 0)
		for range 3 {
			_, e := h.arrive("/r/x")
			expectSend(e)
		}
		id, e = h.arrive("/r/x")
		Expect(expectSend(e).Hops[0].Target).To(BeEquivalentTo("o1"))
		name(id, 0.2)
		_, e = h.arrive("/r/x")
		expectRefusal(e)
		h.changeTarget("o2", func(t *fleet.Target) { t.StartedMs++ })
		h.read()
		_, e = h.arrive("/r/x")
		Expect(expectSend(e).Hops[0].Target).To(BeEquivalentTo("o2"))
	})

	It("are known to VMs that receive a message, unless they know a later incarnation", func() {
		limit("/r/x", 1)
		other, later := h.peer("vm-2"), h.peer("vm-3")
		later.targets, later.rows = maps.Clone(h.targets), maps.Clone(h.rows)
		later.changeTarget("o1", func(t *fleet.Target) { t.StartedMs++ })
		later.read()
		for _, vm := range []*harness{other, later} {
			vm.state.Step(vm.now, h.state.OwnPeerState(h.now))
		}
		_, e := other.arrive("/r/x")
		expectRefusal(e)
		_, e = later.arrive("/r/x")
		expectSend(e)
	})
})
