package e2e

import (
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/deployment"
)

var _ = Describe("failures of processes", func() {
	It("completes an answer whose stage crashed midway", func(ctx SpecContext) {
		c := startCluster(ctx, smallShape(2))
		const tokens = 100
		answers := make(chan answer, 1)
		go func() {
			answers <- c.generate(ctx, 0, &tamarackv1.GenerateRequest{Model: string(deployment.ModelName), Prompt: "midway", MaxTokens: tokens})
		}()
		time.Sleep(300 * time.Millisecond)
		c.setFaults(ctx, c.EngineControls[0], &tamarackv1.Faults{CrashTargetIds: []string{"engine-02"}})
		var a answer
		Eventually(answers, 20*time.Second).Should(Receive(&a))
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.tokens).To(HaveLen(tokens))
		Expect(a.tokens[tokens-1].Attempt).To(BeNumerically(">", 1))
	})

	It("keeps serving through the other entry VMs when one is killed and one frozen", func(ctx SpecContext) {
		c := startCluster(ctx, smallShape(1))
		c.kill("entry-1")
		c.signal("entry-2", syscall.SIGSTOP)
		a := c.generate(ctx, 2, &tamarackv1.GenerateRequest{Model: string(deployment.ModelName), Prompt: "other", MaxTokens: 4})
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.tokens).To(HaveLen(4))
	})
})
