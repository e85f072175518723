package director_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

var _ = Describe("the dry run of a request", func() {
	var h *harness
	dryRun := func(path, key string) director.DryRun {
		return h.state.DryRun(h.now, &fleet.Request{Host: "h", Path: path, Key: key, HasKey: key != "", PromptTokens: 800, AnswerTokens: 200})
	}
	BeforeEach(func() {
		h = newHarness()
		h.addTarget("first", llm, "a", 0, 40)
		h.addTarget("later", llm, "a", 40, 80)
		h.addTarget("o1", orders, "a", 0, 0)
		h.addTarget("o2", orders, "a", 0, 0)
	})

	It("names the path that the next request takes, with loads and their age", func() {
		h.read()
		h.state.Step(h.now, director.PeerState{VM: "vm-2", Zone: "a", Loads: map[model.TargetID]director.Load{"first": {Requests: 3, First: 3}, "o1": {Requests: 2}}})
		h.advance(300 * time.Millisecond)
		run := dryRun("/s/x", "key")
		Expect(run.Refusal).To(BeNil())
		Expect(run.Route).To(Equal("stream"))
		Expect(run.Workspace).To(BeEquivalentTo("ws"))
		service := run.Services[0]
		Expect(service.Admitted).To(BeTrue())
		_, e := h.arrive("/s/x")
		for i, hop := range expectSend(e).Hops {
			Expect(service.Path[i].Target).To(Equal(hop.Target))
		}
		Expect(service.Candidates[0].LoadAgeMs).To(BeEquivalentTo(300))
		Expect(service.Candidates[0].Requests).To(Equal(3))
		Expect(*service.Candidates[0].CostPerLayer).To(BeNumerically(">", 0))
		Expect(service.Candidates[1].LoadAgeMs).To(BeEquivalentTo(-1))
		Expect(dryRun("/r/x", "key").Services[0].Path[0].Target).To(BeEquivalentTo("o2"))
	})

	It("states why targets are avoided, and the refusal", func() {
		h.read()
		id, _ := h.arrive("/s/x")
		h.endSend(id, director.NotSent)
		h.state.Step(h.now, director.RequestFinished{ID: id})
		h.changeTarget("later", func(t *fleet.Target) { t.State = fleet.TargetDraining })
		h.read()
		service := dryRun("/s/x", "key").Services[0]
		Expect(service.Admitted).To(BeFalse())
		Expect(service.Refusal.Status).To(Equal(503))
		Expect(service.Refusal.RetryAfterMs).To(BeNumerically(">", 0))
		Expect(service.Candidates[0].Excluded).To(ContainElement(ContainSubstring("suspected")))
		Expect(service.Candidates[1].Excluded).To(ContainElement("draining"))
	})

	It("states a refusal that does not depend on targets", func() {
		Expect(dryRun("/s/x", "key").Configuration).To(BeZero())
		Expect(dryRun("/s/x", "key").Refusal.Status).To(Equal(503))
		h.read()
		Expect(dryRun("/nowhere", "key").Refusal.Status).To(Equal(404))
		Expect(dryRun("/s/x", "other").Refusal.Status).To(Equal(401))
	})

	// Guards against a question that takes load, budget or a trial from requests, or has
	// targets probed.
	It("changes nothing", func() {
		h.read()
		id, _ := h.arrive("/s/x")
		h.endSend(id, director.NotSent)
		before := h.state.Clone()
		state, budgets, digest := h.state.OwnPeerState(h.now), h.state.RetryBudgets(h.now), h.state.AppendDigest(nil)
		for range 5 {
			dryRun("/s/x", "key")
			dryRun("/r/x", "key")
		}
		Expect(h.state.OwnPeerState(h.now)).To(Equal(state))
		Expect(h.state.RetryBudgets(h.now)).To(Equal(budgets))
		Expect(h.state.AppendDigest(nil)).To(Equal(digest))
		Expect(h.state.Step(h.now, director.ProbeDue{})).To(Equal(before.Step(h.now, director.ProbeDue{})))
	})
})
