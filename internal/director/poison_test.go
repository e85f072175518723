package director_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

var _ = Describe("a request that crashes each target that runs it", func() {
	var w *world
	BeforeEach(func() {
		w = newWorld()
		for _, id := range []model.TargetID{"o1", "o2", "o3", "o4"} {
			w.add(id, orders, "a", 0, 0)
		}
		w.read()
	})

	crash := func(id model.TargetID) {
		w.change(id, func(t *fleet.Target) { t.Born++ })
		w.read()
	}
	// lose sends the request until it is refused; each answer is lost, and the
	// targets crash when crashing is true.
	lose := func(w *world, path string, crashing bool) *director.Refuse {
		id, e := w.arrive(path)
		for range 5 {
			send, ok := e.(*director.Send)
			if !ok {
				break
			}
			e = w.ended(id, director.Lost)
			if crashing {
				crash(send.Hops[0].Target)
			}
			w.pass(50 * time.Millisecond)
		}
		return refused(e)
	}

	// Pattern: its caller sends it again after each crash.
	It("is refused as not run from the third time on, with when to come back", func() {
		lose(w, "/r/bad", true)
		refusal := lose(w, "/r/bad", true)
		Expect(refusal.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(refusal.RetryAfter).To(BeNumerically(">", time.Minute))
		Expect(refusal.Reason).To(ContainSubstring("crashed"))
		_, e := w.arrive("/r/other")
		sent(e)
	})

	It("is refused by VMs that heard of it", func() {
		lose(w, "/r/bad", true)
		other := newWorld()
		other.targets, other.rows = w.targets, w.rows
		other.read()
		heard := w.state.Share(w.now)
		other.state.Step(other.now, heard)
		_, e := other.arrive("/r/bad")
		Expect(refused(e).Reason).To(ContainSubstring("crashed"))
	})

	// Pattern: many targets lose answers and none of them crashes.
	It("is not one whose answers are only lost", func() {
		for range 3 {
			lose(w, "/r/unlucky", false)
		}
		w.pass(6 * time.Second)
		w.read()
		crash("o1")
		_, e := w.arrive("/r/unlucky")
		sent(e)
	})
})
