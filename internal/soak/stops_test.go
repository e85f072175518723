package soak

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/platform/platformtest"
)

// Guards against a check that misses a call cut by a planned stop, or that blames the VM for a cut
// with another cause.
var _ = Describe("the check of planned stops", func() {
	var r *records
	BeforeEach(func() {
		run := newRun("q", "p", 1, 0)
		run.At = at(5510)
		lost := call{id: "q", kind: "p", path: "/p/x", vm: "vm-1", sent: at(5500), ended: at(7700), deadline: callTimeout, loss: "EOF"}
		r = &records{
			started: start, calls: []call{lost}, arrivals: []platformtest.Arrival{run},
			spans: []span{{"vm-1", at(0), at(8000)}, {stopOf("vm-1"), at(0), at(8000)}},
		}
	})
	lost := func() []string { r.index(); r.violations = nil; r.checkStops(); return r.violations }

	It("finds a call that ran and has no answer", func() {
		Expect(lost()).To(ConsistOf(ContainSubstring("lost: q has no answer 7.70 s after the SIGTERM of vm-1")))
		r.calls[0].sent = at(-500) // in flight at the SIGTERM
		Expect(lost()).To(HaveLen(1))
	})

	DescribeTable("allows", func(change func()) {
		change()
		Expect(lost()).To(BeEmpty())
	},
		Entry("a call that has an answer", func() { r.calls[0].status = 504 }),
		Entry("a call that did not run", func() { r.arrivals[0].Run = 0 }),
		Entry("a target that lost its response", func() { r.arrivals[0].Fault = platformtest.LoseResponse }),
		Entry("a target with a fault", func() { r.spans = append(r.spans, span{"i-1", at(6000), at(6100)}) }),
		Entry("a kill during the stop", func() { r.spans = append(r.spans, span{killOf("vm-1"), at(7000), at(7000)}) }),
		Entry("a pause during the stop", func() { r.spans = append(r.spans, span{"vm-1", at(6000), at(6100)}) }),
		Entry("a store that is away", func() { r.spans = append(r.spans, span{storeSubject, at(-500), at(100)}) }),
		Entry("a kill without a stop", func() { r.spans = r.spans[:1] }),
		Entry("a call to the next process", func() { r.calls[0].sent, r.calls[0].ended = at(8100), at(8200) }),
		Entry("a VM of an earlier build", func() { r.earlierBuild = true }),
	)
})
