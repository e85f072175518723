package e2e

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/deployment"
)

// restarts returns the number of engine restarts that an entry VM has recorded,
// once all engines are live.
func (c *cluster) restarts(ctx context.Context, entry int) int {
	GinkgoHelper()
	var count int
	Eventually(func() bool {
		count = 0
		response, err := c.operator(entry).Status(ctx, asTeam(c, deployment.PlatformTeam, &tamarackv1.StatusRequest{}))
		if err != nil {
			return false
		}
		for _, target := range response.Msg.Targets {
			if target.State != "live" {
				return false
			}
			count += int(target.Incarnation) - 1
		}
		return true
	}, 10*time.Second).Should(BeTrue())
	return count
}

var _ = Describe("a request that crashes each target that runs it", func() {
	It("crashes at most two, leaves concurrent requests intact and is refused on every entry VM", func(ctx SpecContext) {
		const concurrent, tokens = 16, 60
		c := startCluster(ctx, smallShape(3))
		poison := &tamarackv1.GenerateRequest{Model: string(deployment.ModelName), Prompt: "listing " + deployment.CrashMarker, MaxTokens: 8}
		var first answer
		answers := c.generateMany(ctx, "neighbour", concurrent, tokens, func() { first = c.generate(ctx, 0, poison) })
		Expect(first.fault).NotTo(BeNil())
		Expect(first.fault.Code).To(Equal("quarantined"))
		Expect(first.fault.RetryAfterMs).To(BeNumerically(">", 0))
		_, retried := retryPauseP95(answers)
		Expect(retried).To(BeNumerically(">", 0), "concurrent requests shared a target with it")
		steps := c.steps(ctx)
		for _, a := range answers {
			c.expectComplete(a, tokens, steps)
		}
		for range 2 {
			for entry := range c.Entries {
				again := c.generate(ctx, entry, poison)
				Expect(again.fault).NotTo(BeNil())
				Expect(again.fault.Code).To(Equal("quarantined"))
				Expect(again.fault.Kind).To(Equal(tamarackv1.FaultKind_FAULT_KIND_NOT_RUN))
			}
		}
		Expect(c.restarts(ctx, 0)).To(BeNumerically("<=", 2))
	})
})
