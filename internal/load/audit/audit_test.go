package audit_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/load/audit"
	"tamarackreach/internal/model"
)

func TestAudit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "audit")
}

func step(target string, first, end uint32) *tamarackv1.EngineStep {
	return &tamarackv1.EngineStep{RequestId: "r", Attempt: 1, TargetId: target, Version: "v1", Layers: &tamarackv1.LayerRange{First: first, End: end}}
}

var _ = Describe("the audit", func() {
	receipts := []model.Receipt{
		{Target: "a", Layers: model.LayerRange{First: 0, End: 2}, Version: "v1"},
		{Target: "b", Layers: model.LayerRange{First: 2, End: 4}, Version: "v1"},
	}
	answer := audit.Answer{Request: "r", MaxTokens: 1, Outcome: audit.Complete, Tokens: []audit.Token{{Attempt: 1, Text: "t", Receipts: receipts}}}
	correct := audit.Model{Version: "v1", Layers: 4, Text: func(string, model.TokenIndex) string { return "t" }}

	DescribeTable("compares tokens with the steps of engines", func(violations int, steps ...*tamarackv1.EngineStep) {
		Expect(audit.CheckEngines([]audit.Answer{answer}, steps)).To(HaveLen(violations))
	},
		Entry("each layer once", 0, step("b", 2, 4), step("a", 0, 2)),
		Entry("a layer range twice on one target", 1, step("a", 0, 2), step("a", 0, 2), step("b", 2, 4)),
		Entry("a layer range on two targets", 1, step("a", 0, 2), step("c", 0, 2), step("b", 2, 4)),
		Entry("a receipt without a step", 1, step("b", 2, 4)),
	)

	It("finds requests and calls that ran although they were refused as not run", func() {
		refused := audit.Answer{Request: "r", Outcome: audit.RefusedNotRun}
		Expect(audit.CheckEngines([]audit.Answer{refused}, []*tamarackv1.EngineStep{step("a", 0, 2)})).To(HaveLen(1))
		call := audit.Call{Workspace: "w", Key: "k", Outcome: audit.RefusedNotRun}
		Expect(audit.CheckServices([]audit.Call{call}, []*tamarackv1.ServiceCall{{Workspace: "w", IdempotencyKey: "k", Runs: 1}})).To(HaveLen(1))
	})

	It("finds calls that ran on two services, or were answered but never ran", func() {
		calls := []audit.Call{{Workspace: "w", Key: "k", Outcome: audit.Complete}, {Workspace: "w", Key: "l", Outcome: audit.Complete}}
		logged := []*tamarackv1.ServiceCall{{Workspace: "w", IdempotencyKey: "k", Runs: 1}, {Workspace: "w", IdempotencyKey: "k", Runs: 1}}
		Expect(audit.CheckServices(calls, logged)).To(HaveLen(2))
	})

	It("finds answers that are truncated, wrong, interrupted without a refusal or stalled", func() {
		short := answer
		short.MaxTokens = 2
		wrong := answer
		wrong.Tokens = []audit.Token{{Text: "u", Receipts: receipts}}
		partial := answer
		partial.Tokens = []audit.Token{{Text: "t", Receipts: receipts[:1]}}
		cut := audit.Answer{Outcome: audit.Cut}
		stalled := audit.Answer{Outcome: audit.GaveUp, Ended: 6 * time.Second}
		for _, a := range []audit.Answer{short, wrong, partial, cut, stalled} {
			Expect(audit.CheckAnswers(correct, []audit.Answer{a})).To(HaveLen(1))
		}
		Expect(audit.CheckAnswers(correct, []audit.Answer{answer})).To(BeEmpty())
	})
})
