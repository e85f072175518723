package director_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
)

var _ = Describe("a terminating VM", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.addTarget("o1", orders, "a", 0, 0)
		for i := range h.config.Routes {
			if h.config.Routes[i].Name == "pay" {
				h.config.Routes[i].Timeout, h.config.Routes[i].MaxTargets = 4*time.Second, 2
			}
		}
		settings := harnessSettings
		settings.Grace = 8 * time.Second
		h.state.Step(h.now, director.SettingsChanged{Settings: settings})
		h.read()
	})

	// Guards against calls that are accepted 5.5 s after the request to terminate by their usual
	// duration, and are cut at the end of the process while a target runs them.
	It("refuses a call whose deadline ends after the process", func() {
		h.state.Step(h.now, director.Terminating{})
		h.advance(3 * time.Second)
		_, e := h.arrive("/p/x")
		expectSend(e)
		h.advance(2500 * time.Millisecond)
		h.read()
		_, e = h.arrive("/p/x")
		refusal := expectRefusal(e)
		Expect(refusal.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(refusal.RetryAfter).To(BeNumerically("~", 100*time.Millisecond, 50*time.Millisecond))
	})

	// Guards against a call that is accepted between the last look at the requests in flight and
	// the end of the process.
	It("refuses calls once it has ended its drain, which no request in flight allows", func() {
		h.state.Step(h.now, director.Terminating{})
		id, e := h.arrive("/p/x")
		expectSend(e)
		h.state.Step(h.now, director.DrainPolled{})
		Expect(h.state.Drained()).To(BeFalse())
		h.state.Step(h.now, director.RequestFinished{ID: id, Delivered: true})
		h.state.Step(h.now, director.DrainPolled{})
		Expect(h.state.Drained()).To(BeTrue())
		_, e = h.arrive("/p/x")
		Expect(expectRefusal(e).Status).To(Equal(http.StatusServiceUnavailable))
	})

	// Guards against a call that was accepted before and is sent again shortly before the end.
	It("does not send a rejected call again whose deadline ends after the process", func() {
		h.advance(2500 * time.Millisecond)
		id, e := h.arrive("/p/x")
		expectSend(e)
		h.state.Step(h.now.Add(-5*time.Second), director.Terminating{})
		refusal := expectRefusal(h.endSend(id, director.Rejected))
		Expect(refusal.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
	})
})
