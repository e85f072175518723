package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/deployment"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
)

// inForceWithin is the required bound from the acceptance of a change until it is
// in force on every entry VM.
const inForceWithin = 3 * time.Second

// applyModel applies a change that adds a model and returns its revision.
func (c *cluster) applyModel(ctx context.Context, entry int, name string) uint64 {
	GinkgoHelper()
	revision, err := c.driver.Apply(ctx, entry, event.Change{
		ID: model.ChangeID(name), Team: deployment.PlatformTeam, Author: "e2e", Reason: "spread",
		Edits: []event.Edit{{Path: "models/" + name, Value: json.RawMessage(`{"versions":["1"],"layers":4}`)}},
	})
	Expect(err).NotTo(HaveOccurred())
	return revision
}

func (c *cluster) status(ctx context.Context, entry int) *tamarackv1.StatusResponse {
	response, err := c.operator(entry).Status(ctx, asTeam(c, deployment.PlatformTeam, &tamarackv1.StatusRequest{}))
	if err != nil {
		return &tamarackv1.StatusResponse{}
	}
	return response.Msg
}

// revisionOn returns the revision in force on an entry VM, 0 while it does not
// respond.
func (c *cluster) revisionOn(ctx context.Context, entry int) uint64 {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	nodes := c.status(ctx, entry).Nodes
	if len(nodes) == 0 {
		return 0
	}
	return nodes[0].Revision
}

func (c *cluster) serves(ctx context.Context, entry int, prompt string) bool {
	a := c.generate(ctx, entry, &tamarackv1.GenerateRequest{Model: string(deployment.ModelName), Prompt: prompt, MaxTokens: 2})
	return a.err == nil && len(a.tokens) == 2
}

var _ = Describe("settings on real processes", func() {
	It("brings a change into force on every entry VM within 3 s and lists them in status", func(ctx SpecContext) {
		c := startCluster(ctx, smallShape(1))
		revision := c.applyModel(ctx, 1, "everywhere")
		for i := range c.Entries {
			Eventually(func() uint64 { return c.revisionOn(ctx, i) }, inForceWithin, 20*time.Millisecond).Should(Equal(revision))
		}
		Eventually(func(g Gomega) {
			nodes := c.status(ctx, 0).Nodes
			g.Expect(nodes).To(HaveLen(4))
			for _, node := range nodes {
				g.Expect(node.State).To(Equal("alive"))
				g.Expect(node.Revision).To(Equal(revision))
				g.Expect(node.InForceUnixMs).To(BeNumerically(">", 0))
			}
		}, 5*time.Second, 100*time.Millisecond).Should(Succeed())
	})

	It("starts a replaced entry VM from its peers while the platform is down", func(ctx SpecContext) {
		c := startCluster(ctx, smallShape(1))
		revision := c.applyModel(ctx, 0, "before-outage")
		c.setFaults(ctx, c.Platform, &tamarackv1.Faults{Outage: true})
		c.kill("entry-2")
		c.start("entry-2")
		Eventually(func() uint64 { return c.revisionOn(ctx, 1) }, 10*time.Second, 20*time.Millisecond).Should(Equal(revision))
		Eventually(func() bool { return c.serves(ctx, 1, "during the outage") }, 10*time.Second, 100*time.Millisecond).Should(BeTrue(), c.logs)
	})

	It("brings an entry VM that was frozen up to date", func(ctx SpecContext) {
		c := startCluster(ctx, smallShape(1))
		c.signal("entry-3", syscall.SIGSTOP)
		revision := c.applyModel(ctx, 0, "while-frozen")
		time.Sleep(2 * time.Second)
		c.signal("entry-3", syscall.SIGCONT)
		Eventually(func() uint64 { return c.revisionOn(ctx, 2) }, inForceWithin, 20*time.Millisecond).Should(Equal(revision))
	})

	It("does not revert to an older head that the platform returns, even after a restart", func(ctx SpecContext) {
		c := startCluster(ctx, smallShape(1))
		var revision uint64
		for i := range 3 {
			revision = c.applyModel(ctx, i, fmt.Sprintf("stale-%d", i))
		}
		for i := range c.Entries {
			Eventually(func() uint64 { return c.revisionOn(ctx, i) }, inForceWithin, 20*time.Millisecond).Should(Equal(revision))
		}
		c.setFaults(ctx, c.Platform, &tamarackv1.Faults{StaleHeadRevision: revision - 1})
		c.kill("entry-4")
		c.start("entry-4")
		Eventually(func() uint64 { return c.revisionOn(ctx, 3) }, 10*time.Second, 20*time.Millisecond).Should(Equal(revision))
		Eventually(func() []string { return c.status(ctx, 0).Alarms }, 5*time.Second, 50*time.Millisecond).ShouldNot(BeEmpty())
		Consistently(func() uint64 { return c.revisionOn(ctx, 0) }, time.Second, 100*time.Millisecond).Should(Equal(revision))
	})
})
