package e2e

import (
	"context"
	"fmt"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/deployment"
	"tamarackreach/internal/event"
	"tamarackreach/internal/fault"
	"tamarackreach/internal/model"
	"tamarackreach/internal/rpc"
)

var _ = Describe("concurrent changes by operators", func() {
	It("each return the correct result, also when the platform's replies are lost", func(ctx SpecContext) {
		const writers = 24
		c := startCluster(ctx, smallShape(1))
		base := c.revisionOn(ctx, 0)
		c.setFaults(ctx, c.Platform, &tamarackv1.Faults{LoseAnswers: true})
		results := make([]applyResult, writers)
		var group sync.WaitGroup
		for i := range writers {
			group.Go(func() { results[i] = c.applyRacing(ctx, i, base) })
		}
		group.Wait()
		c.setFaults(ctx, c.Platform, &tamarackv1.Faults{})

		last := base
		for _, result := range results {
			last = max(last, result.revision)
		}
		_, err := c.driver.AwaitRevision(ctx, last)
		Expect(err).NotTo(HaveOccurred())
		accepted := 0
		for i, result := range results {
			change, found := c.findChange(ctx, result.id)
			switch {
			case result.err == nil:
				accepted++
				Expect(found).To(BeTrue(), "writer %d received revision %d", i, result.revision)
				Expect(change.Revision).To(Equal(result.revision))
			case result.fault.GetCode() == string(fault.ChangeConflict):
				Expect(found).To(BeFalse(), "writer %d was refused", i)
				Expect(result.fault.Message).To(MatchRegexp("change race-[0-9]+ by team sales, accepted as revision [0-9]+, wrote teams/sales/workspaces/"))
			default:
				Expect(result.fault.GetCode()).To(Equal(string(fault.ChangeInDoubt)), "writer %d: %v", i, result.err)
			}
		}
		Expect(accepted).To(BeNumerically(">=", 2), "one for each written path")
		Expect(last - base).To(BeNumerically(">=", accepted))
	})
})

// applyResult is the result that a writer receives for its change.
type applyResult struct {
	id       string
	revision uint64
	fault    *tamarackv1.Fault
	err      error
}

// applyRacing applies a change of one of two workspaces to the same base revision.
func (c *cluster) applyRacing(ctx context.Context, writer int, base uint64) applyResult {
	changes, err := c.InitialChanges()
	Expect(err).NotTo(HaveOccurred())
	change := changes[1]
	change.ID = model.ChangeID(fmt.Sprint("race-", writer))
	change.BaseRevision = model.Revision(base)
	change.Edits = []event.Edit{change.Edits[writer%2]}
	result := applyResult{id: string(change.ID)}
	result.revision, result.err = c.driver.Apply(ctx, writer%len(c.Entries), change)
	result.fault, _ = rpc.FaultOf(result.err)
	return result
}

// findChange returns a change by its id and reports whether it exists.
func (c *cluster) findChange(ctx context.Context, id string) (*tamarackv1.Change, bool) {
	response, err := c.operator(3).GetChange(ctx, asTeam(c, deployment.SalesTeam, &tamarackv1.GetChangeRequest{ChangeId: id}))
	if err != nil {
		return nil, false
	}
	return response.Msg.Change, true
}
