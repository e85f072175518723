package e2e

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/deployment"
	"tamarackreach/internal/rpc"
)

// callResult is the result that a caller receives for a non-idempotent call. Both
// fields are nil if the entry VM failed before it answered.
type callResult struct {
	reply *tamarackv1.CallResponse
	fault *tamarackv1.Fault
}

// kind returns the kind of the fault.
func (r callResult) kind() tamarackv1.FaultKind { return r.fault.GetKind() }

const onceMethod = "connect"

// callOnce sends a non-idempotent call; deadlineMs 0 means the method's deadline.
func (c *cluster) callOnce(ctx context.Context, entry int, key string, deadlineMs uint32) callResult {
	response, err := c.caller(entry).Call(ctx, asWorkspace(c, workspace, &tamarackv1.CallRequest{
		Service: string(deployment.ServiceName), Method: onceMethod, Body: []byte(key), IdempotencyKey: key, DeadlineMs: deadlineMs,
	}))
	if err == nil {
		return callResult{reply: response.Msg}
	}
	refusal, _ := rpc.FaultOf(err)
	return callResult{fault: refusal}
}

// startOnce runs callOnce in the background.
func (c *cluster) startOnce(ctx context.Context, entry int, key string, deadlineMs uint32) <-chan callResult {
	result := make(chan callResult, 1)
	go func() { result <- c.callOnce(ctx, entry, key, deadlineMs) }()
	return result
}

// runs returns how often the services ran the call with an idempotency key.
func (c *cluster) runs(ctx context.Context, key string) int {
	total := 0
	for _, address := range c.ServiceControls {
		response, err := c.control(address).ServiceLog(ctx, connect.NewRequest(&tamarackv1.ServiceLogRequest{}))
		Expect(err).NotTo(HaveOccurred())
		for _, call := range response.Msg.Calls {
			if call.IdempotencyKey == key {
				total += int(call.Runs)
			}
		}
	}
	return total
}

func (c *cluster) setServiceFaults(ctx context.Context, faults *tamarackv1.Faults) {
	for _, address := range c.ServiceControls {
		c.setFaults(ctx, address, faults)
	}
}

// awaitRun waits until a service has started to run the call.
func (c *cluster) awaitRun(ctx context.Context, key string) {
	Eventually(func() int { return c.runs(ctx, key) }, 2*time.Second, 10*time.Millisecond).Should(Equal(1))
}

// awaitResponse repeats a call until it receives the recorded response.
func (c *cluster) awaitResponse(ctx context.Context, entry int, key string) *tamarackv1.CallResponse {
	var result callResult
	Eventually(func() *tamarackv1.CallResponse {
		result = c.callOnce(ctx, entry, key, 0)
		return result.reply
	}, 8*time.Second, 100*time.Millisecond).ShouldNot(BeNil(), "%v", result.fault)
	return result.reply
}

