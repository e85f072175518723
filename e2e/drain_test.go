package e2e

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/gen/tamarack/v1/tamarackv1connect"
	"tamarackreach/internal/deployment"
)

// leavingLimit is the time after which a leaving target gets nothing new.
const leavingLimit = 3 * time.Second

// listVMs changes the platform's list of VMs.
func (c *cluster) listVMs(ctx context.Context, vms []*tamarackv1.Vm) {
	control := tamarackv1connect.NewControlServiceClient(c.http, "http://"+c.Platform)
	_, err := control.SetVms(ctx, connect.NewRequest(&tamarackv1.SetVmsRequest{Vms: vms}))
	Expect(err).NotTo(HaveOccurred())
}

// withoutVM returns the list with one VM left out or marked as leaving.
func (c *cluster) withoutVM(id string, leaving bool) []*tamarackv1.Vm {
	var vms []*tamarackv1.Vm
	for _, vm := range c.VMs {
		switch {
		case vm.Id != id:
			vms = append(vms, vm)
		case leaving:
			vms = append(vms, &tamarackv1.Vm{
				Id: vm.Id, Incarnation: vm.Incarnation, Zone: vm.Zone, Role: vm.Role, Address: vm.Address, Leaving: true,
			})
		}
	}
	return vms
}

// targetsOf sends requests over all entry VMs and returns the targets that ran
// them.
func (c *cluster) targetsOf(ctx context.Context, name string) map[string]bool {
	used := make(map[string]bool)
	for _, a := range c.many(ctx, name, 16, 4, func() {}) {
		Expect(a.err).NotTo(HaveOccurred())
		for _, receipt := range a.tokens[0].Receipts {
			used[receipt.TargetId] = true
		}
	}
	return used
}

var _ = Describe("a target that leaves", func() {
	const leaver = "engine-01"

	DescribeTable("gets nothing new after 3 s and cuts nothing off", func(ctx SpecContext, say func(context.Context, *cluster)) {
		c := startCluster(ctx, smallShape(2))
		const tokens = 120
		answers := c.many(ctx, "before", 8, tokens, func() {
			say(ctx, c)
			time.Sleep(leavingLimit)
			Expect(c.targetsOf(ctx, "after")).NotTo(HaveKey(leaver))
		})
		for _, a := range answers {
			c.expectWhole(a, tokens, c.steps(ctx))
		}
	},
		Entry("by the VM list", func(ctx context.Context, c *cluster) { c.listVMs(ctx, c.withoutVM(leaver, true)) }),
		Entry("by its own report", func(ctx context.Context, c *cluster) {
			c.setFaults(ctx, c.EngineControls[0], &tamarackv1.Faults{LeavingTargetIds: []string{leaver}})
		}),
		Entry("by an operator's drain", func(ctx context.Context, c *cluster) {
			_, err := c.operator(0).Drain(ctx, asTeam(c, deployment.PlatformTeam, &tamarackv1.DrainRequest{TargetId: leaver}))
			Expect(err).NotTo(HaveOccurred())
		}),
	)

	It("is gone once the VM list has missed it, and new VMs that join get work", func(ctx SpecContext) {
		c := startCluster(ctx, smallShape(2))
		c.listVMs(ctx, c.withoutVM(leaver, false))
		Eventually(func() string { return c.targetState(ctx, 0, leaver) }, 10*time.Second).Should(Equal("gone"))
		for _, vm := range c.VMs {
			if vm.Id == leaver {
				vm.Incarnation++
			}
		}
		c.setFaults(ctx, c.EngineControls[0], &tamarackv1.Faults{CrashTargetIds: []string{leaver}})
		c.listVMs(ctx, c.VMs)
		c.awaitLive(ctx, 3, leaver)
		Eventually(func() map[string]bool { return c.targetsOf(ctx, "joined") }, 10*time.Second).Should(HaveKey(leaver))
	})
})

var _ = Describe("an entry VM that is told to stop", func() {
	It("answers what it has, takes what still comes for the lag and exits with 0", func(ctx SpecContext) {
		const tokens = 100
		c := startCluster(ctx, smallShape(2))
		answers := make(chan timedAnswer, 8)
		for range cap(answers) - 1 {
			go func() { answers <- c.timed(ctx, 0, "last", tokens) }()
		}
		time.Sleep(300 * time.Millisecond)
		c.signal("entry-1", syscall.SIGTERM)
		Eventually(func() int {
			response, err := http.Get("http://" + c.Entries[0].Metrics + "/ready")
			if err != nil {
				return 0
			}
			defer func() { _ = response.Body.Close() }()
			return response.StatusCode
		}, 200*time.Millisecond, 10*time.Millisecond).Should(Equal(http.StatusServiceUnavailable))
		go func() { answers <- c.timed(ctx, 0, "late", tokens) }()
		for range cap(answers) {
			a := <-answers
			c.expectWhole(a, tokens, c.steps(ctx))
		}
		Expect(c.processes["entry-1"].Wait()).To(Succeed())
		delete(c.processes, "entry-1")
	})
})
