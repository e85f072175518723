package ingress_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/platform/platformtest"
)

var _ = Describe("the response to a caller", Ordered, func() {
	var s *site
	BeforeAll(func() { s = startSite(1) })

	// setFault sets the fault that every target of the model injects into all its
	// requests.
	setFault := func(f platformtest.Fault) {
		for _, t := range s.fleet.Targets("llm") {
			t.Always(f)
		}
	}

	// Guards against a refusal that carries the header of a target whose response
	// failed before its first event.
	It("has no header of a target when the router generates it", func() {
		setFault(platformtest.HeadOnly)
		status, _, id, header := s.callWith("POST", "/s/x", "key", nil)
		setFault(platformtest.NoFault)
		Expect(s.fleet.Runs(id)).To(BeNumerically(">", 0))
		Expect(status).To(Equal(502))
		Expect(header).NotTo(HaveKey("Tamarackreach-Server-Seal"))
		Expect(header).NotTo(HaveKey("Cache-Control"))
		Expect(header.Get("Content-Type")).To(HavePrefix("text/plain"))
		Expect(header.Get("Tamarackreach-Attempt-Id")).To(Equal(id))
	})
})
