package attempt_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/attempt"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
)

var _ = Describe("receipts of a token", func() {
	hop := func(target model.TargetID, first, end uint32) model.Hop {
		return model.Hop{Target: target, Layers: model.LayerRange{First: first, End: end}}
	}
	receipt := func(target model.TargetID, first, end uint32) model.Receipt {
		return model.Receipt{Target: target, Version: "v1", Layers: model.LayerRange{First: first, End: end}}
	}
	verdict := func(chain []model.Hop, receipts []model.Receipt) attempt.Verdict {
		r := &attempt.Request{CurrentAttempt: 1, Layers: 12, Version: "v1", MaxTokens: 5, Chain: chain}
		return r.AcceptFrame(1, &event.TokenArrived{Attempt: 1, Index: 0, Text: "x", Receipts: receipts})
	}

	It("are accepted when they cover the whole model", func() {
		Expect(verdict([]model.Hop{hop("a", 0, 5), hop("b", 5, 12)}, []model.Receipt{receipt("a", 0, 5), receipt("b", 5, 12)})).
			To(Equal(attempt.Accepted))
	})

	// Each chain matches its receipts, so that only the layer ranges are wrong.
	DescribeTable("are rejected when layers are missing, repeated or out of order", func(first, second model.LayerRange) {
		chain := []model.Hop{{Target: "a", Layers: first}, {Target: "b", Layers: second}}
		receipts := []model.Receipt{{Target: "a", Version: "v1", Layers: first}, {Target: "b", Version: "v1", Layers: second}}
		Expect(verdict(chain, receipts)).To(Equal(attempt.BadReceipts))
	},
		Entry("a gap", model.LayerRange{First: 0, End: 5}, model.LayerRange{First: 6, End: 12}),
		Entry("an overlap", model.LayerRange{First: 0, End: 6}, model.LayerRange{First: 5, End: 12}),
		Entry("out of order", model.LayerRange{First: 5, End: 12}, model.LayerRange{First: 0, End: 5}),
		Entry("the end missing", model.LayerRange{First: 0, End: 5}, model.LayerRange{First: 5, End: 11}),
		Entry("the beginning missing", model.LayerRange{First: 1, End: 5}, model.LayerRange{First: 5, End: 12}),
		Entry("an empty range", model.LayerRange{First: 0, End: 12}, model.LayerRange{First: 12, End: 12}),
	)
})
