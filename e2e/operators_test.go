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

var _ = Describe("operators that race each other", func() {
	It("each learn the truth about their own change, also when answers are lost", func(ctx SpecContext) {
		const writers = 24
		c := startCluster(ctx, smallShape(1))
		base := c.revisionOn(ctx, 0)
		c.setFaults(ctx, c.Platform, &tamarackv1.Faults{LoseAnswers: true})
		told := make([]verdict, writers)
		var group sync.WaitGroup
		for i := range writers {
			group.Go(func() { told[i] = c.race(ctx, i, base) })
		}
		group.Wait()
		c.setFaults(ctx, c.Platform, &tamarackv1.Faults{})

		last := base
		for _, v := range told {
			last = max(last, v.revision)
		}
		_, err := c.driver.AwaitRevision(ctx, last)
		Expect(err).NotTo(HaveOccurred())
		accepted := 0
		for i, v := range told {
			change, found := c.findChange(ctx, v.id)
			switch {
			case v.err == nil:
				accepted++
				Expect(found).To(BeTrue(), "writer %d was told of revision %d", i, v.revision)
				Expect(change.Revision).To(Equal(v.revision))
			case v.fault.GetCode() == string(fault.ChangeConflict):
				Expect(found).To(BeFalse(), "writer %d was refused", i)
				Expect(v.fault.Message).To(MatchRegexp("change race-[0-9]+ by team sales, accepted as revision [0-9]+, wrote teams/sales/workspaces/"))
			default:
				Expect(v.fault.GetCode()).To(Equal(string(fault.ChangeInDoubt)), "writer %d: %v", i, v.err)
			}
		}
		Expect(accepted).To(BeNumerically(">=", 2), "one for each path that is written")
		Expect(last - base).To(BeNumerically(">=", accepted))
	})
})

// verdict is what a writer was told of its change.
type verdict struct {
	id       string
	revision uint64
	fault    *tamarackv1.Fault
	err      error
}

// race proposes a change of one of two workspaces on the same base.
func (c *cluster) race(ctx context.Context, i int, base uint64) verdict {
	changes, err := c.InitialChanges()
	Expect(err).NotTo(HaveOccurred())
	change := changes[1]
	change.ID = model.ChangeID(fmt.Sprint("race-", i))
	change.BaseRevision = model.Revision(base)
	change.Edits = []event.Edit{change.Edits[i%2]}
	v := verdict{id: string(change.ID)}
	v.revision, v.err = c.driver.Apply(ctx, i%len(c.Entries), change)
	v.fault, _ = rpc.FaultOf(v.err)
	return v
}

// findChange looks a change up by its id.
func (c *cluster) findChange(ctx context.Context, id string) (*tamarackv1.Change, bool) {
	response, err := c.operator(3).GetChange(ctx, asTeam(c, deployment.SalesTeam, &tamarackv1.GetChangeRequest{ChangeId: id}))
	if err != nil {
		return nil, false
	}
	return response.Msg.Change, true
}
