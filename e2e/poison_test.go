package e2e

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/deployment"
)

// crashes returns how many engines were started again, or are down, as an entry
// VM sees them once all are back.
func (c *cluster) crashes(ctx context.Context, entry int) int {
	GinkgoHelper()
	var lives int
	Eventually(func() bool {
		lives = 0
		response, err := c.operator(entry).Status(ctx, asTeam(c, deployment.PlatformTeam, &tamarackv1.StatusRequest{}))
		if err != nil {
			return false
		}
		for _, target := range response.Msg.Targets {
			if target.State != "live" {
				return false
			}
			lives += int(target.Incarnation) - 1
		}
		return true
	}, 10*time.Second).Should(BeTrue())
	return lives
}

var _ = Describe("a request that crashes each target that runs it", func() {
	It("takes down at most two, costs its neighbours nothing and is refused everywhere", func(ctx SpecContext) {
		const neighbours, tokens = 16, 60
		c := startCluster(ctx, smallShape(3))
		poison := &tamarackv1.GenerateRequest{Model: string(deployment.ModelName), Prompt: "listing " + deployment.CrashMarker, MaxTokens: 8}
		var first answer
		answers := c.many(ctx, "neighbour", neighbours, tokens, func() { first = c.generate(ctx, 0, poison) })
		Expect(first.fault).NotTo(BeNil())
		Expect(first.fault.Code).To(Equal("quarantined"))
		Expect(first.fault.RetryAfterMs).To(BeNumerically(">", 0))
		_, moved := longestPause(answers)
		Expect(moved).To(BeNumerically(">", 0), "neighbours shared a target with it")
		steps := c.steps(ctx)
		for _, a := range answers {
			c.expectWhole(a, tokens, steps)
		}
		for range 2 {
			for entry := range c.Entries {
				again := c.generate(ctx, entry, poison)
				Expect(again.fault).NotTo(BeNil())
				Expect(again.fault.Code).To(Equal("quarantined"))
				Expect(again.fault.Kind).To(Equal(tamarackv1.FaultKind_FAULT_KIND_NOT_RUN))
			}
		}
		Expect(c.crashes(ctx, 0)).To(BeNumerically("<=", 2))
	})
})