var _ = Describe("non-idempotent calls", Ordered, func() {
	const notRun, inDoubt = tamarackv1.FaultKind_FAULT_KIND_NOT_RUN, tamarackv1.FaultKind_FAULT_KIND_IN_DOUBT
	var c *cluster

	BeforeAll(func(ctx SpecContext) { c = startCluster(ctx, smallShape(1)) })

	AfterEach(func(ctx SpecContext) {
		c.setFaults(ctx, c.Platform, &tamarackv1.Faults{})
		c.setServiceFaults(ctx, &tamarackv1.Faults{})
	})

	It("run once for a key that is used on two entry VMs at once", func(ctx SpecContext) {
		const keys = 20
		c.setServiceFaults(ctx, &tamarackv1.Faults{DelayMs: 100})
		var callers sync.WaitGroup
		received := make([][2]callResult, keys)
		for i := range received {
			for entry := range received[i] {
				callers.Go(func() { received[i][entry] = c.callOnce(ctx, entry, fmt.Sprint("both-", i), 0) })
			}
		}
		callers.Wait()
		for i, pair := range received {
			key := fmt.Sprint("both-", i)
			Expect(c.runs(ctx, key)).To(Equal(1), "%s: %v", key, pair)
			Expect([]tamarackv1.FaultKind{pair[0].kind(), pair[1].kind()}).NotTo(ContainElement(notRun))
			repeat := c.awaitResponse(ctx, 2, key)
			Expect(repeat.Recorded).To(BeTrue())
			for _, one := range pair {
				if one.reply != nil {
					Expect(one.reply.Body).To(Equal(repeat.Body))
				}
			}
		}
	})

	It("run once when the table's answers are lost after the write took effect", func(ctx SpecContext) {
		c.setFaults(ctx, c.Platform, &tamarackv1.Faults{LoseAnswers: true})
		first := c.callOnce(ctx, 2, "lost", 0)
		Expect(first.reply).NotTo(BeNil(), "%v", first.fault)
		repeat := c.awaitResponse(ctx, 3, "lost")
		Expect(repeat.Recorded).To(BeTrue())
		Expect(repeat.Body).To(Equal(first.reply.Body))
		Expect(c.runs(ctx, "lost")).To(Equal(1))
	})

	It("are refused as not run, and are not run, while the platform is down", func(ctx SpecContext) {
		c.setFaults(ctx, c.Platform, &tamarackv1.Faults{Outage: true})
		const deadlineMs = 500
		received := c.callOnce(ctx, 2, "outage", deadlineMs)
		Expect(received.kind()).To(Equal(notRun), "%v", received)
		c.setFaults(ctx, c.Platform, &tamarackv1.Faults{})
		Expect(c.runs(ctx, "outage")).To(BeZero())
		c.awaitResponse(ctx, 2, "outage")
		Expect(c.runs(ctx, "outage")).To(Equal(1))
	})

	It("keep their outcome when the platform goes down between claim and outcome", func(ctx SpecContext) {
		c.setServiceFaults(ctx, &tamarackv1.Faults{DelayMs: 500})
		pending := c.startOnce(ctx, 2, "between", 0)
		c.awaitRun(ctx, "between")
		c.setFaults(ctx, c.Platform, &tamarackv1.Faults{Outage: true})
		var first callResult
		Eventually(pending, 3*time.Second).Should(Receive(&first))
		Expect(first.reply).NotTo(BeNil(), "%v", first.fault)
		c.setFaults(ctx, c.Platform, &tamarackv1.Faults{})
		repeat := c.awaitResponse(ctx, 3, "between")
		Expect(repeat.Recorded).To(BeTrue())
		Expect(repeat.Body).To(Equal(first.reply.Body))
		Expect(c.runs(ctx, "between")).To(Equal(1))
	})

	It("are in doubt, and are not run again, when the service's answer is cut off", func(ctx SpecContext) {
		c.setServiceFaults(ctx, &tamarackv1.Faults{CutAfterRun: true})
		Expect(c.callOnce(ctx, 2, "cut", 0).kind()).To(Equal(inDoubt))
		c.setServiceFaults(ctx, &tamarackv1.Faults{})
		for entry := range c.Entries {
			Expect(c.callOnce(ctx, entry, "cut", 0).kind()).To(Equal(inDoubt))
		}
		Expect(c.runs(ctx, "cut")).To(Equal(1))
	})

	It("are not run when the entry VM is paused between claim and call past the deadline", func(ctx SpecContext) {
		const deadlineMs, claimDelayMs = 600, 300
		c.setFaults(ctx, c.Platform, &tamarackv1.Faults{DelayMs: claimDelayMs})
		pending := c.startOnce(ctx, 1, "paused", deadlineMs)
		time.Sleep(claimDelayMs / 2 * time.Millisecond)
		c.signal("entry-2", syscall.SIGSTOP)
		time.Sleep(2 * deadlineMs * time.Millisecond)
		c.setFaults(ctx, c.Platform, &tamarackv1.Faults{})
		c.signal("entry-2", syscall.SIGCONT)
		var received callResult
		Eventually(pending, 3*time.Second).Should(Receive(&received))
		Expect(received.kind()).To(Equal(notRun), "%v", received)
		Expect(c.runs(ctx, "paused")).To(BeZero())
		c.awaitResponse(ctx, 2, "paused")
		Expect(c.runs(ctx, "paused")).To(Equal(1))
	})

	It("are never reported as not run when the entry VM is paused while the service runs them", func(ctx SpecContext) {
		const deadlineMs, runMs = 600, 300
		c.setServiceFaults(ctx, &tamarackv1.Faults{DelayMs: runMs})
		pending := c.startOnce(ctx, 1, "paused-late", deadlineMs)
		c.awaitRun(ctx, "paused-late")
		c.signal("entry-2", syscall.SIGSTOP)
		time.Sleep(2 * deadlineMs * time.Millisecond)
		c.signal("entry-2", syscall.SIGCONT)
		var received callResult
		Eventually(pending, 3*time.Second).Should(Receive(&received))
		Expect(received.kind()).NotTo(Equal(notRun), "%v", received)
		Expect(c.callOnce(ctx, 2, "paused-late", 0).kind()).NotTo(Equal(notRun))
		Expect(c.runs(ctx, "paused-late")).To(Equal(1))
	})

	It("are not run again when the entry VM is killed between claim and outcome", func(ctx SpecContext) {
		c.setServiceFaults(ctx, &tamarackv1.Faults{DelayMs: 500})
		pending := c.startOnce(ctx, 0, "killed", 0)
		c.awaitRun(ctx, "killed")
		c.kill("entry-1")
		Eventually(pending, 3*time.Second).Should(Receive(Equal(callResult{})))
		c.setServiceFaults(ctx, &tamarackv1.Faults{})
		Expect(c.callOnce(ctx, 2, "killed", 0).kind()).To(Equal(inDoubt))
		c.start("entry-1")
		Eventually(func() tamarackv1.FaultKind { return c.callOnce(ctx, 0, "killed", 0).kind() }, 5*time.Second).Should(Equal(inDoubt))
		Expect(c.runs(ctx, "killed")).To(Equal(1))
	})
})
