package e2e

import (
	"encoding/json"
	"strings"
	"syscall"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/deployment"
	"tamarackreach/internal/event"
	"tamarackreach/internal/leases"
	"tamarackreach/internal/model"
)

var _ = Describe("orders to targets", func() {
	It("load the version in force, also after the lease holder was paused", func(ctx SpecContext) {
		c := startCluster(ctx, smallShape(2))
		const prompt = "who answers"
		request := &tamarackv1.GenerateRequest{Model: string(deployment.ModelName), Prompt: prompt, MaxTokens: 4}
		servedBy := func(entry int) string {
			a := c.generate(ctx, entry, request)
			if len(a.tokens) < 4 {
				return ""
			}
			return a.tokens[3].Receipts[0].Version
		}

		By("a change of version")
		changeVersion(ctx, c, "v2")
		Eventually(func() string { return servedBy(0) }, 20*time.Second, time.Second).Should(Equal("v2"))

		By("another change while the lease holder is paused until its lease expires")
		holder := leaseHolder(ctx, c)
		c.signal(string(holder), syscall.SIGSTOP)
		other := otherEntry(c, holder)
		changeVersionAt(ctx, c, other, "v3")
		Eventually(func() string { return servedBy(other) }, 40*time.Second, time.Second).Should(Equal("v3"))
		Expect(leaseHolder(ctx, c)).NotTo(Equal(holder))

		By("the paused lease holder resuming")
		c.signal(string(holder), syscall.SIGCONT)
		Consistently(func() string { return servedBy(other) }, 5*time.Second, 500*time.Millisecond).Should(Equal("v3"))
	})
})

// otherEntry returns the index of the first entry VM that is not the excluded one.
func otherEntry(c *cluster, excluded model.NodeID) int {
	for i, entry := range c.Entries {
		if entry.NodeID != excluded {
			return i
		}
	}
	return 0
}

func leaseHolder(ctx SpecContext, c *cluster) model.NodeID {
	rows, err := c.table().ReadRows(ctx, connect.NewRequest(&tamarackv1.ReadRowsRequest{Keys: []string{leases.RowKey(deployment.Pipeline)}}))
	Expect(err).NotTo(HaveOccurred())
	var row leases.Row
	Expect(json.Unmarshal(rows.Msg.Rows[0].Value, &row)).To(Succeed())
	return row.Holder
}

func changeVersion(ctx SpecContext, c *cluster, version string) { changeVersionAt(ctx, c, 0, version) }

// changeVersionAt applies a change that makes the pipeline serve a version.
func changeVersionAt(ctx SpecContext, c *cluster, entry int, version string) {
	changes, err := c.InitialChanges()
	Expect(err).NotTo(HaveOccurred())
	change := changes[0]
	change.ID = model.ChangeID("to-" + version)
	for i, edit := range change.Edits {
		value := string(edit.Value)
		value = strings.ReplaceAll(value, `"version":"v1"`, `"version":"`+version+`"`)
		value = strings.ReplaceAll(value, `"versions":["v1"]`, `"versions":["v1","`+version+`"]`)
		change.Edits[i] = event.Edit{Path: edit.Path, Value: json.RawMessage(value)}
	}
	_, err = c.driver.Apply(ctx, entry, change)
	Expect(err).NotTo(HaveOccurred())
}
