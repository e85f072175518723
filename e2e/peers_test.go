package e2e

import (
	"context"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/deployment"
)

var _ = Describe("peers on real processes", func() {
	It("reports an entry VM that fails, restarts and leaves", func(ctx SpecContext) {
		c := startCluster(ctx, smallShape(1))
		stateOf := func(node string) func() string {
			return func() string {
				for _, status := range c.status(ctx, 0).Nodes {
					if status.NodeId == node {
						return status.State
					}
				}
				return ""
			}
		}
		Eventually(stateOf("entry-2"), 5*time.Second, 50*time.Millisecond).Should(Equal("alive"))
		c.kill("entry-2")
		Eventually(stateOf("entry-2"), 15*time.Second, 50*time.Millisecond).Should(Equal("suspect"))
		Eventually(stateOf("entry-2"), 15*time.Second, 50*time.Millisecond).Should(Equal("dead"))
		c.start("entry-2")
		Eventually(stateOf("entry-2"), 10*time.Second, 50*time.Millisecond).Should(Equal("alive"), c.logs)
		c.signal("entry-3", syscall.SIGTERM)
		Eventually(stateOf("entry-3"), inForceWithin, 20*time.Millisecond).Should(Equal("leaving"))
	})

	It("drains a target on every entry VM within the bound", func(ctx SpecContext) {
		c := startCluster(ctx, smallShape(2))
		c.drain(ctx, 0, "engine-01")
		for i := range c.Entries {
			Eventually(func() string {
				for _, target := range c.status(ctx, i).Targets {
					if target.TargetId == "engine-01" {
						return target.State
					}
				}
				return ""
			}, inForceWithin, 20*time.Millisecond).Should(Equal("leaving"))
		}
	})
})

func (c *cluster) drain(ctx context.Context, entry int, target string) {
	GinkgoHelper()
	_, err := c.operator(entry).Drain(ctx, asTeam(c, deployment.PlatformTeam, &tamarackv1.DrainRequest{TargetId: target}))
	Expect(err).NotTo(HaveOccurred())
}
