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

var _ = Describe("a request that crashes its targets, beside harmless ones of its path and body", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		for n := range 8 {
			h.addTarget(model.TargetID(fmt.Sprint("o", n)), orders, "a", 0, 0)
		}
		h.read()
	})

	arrive := func(change func(*fleet.Request)) (model.RequestID, director.Effect) {
		h.requests++
		request := &fleet.Request{
			ID: model.RequestID(fmt.Sprint("q", h.requests)), Method: "GET", Host: "h", Path: "/r/x", Key: "key", HasKey: true, Deadline: 20 * time.Second,
		}
		change(request)
		return request.ID, lastEffect(h.state.Step(h.now, director.RequestArrived{Request: request}))
	}
	badQuery := func(r *fleet.Request) { r.Query = "item=bad" }
	harmless := func(*fleet.Request) {}
	answer := func(change func(*fleet.Request)) {
		id, e := arrive(change)
		expectSend(e)
		h.state.Step(h.now, director.RequestFinished{ID: id, Delivered: true})
	}
	// lose sends a request whose answer is lost, and returns its target.
	lose := func(change func(*fleet.Request)) model.TargetID {
		id, e := arrive(change)
		target := expectSend(e).Hops[0].Target
		h.endSend(id, director.Lost)
		h.state.Step(h.now, director.RequestFinished{ID: id})
		return target
	}
	crash := func(target model.TargetID) {
		h.changeTarget(target, func(t *fleet.Target) { t.StartedMs++ })
		h.read()
	}
	expectRefused := func(change func(*fleet.Request)) {
		_, e := arrive(change)
		Expect(expectRefusal(e).Reason).To(ContainSubstring("crashed"))
	}

	// Guards against harmless look-ups whose answers clear the crashes of a harmful one, before a
	// crash is confirmed or after it, so that it is never refused.
	DescribeTable("is refused after three crashes, and the others are served", func(bad, others func(*fleet.Request)) {
		for range 3 {
			target := lose(bad)
			answer(others)
			crash(target)
			answer(others)
			h.advance(300 * time.Millisecond)
		}
		expectRefused(bad)
		answer(others)

		h.advance(10 * time.Second) // the VM has its turn now
		h.read()
		crash(lose(bad))
		answer(others)
		expectRefused(bad)
		answer(others)
	},
		Entry("that have another query", badQuery, harmless),
		Entry("that have another query and the same body",
			func(r *fleet.Request) { r.Query, r.Method, r.Body = "item=bad", "POST", []byte("body") },
			func(r *fleet.Request) { r.Query, r.Method, r.Body = "item=good", "POST", []byte("body") }),
		Entry("that have another method", func(r *fleet.Request) { r.Method = "DELETE" }, harmless),
		Entry("that have another method for the body",
			func(r *fleet.Request) { r.Method, r.Body = "PUT", []byte("body") }, func(r *fleet.Request) { r.Method, r.Body = "POST", []byte("body") }),
		Entry("that have another prompt",
			func(r *fleet.Request) { r.Prompt = "a:40,bad:700" }, func(r *fleet.Request) { r.Prompt = "a:40,good:700" }),
		Entry("that ask another model with the prompt",
			func(r *fleet.Request) { r.Model, r.Prompt = "bad", "a:40,b:700" }, func(r *fleet.Request) { r.Model, r.Prompt = "good", "a:40,b:700" }),
		Entry("that have another query, if its prompt differs each time",
			func(r *fleet.Request) { r.Query, r.Prompt = "item=bad", fmt.Sprintf("a:40,%s:700", r.ID) }, harmless),
	)

	// Guards against a request that is never refused because something in it differs each time.
	DescribeTable("is refused after three crashes when it differs each time", func(change func(r *fleet.Request, n int)) {
		for n := range 3 {
			crash(lose(func(r *fleet.Request) { change(r, n) }))
			h.advance(300 * time.Millisecond)
		}
		expectRefused(func(r *fleet.Request) { change(r, 3) })
	},
		Entry("in its query", func(r *fleet.Request, n int) { r.Query = fmt.Sprint("time=", n) }),
		Entry("in its prompt", func(r *fleet.Request, n int) { r.Prompt = fmt.Sprintf("a:40,%d:700", n) }),
	)

	// Guards against harmless requests that are refused for minutes because the trials of a
	// harmful one fail.
	It("keeps the others refused no longer than the first quarantine", func() {
		for range 3 {
			crash(lose(badQuery))
			h.advance(300 * time.Millisecond)
		}
		h.advance(10 * time.Second) // the VM has its turn now
		h.read()
		crash(lose(badQuery))
		answer(harmless)
		expectRefused(badQuery)
		answer(harmless)
	})

	// Guards against harmless requests that are refused for an hour because the harmful one, which
	// has not crashed enough targets by itself, fails every trial of all with the path.
	It("is refused alone once a trial of all of them has failed with it", func() {
		crash(lose(func(r *fleet.Request) { r.Query = "item=other" }))
		for range 2 {
			crash(lose(badQuery))
		}
		expectRefused(harmless)
		h.advance(10 * time.Second) // the VM has its turn now
		h.read()
		crash(lose(badQuery))
		h.advance(20 * time.Second)
		h.read()
		crash(lose(badQuery))
		expectRefused(badQuery)
		answer(harmless)
		answer(harmless)
		expectRefused(badQuery)
	})

	// Guards against a connection for each cause of a request, of which every one costs its target.
	It("has its target probed once", func() {
		target := lose(badQuery)
		probes := 0
		for range 20 {
			for _, e := range h.state.Step(h.now, director.ProbeDue{Lead: true}) {
				if probe, ok := e.(*director.ProbeConnection); ok {
					Expect(probe.Target).To(Equal(target))
					probes++
					h.state.Step(h.now, director.ConnectionProbed{Target: target, Accepted: true})
				}
			}
			h.advance(250 * time.Millisecond)
		}
		Expect(probes).To(Equal(1))
	})
})
