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

// drainDelay is the time after which a leaving target receives no new requests.
const drainDelay = 3 * time.Second

// setVMs replaces the platform's list of VMs.
func (c *cluster) setVMs(ctx context.Context, vms []*tamarackv1.Vm) {
	control := tamarackv1connect.NewControlServiceClient(c.http, "http://"+c.Platform)
	_, err := control.SetVms(ctx, connect.NewRequest(&tamarackv1.SetVmsRequest{Vms: vms}))
	Expect(err).NotTo(HaveOccurred())
}

// vmsWithout returns the list of VMs with one VM omitted or marked as leaving.
func (c *cluster) vmsWithout(id string, leaving bool) []*tamarackv1.Vm {
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

// targetsUsed sends requests over all entry VMs and returns the targets that ran
// them.
func (c *cluster) targetsUsed(ctx context.Context, name string) map[string]bool {
	used := make(map[string]bool)
	for _, a := range c.generateMany(ctx, name, 16, 4, func() {}) {
		Expect(a.err).NotTo(HaveOccurred())
		for _, receipt := range a.tokens[0].Receipts {
			used[receipt.TargetId] = true
		}
	}
	return used
}

var _ = Describe("a leaving target", func() {
	const leavingTarget = "engine-01"

	DescribeTable("receives no new requests after 3 s and completes those in flight", func(ctx SpecContext, startLeaving func(context.Context, *cluster)) {
		c := startCluster(ctx, smallShape(2))
		const tokens = 120
		answers := c.generateMany(ctx, "before", 8, tokens, func() {
			startLeaving(ctx, c)
			time.Sleep(drainDelay)
			Expect(c.targetsUsed(ctx, "after")).NotTo(HaveKey(leavingTarget))
		})
		for _, a := range answers {
			c.expectComplete(a, tokens, c.steps(ctx))
		}
	},
		Entry("marked in the VM list", func(ctx context.Context, c *cluster) { c.setVMs(ctx, c.vmsWithout(leavingTarget, true)) }),
		Entry("marked in its own report", func(ctx context.Context, c *cluster) {
			c.setFaults(ctx, c.EngineControls[0], &tamarackv1.Faults{LeavingTargetIds: []string{leavingTarget}})
		}),
		Entry("drained by an operator", func(ctx context.Context, c *cluster) {
			_, err := c.operator(0).Drain(ctx, asTeam(c, deployment.PlatformTeam, &tamarackv1.DrainRequest{TargetId: leavingTarget}))
			Expect(err).NotTo(HaveOccurred())
		}),
	)

	It("is gone once the VM list omits it, and receives requests again after it rejoins", func(ctx SpecContext) {
		c := startCluster(ctx, smallShape(2))
		c.setVMs(ctx, c.vmsWithout(leavingTarget, false))
		Eventually(func() string { return c.targetState(ctx, 0, leavingTarget) }, 10*time.Second).Should(Equal("gone"))
		for _, vm := range c.VMs {
			if vm.Id == leavingTarget {
				vm.Incarnation++
			}
		}
		c.setFaults(ctx, c.EngineControls[0], &tamarackv1.Faults{CrashTargetIds: []string{leavingTarget}})
		c.setVMs(ctx, c.VMs)
		c.awaitLive(ctx, 3, leavingTarget)
		Eventually(func() map[string]bool { return c.targetsUsed(ctx, "joined") }, 10*time.Second).Should(HaveKey(leavingTarget))
	})
})

var _ = Describe("an entry VM that receives SIGTERM", func() {
	It("completes requests in flight, accepts new ones during the shutdown lag and exits with 0", func(ctx SpecContext) {
		const tokens = 100
		c := startCluster(ctx, smallShape(2))
		answers := make(chan timedAnswer, 8)
		for range cap(answers) - 1 {
			go func() { answers <- c.generateTimed(ctx, 0, "last", tokens) }()
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
		go func() { answers <- c.generateTimed(ctx, 0, "late", tokens) }()
		for range cap(answers) {
			a := <-answers
			c.expectComplete(a, tokens, c.steps(ctx))
		}
		Expect(c.processes["entry-1"].Wait()).To(Succeed())
		delete(c.processes, "entry-1")
	})
})
