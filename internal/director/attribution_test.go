package director_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
)

var _ = Describe("the counts of lost answers", func() {
	// Guards against counts that do not tell a crash that was never noticed from one that an
	// answer has cleared.
	It("tell crashes, answers before and after them, and targets that did not crash", func() {
		h := newHarness()
		h.addTarget("o1", orders, "a", 0, 0)
		h.addTarget("o2", orders, "a", 0, 0)
		h.read()
		lose := func(path string) {
			id, e := h.arrive(path)
			target := expectSend(e).Hops[0].Target
			expectRefusal(h.endSend(id, director.Lost))
			h.state.Step(h.now, director.RequestFinished{ID: id})
			if path == "/p/crash" {
				h.changeTarget(target, func(t *fleet.Target) { t.StartedMs++ })
				h.read()
			}
		}
		answer := func(path string) {
			id, e := h.arrive(path)
			expectSend(e)
			h.state.Step(h.now, director.RequestFinished{ID: id, Delivered: true})
		}
		contents := func() director.Attribution {
			parts, contents := h.state.Attributions()
			Expect(parts).To(BeZero())
			return contents
		}
		lose("/p/lost")
		answer("/p/lost")
		lost := contents()
		Expect(lost.Answered).To(BeNumerically(">", 0))
		Expect(lost).To(Equal(director.Attribution{Answered: lost.Answered}))

		lose("/p/crash")
		Expect(contents().Crashed).To(BeNumerically(">", 0))
		Expect(contents().Cleared).To(BeZero())
		answer("/p/crash")
		Expect(contents().Cleared).To(Equal(contents().Crashed))

		lose("/p/never")
		h.advance(6 * time.Second)
		h.state.Step(h.now, director.ProbeDue{})
		Expect(contents().Expired).To(BeNumerically(">", 0))
	})
})
