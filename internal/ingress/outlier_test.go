package ingress_test

import (
	"bytes"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/ctl"
	"tamarackreach/platform/platformtest"
)

var _ = Describe("an entry VM with a target that answers with errors", Ordered, func() {
	var s *site
	BeforeAll(func() { s = startSite(3) })

	route := func(args ...string) (int, string) {
		var out, errOut bytes.Buffer
		code := ctl.Run(append([]string{"route", "-status", s.metrics}, args...), &out, &errOut)
		return code, out.String() + errOut.String()
	}

	It("answers where a request would be routed, and sends nothing", func() {
		code, text := route("-host", "h", "-path", "/s/x", "-key", "key")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(text).To(And(ContainSubstring("service llm"), ContainSubstring("admitted: ")))
		code, text = route("-host", "h", "-path", "/s/x", "-key", "other")
		Expect(code).To(Equal(ctl.ExitRefused))
		Expect(text).To(ContainSubstring("unknown key"))
		code, text = route("-host", "h", "-path", "/nowhere", "-key", "key")
		Expect(code).To(Equal(ctl.ExitRefused))
		Expect(text).To(ContainSubstring("unknown route"))
		Expect(s.read("/metrics")).To(ContainSubstring("tamarack_requests_in_flight 0"))
	})

	// Guards against a target that answers 500 at once and stays the least loaded one.
	It("takes it out of rotation, states why, and returns it after its recovery", func() {
		faulty := s.fleet.Targets("desk")[0]
		faulty.Always(platformtest.ServerError)
		Eventually(func() string {
			for range 5 {
				s.call("GET", "/r/x")
			}
			return s.read("/metrics")
		}, 10*time.Second, 10*time.Millisecond).Should(ContainSubstring("tamarack_targets_ejected 1"))
		_, text := route("-host", "h", "-path", "/p/x", "-key", "key")
		Expect(text).To(SatisfyAny(ContainSubstring("out of rotation for its errors"), ContainSubstring("a trial is due")))
		faulty.Always(platformtest.NoFault)
		Eventually(func() string {
			s.call("GET", "/r/x")
			return s.read("/metrics")
		}, 15*time.Second, 20*time.Millisecond).Should(ContainSubstring("tamarack_targets_ejected 0"))
	})
})
