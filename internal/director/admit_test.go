package director_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

// admissionHarness is a harness with two copies of the model, two targets of the plain service,
// and another VM whose loads are random.
func admissionHarness(prepare func(*fleet.Config)) *harness {
	h := newHarness()
	prepare(h.config)
	for _, copy := range []string{"x", "y"} {
		h.addTarget(model.TargetID(copy+"-head"), llm, "a", 0, 40)
		h.addTarget(model.TargetID(copy+"-tail"), llm, "a", 40, 80)
		h.addTarget(model.TargetID(copy+"-orders"), orders, "a", 0, 0)
	}
	h.read()
	return h
}

// randomLoads gives another VM a random load on all targets.
func (h *harness) randomLoads(random *rand.Rand) {
	loads := map[model.TargetID]director.Load{}
	for id := range h.targets {
		loads[id] = director.Load{Requests: random.IntN(10), TokenLayers: 3e6 * random.Float64(), Waiting: random.IntN(40), First: random.IntN(200)}
	}
	h.state.Step(h.now, director.PeerState{VM: "vm-2", Zone: "a", Loads: loads})
}

var _ = Describe("admission where one priority leads to each service", func() {
	// Guards against any change of decisions where the part is off: paths, refusals and
	// Retry-After are those of the rules without it, over random histories of loads, faults and
	// ends.
	It("decides as without it", func() {
		random := rand.New(rand.NewPCG(9, 0))
		outcomes := map[string]int{}
		for history := range 60 {
			h := admissionHarness(func(c *fleet.Config) {
				for i := range c.Routes[1:] {
					c.Routes[i+1].Priority = history % 3 // those of orders; that of llm has 0
				}
				if history%2 == 0 {
					// The workspace's priority takes precedence, except on the open route.
					c.Workspaces[0].Priority, c.Workspaces[0].HasPriority = history%10, true
					c.Routes = c.Routes[:3]
				}
			})
			h.runAsWithoutAdmission(random, outcomes)
		}
		for _, reason := range []string{"", "the targets of the service are full", "the targets of the service have too many prompts to read"} {
			Expect(outcomes[reason]).To(BeNumerically(">", 100), "%v", outcomes)
		}
		Expect(newHarness().state.Admission(0)).To(BeEmpty())
	})
})

// runAsWithoutAdmission sends random requests and expects the decisions of the rules without
// admission control.
func (h *harness) runAsWithoutAdmission(random *rand.Rand, outcomes map[string]int) {
	var running []model.RequestID
	for i := range 200 {
		h.advance(time.Duration(random.IntN(40)) * time.Millisecond)
		h.state.Step(h.now, director.ConfigRead{Started: h.now})
		if random.IntN(10) == 0 {
			h.randomLoads(random)
		}
		if len(running) > 0 && random.IntN(3) == 0 {
			at := random.IntN(len(running))
			h.state.Step(h.now, director.AnswerStarted{ID: running[at]})
			if outcome := director.Lost; random.IntN(20) == 0 {
				h.state.Step(h.now, director.SendEnded{ID: running[at], Outcome: outcome, Random: 0.5})
			}
			h.state.Step(h.now, director.RequestFinished{ID: running[at], Delivered: true})
			running = append(running[:at], running[at+1:]...)
		}
		id, at := model.RequestID(fmt.Sprint("d", i)), random.Float64()
		request := &fleet.Request{
			ID: id, Method: "POST", Host: "h", Path: []string{"/s/x", "/r/x", "/p/x"}[random.IntN(3)], Key: "key", HasKey: true,
			Deadline: time.Duration(1+random.IntN(20)) * time.Second, PromptTokens: 100 + random.IntN(4000), AnswerTokens: 200,
		}
		hops, reason, retryAfter := h.state.DecideWithoutAdmission(h.now, request, at)
		outcomes[reason]++
		effect := lastEffect(h.state.Step(h.now, director.RequestArrived{Request: request, Random: at}))
		if hops != nil {
			Expect(expectSend(effect).Hops).To(Equal(hops))
			running = append(running, id)
			continue
		}
		Expect(expectRefusal(effect).Reason).To(Equal(reason))
		Expect(expectRefusal(effect).RetryAfter).To(Equal(retryAfter))
	}
}

func lessUrgentReads(c *fleet.Config) { c.Routes[1].Priority = 5 }

var _ = Describe("admission by priority at a plain service", func() {
	// Load: two kinds of plain requests beyond the slots of the targets. Guards against less
	// urgent requests in the slots that the more urgent ones are about to take.
	It("refuses the less urgent kind when the slots are used, and the more urgent one never", func() {
		h := admissionHarness(lessUrgentReads)
		h.randomLoads(rand.New(rand.NewPCG(10, 0)))
		h.state.Step(h.now, director.PeerState{VM: "vm-2", Zone: "a", Loads: map[model.TargetID]director.Load{"x-orders": {Requests: 3}, "y-orders": {Requests: 3}}})
		_, e := h.arrive("/r/x")
		expectSend(e)
		h.state.Step(h.now, director.PeerState{VM: "vm-2", Zone: "a", Loads: map[model.TargetID]director.Load{"x-orders": {Requests: 6}, "y-orders": {Requests: 6}}})
		_, e = h.arrive("/r/x")
		refusal := expectRefusal(e)
		Expect(refusal.Reason).To(ContainSubstring("reserved for more urgent requests"))
		Expect(refusal.Status).To(Equal(503))
		Expect(refusal.RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<", time.Second/3)), "a third of the route's timeout")
		_, e = h.arrive("/p/x")
		expectSend(e)
		figures := h.state.Admission(h.now)
		Expect(figures).To(HaveLen(2))
		Expect(figures[1].Admitted).To(BeEquivalentTo(1))
		Expect(figures[1].Refused).To(BeEquivalentTo(1))
		Expect(figures[1].Headroom).To(BeNumerically(">", 0))
	})

	It("admits the less urgent kind when no more urgent one arrived recently", func() {
		h := admissionHarness(lessUrgentReads)
		h.advance(5100 * time.Millisecond)
		h.state.Step(h.now, director.ConfigRead{Started: h.now})
		h.state.Step(h.now, director.PeerState{VM: "vm-2", Zone: "a", Loads: map[model.TargetID]director.Load{"x-orders": {Requests: 6}, "y-orders": {Requests: 6}}})
		_, e := h.arrive("/r/x")
		expectSend(e)
	})
})

var _ = Describe("admission by priority of requests that were sent before", func() {
	// Guards against a refusal of a request whose first send failed, though it was admitted.
	It("does not refuse them", func() {
		h := admissionHarness(lessUrgentReads)
		id, e := h.arrive("/r/x")
		expectSend(e)
		h.state.Step(h.now, director.PeerState{VM: "vm-2", Zone: "a", Loads: map[model.TargetID]director.Load{"x-orders": {Requests: 6}, "y-orders": {Requests: 6}}})
		expectSend(h.endSend(id, director.NotSent))
	})
})
