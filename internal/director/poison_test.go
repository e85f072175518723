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
	It("is refused as not run after three crashes, with when to come back, and longer after each", func() {
		refusal := lose(w, "/r/bad", true)
		Expect(refusal.Status).To(Equal(http.StatusBadGateway), "it ran and crashed three targets")
		refusal = lose(w, "/r/bad", true)
		Expect(refusal.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(refusal.RetryAfter).To(And(BeNumerically(">", 5*time.Second), BeNumerically("<", time.Minute)))
		Expect(refusal.Reason).To(ContainSubstring("crashed"))
		_, e := w.arrive("/r/other")
		sent(e)
		ran := 0
		for range 60 {
			w.pass(time.Second)
			w.read()
			id, e := w.arrive("/r/bad")
			if send, ok := e.(*director.Send); ok {
				ran++
				w.ended(id, director.Lost)
				crash(send.Hops[0].Target)
				w.state.Step(w.now, director.Finished{ID: id})
			}
		}
		Expect(ran).To(BeNumerically("<=", 3))
	})

	It("is refused by VMs that heard of it", func() {
		lose(w, "/r/bad", true)
		other := newWorld()
		other.targets, other.rows = w.targets, w.rows
		other.read()
		other.state.Step(other.now, w.state.Share(w.now))
		_, e := other.arrive("/r/bad")
		Expect(refused(e).Reason).To(ContainSubstring("crashed"))
	})

	// Pattern: many callers send the same content, and several targets crash at
	// once with it on them (soak seeds 106, 125, 128, 142).
	It("is not one that is answered meanwhile, whoever sent it", func() {
		for range 4 {
			lost, e := w.arrive("/r/popular")
			send := sent(e)
			w.ended(lost, director.Lost)
			answered, _ := w.arrive("/r/popular")
			w.state.Step(w.now, director.Finished{ID: answered, Delivered: true})
			crash(send.Hops[0].Target)
			w.state.Step(w.now, director.Finished{ID: lost})
			w.pass(time.Second)
			w.read()
		}
		_, e := w.arrive("/r/popular")
		sent(e)
	})

	It("counts a target once, however many answers were lost on it", func() {
		var lost []model.RequestID
		var on model.TargetID
		for range 12 {
			id, e := w.arrive("/r/popular")
			if on == "" || sent(e).Hops[0].Target == on {
				on = sent(e).Hops[0].Target
				lost = append(lost, id)
			}
		}
		Expect(len(lost)).To(BeNumerically(">=", 3))
		for _, id := range lost {
			w.ended(id, director.Lost)
		}
		crash(on)
		_, e := w.arrive("/r/popular")
		sent(e)
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
