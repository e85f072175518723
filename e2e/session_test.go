package e2e

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/deployment"
	"tamarackreach/internal/idempotency"
	"tamarackreach/internal/operatorapi"
)

var _ = Describe("a whole session", func() {
	It("matches the golden file", func(ctx SpecContext) {
		c := startCluster(ctx, smallShape(1))
		var session strings.Builder
		recordRequest(ctx, c, &session)
		recordCall(ctx, c, &session)
		recordChange(ctx, c, &session)
		compareGolden("session.golden", session.String())
	})
})

func recordRequest(ctx SpecContext, c *cluster, session *strings.Builder) {
	a := c.generate(ctx, 0, &tamarackv1.GenerateRequest{Model: string(deployment.ModelName), Prompt: "baker in Porto", MaxTokens: 3})
	Expect(a.err).NotTo(HaveOccurred())
	fmt.Fprintln(session, "request: baker in Porto, 3 tokens")
	for _, token := range a.tokens {
		fmt.Fprintf(session, "  token %d %s last=%t attempt=%d\n", token.Index, token.Text, token.Last, token.Attempt)
		for _, receipt := range token.Receipts {
			fmt.Fprintf(session, "    %s ran [%d,%d) of %s\n", receipt.TargetId, receipt.Layers.GetFirst(), receipt.Layers.GetEnd(), receipt.Version)
		}
	}
}

func recordCall(ctx SpecContext, c *cluster, session *strings.Builder) {
	for try := range 2 {
		response, err := c.caller(try).Call(ctx, asWorkspace(c, workspace, &tamarackv1.CallRequest{
			Service: string(deployment.ServiceName), Method: "connect", Body: []byte("line 7"), IdempotencyKey: "charge-1",
		}))
		Expect(err).NotTo(HaveOccurred())
		recorded := response.Msg.Recorded
		fmt.Fprintf(session, "call connect charge-1: recorded=%t %s\n", recorded, strings.TrimPrefix(string(response.Msg.Body), string(response.Msg.Body[:7])))
	}
	rows, err := c.table().ReadRows(ctx, connect.NewRequest(&tamarackv1.ReadRowsRequest{Prefix: "once/"}))
	Expect(err).NotTo(HaveOccurred())
	for _, row := range rows.Msg.Rows {
		var claim idempotency.Claim
		Expect(json.Unmarshal(row.Value, &claim)).To(Succeed())
		fmt.Fprintf(session, "  claim %s: %s by %s\n", row.Key, claim.State, strings.Split(string(claim.Nonce), "/")[0])
	}
}

func recordChange(ctx SpecContext, c *cluster, session *strings.Builder) {
	changes, err := c.InitialChanges()
	Expect(err).NotTo(HaveOccurred())
	change := changes[1]
	change.ID = "golden-change"
	revision, err := c.driver.Apply(ctx, 2, change)
	Expect(err).NotTo(HaveOccurred())
	fmt.Fprintf(session, "change %s by team %s: revision %d\n", change.ID, change.Team, revision)
	_, err = c.driver.AwaitRevision(ctx, revision)
	Expect(err).NotTo(HaveOccurred())
	for i, entry := range c.Entries {
		response, err := c.operator(i).GetChange(ctx, asTeam(c, deployment.SalesTeam, &tamarackv1.GetChangeRequest{ChangeId: string(change.ID)}))
		Expect(err).NotTo(HaveOccurred())
		inForce := operatorapi.ChangeOf(response.Msg.Change)
		fmt.Fprintf(session, "  in force on %s as revision %d, %d edits\n", entry.NodeID, inForce.Revision, len(inForce.Edits))
	}
}

// compareGolden compares with a golden file; UPDATE_GOLDEN=1 rewrites the file.
func compareGolden(name, got string) {
	path := filepath.Join("testdata", name)
	if os.Getenv("UPDATE_GOLDEN") != "" {
		Expect(os.MkdirAll("testdata", 0o755)).To(Succeed())
		Expect(os.WriteFile(path, []byte(got), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(got).To(Equal(string(want)))
}
