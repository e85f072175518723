package director_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

var _ = Describe("the part that is refused for crashes", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		for n := range 8 {
			h.addTarget(model.TargetID(fmt.Sprint("o", n)), orders, "a", 0, 0)
		}
		h.read()
	})

	answer := func(failure bool, parts ...model.PartID) {
		id, e := h.arriveWithParts(parts...)
		expectSend(e)
		h.state.Step(h.now, director.RequestFinished{ID: id, Delivered: true, Failure: failure})
	}
	// crash sends a request with some parts, whose target crashes, and lets time pass.
	crash := func(after time.Duration, parts ...model.PartID) {
		id, e := h.arriveWithParts(parts...)
		target := expectSend(e).Hops[0].Target
		h.endSend(id, director.Lost)
		h.state.Step(h.now, director.RequestFinished{ID: id})
		h.changeTarget(target, func(t *fleet.Target) { t.StartedMs++ })
		h.read()
		h.advance(after)
	}
	expectServed := func(parts ...model.PartID) {
		_, e := h.arriveWithParts(parts...)
		expectSend(e)
	}
	expectRefused := func(parts ...model.PartID) {
		_, e := h.arriveWithParts(parts...)
		Expect(expectRefusal(e).Reason).To(ContainSubstring("crashed"))
	}

	// Guards against an answered first part that is refused beside the parts which share all
	// of its crashes.
	It("is not one that was answered, beside several that were not", func() {
		answer(false, "first")
		for _, bad := range []model.PartID{"bad1", "bad2"} {
			for range 3 {
				crash(300*time.Millisecond, "first", bad)
				answer(false, "other")
			}
			expectRefused(bad)
		}
		expectServed("first")
	})

	It("is one that was answered before, if it crashes enough targets alone while others are answered", func() {
		answer(false, "first")
		for range 5 {
			expectServed("first")
			crash(300*time.Millisecond, "first")
			answer(false, "other")
		}
		expectRefused("first")
	})

	// Pattern: several targets crash at once while many requests with a popular part run.
	It("is not an answered one whose targets crash at once, nor while nothing is answered", func() {
		answer(false, "first")
		for range 6 {
			crash(time.Millisecond, "first")
			answer(false, "other")
		}
		expectServed("first")
		h.advance(time.Minute)
		h.read()
		answer(false, "second")
		for range 6 {
			crash(300*time.Millisecond, "second")
		}
		expectServed("second")
	})

	// Guards against a failure of a target that clears a crashing part.
	It("is not cleared by a failure", func() {
		for range 3 {
			answer(true, "bad")
			crash(300*time.Millisecond, "bad")
		}
		expectRefused("bad")
	})

	It("is cleared by an answer between its crashes", func() {
		for range 6 {
			crash(300*time.Millisecond, "popular")
			answer(false, "popular")
		}
		expectServed("popular")
	})

	// Guards against a harmless part that is refused for minutes because a trial also held a
	// likelier cause.
	It("is not refused for longer after a trial that held a likelier one", func() {
		answer(false, "first")
		for range 5 {
			crash(300*time.Millisecond, "first")
			answer(false, "other")
		}
		for range 3 {
			crash(10*time.Millisecond, "bad")
		}
		h.advance(10 * time.Second) // the VM has its turn now
		h.read()
		crash(0, "first", "bad")
		expectRefused("bad")
		expectServed("first")
	})

	It("is cleared by a stream that has progressed", func() {
		for range 6 {
			crash(300*time.Millisecond, "popular")
			id, e := h.arriveWithParts("popular")
			expectSend(e)
			h.state.Step(h.now, director.StreamProgressed{ID: id})
		}
		expectServed("popular")
	})

	// Pattern: a harmless part is in the same crashes as the crashing one, and then in a
	// request without it.
	It("is released when its trial is answered, though the other's fails", func() {
		for range 3 {
			crash(300*time.Millisecond, "companion", "bad")
		}
		expectRefused("companion")
		h.advance(10 * time.Second) // the VM has its turn now
		h.read()
		answer(false, "companion")
		expectServed("companion")
		crash(0, "bad", "companion")
		expectRefused("bad")
		expectServed("companion")
	})
})
