package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/platform/platformtest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

const lastEvent = 4

// newCall returns a call of a kind that ended with the response of a run.
func newCall(kind, id string, run *platformtest.Arrival, body string) call {
	return call{
		id: id, kind: kind, path: "/" + kind + "/x", vm: "vm-1", sent: at(0), ended: at(900), deadline: callTimeout,
		status: run.Status, complete: true, body: body,
		header: http.Header{"Tamarackreach-Server-Seal": {run.Seal}, "Tamarackreach-Attempt-Id": {id}},
	}
}

// newRun returns the arrival of a request at a target that executes it.
func newRun(c, kind string, number, status int) platformtest.Arrival {
	method := http.MethodPost
	if kind == "r" {
		method = http.MethodGet
	}
	return platformtest.Arrival{
		Request: c, Method: method, Path: "/" + kind + "/x", Workspace: workspace, Service: platformtest.Routes()[kind].Service,
		Target: fmt.Sprintf("i-%d", number), At: at(10 * number), Deadline: callTimeout, Run: number, Status: status,
		Seal: fmt.Sprintf("seal %d of status %d", number, status), Body: "whole body", Events: lastEvent,
	}
}

// events returns the events from first to last of a run's stream.
func events(run, first, last int) string {
	var b strings.Builder
	for n := first; n <= last; n++ {
		b.WriteString(platformtest.StreamEvent(n, run, lastEvent))
	}
	return b.String()
}

func check(calls []call, arrivals ...platformtest.Arrival) []string {
	return (&records{started: start, calls: calls, arrivals: arrivals}).check()
}

var _ = Describe("the checks of responses", func() {
	// plain is a request that one run answered, stream one that was resumed.
	var plain, stream call
	var runs []platformtest.Arrival
	BeforeEach(func() {
		runs = []platformtest.Arrival{newRun("r-1", "r", 1, 200), newRun("s-1", "s", 2, 200), newRun("s-1", "s", 3, 200)}
		runs[2].ResumeAfter = 2
		plain = newCall("r", "r-1", &runs[0], "whole body")
		stream = newCall("s", "s-1", &runs[1], events(2, 1, 2)+events(3, 3, lastEvent))
	})
	violations := func() []string { return check([]call{plain, stream}, runs...) }

	It("accept a whole response of one run and a resumed stream", func() { Expect(violations()).To(BeEmpty()) })

	It("accept responses that are incomplete and do not look complete", func() {
		plain.complete, plain.body = false, "whole"
		stream.complete, stream.body = false, events(2, 1, 1)+"id: 2"
		Expect(violations()).To(BeEmpty())
	})

	It("accept a failure of the router without a header of a target", func() {
		plain.status, plain.header, plain.body = 502, http.Header{"Content-Type": {"text/plain; charset=utf-8"}}, "no target"
		Expect(violations()).To(BeEmpty())
	})

	DescribeTable("find",
		func(want string, spoil func()) {
			spoil()
			Expect(violations()).To(HaveExactElements(ContainSubstring(want)))
		},
		Entry("a success without a signature", "has no signature", func() { plain.header = nil }),
		Entry("a signature on another status", "answered 502 with the signature", func() { plain.status = 502 }),
		Entry("the signature of another request", "none of its runs", func() { plain.header.Set("Tamarackreach-Server-Seal", runs[1].Seal) }),
		Entry("the id of another request", "has the id", func() { plain.header.Set("Tamarackreach-Attempt-Id", "other") }),
		Entry("a cut body that looks complete", "not the whole body", func() { plain.body = "whole" }),
		Entry("an incomplete body of another response", "not the whole body", func() { plain.complete, plain.body = false, "other" }),
		Entry("a target's header on the router's failure", "Cache-Control", func() {
			plain.status, plain.header = 502, http.Header{"Cache-Control": {"no-store"}}
		}),
		Entry("a target's content type on the router's failure", "Content-Type", func() {
			plain.status, plain.header = 502, http.Header{"Content-Type": {"text/event-stream"}}
		}),
		Entry("bytes on an idle connection", "bytes before", func() { plain.stray = "HTTP/1.1 200 OK" }),
		Entry("bytes that are no response", "not a response", func() { plain.status, plain.malformed = 0, true }),
		Entry("a missing event", "order: event 3", func() { stream.body = events(2, 1, 1) + events(3, 3, lastEvent) }),
		Entry("an event twice", "order: event 2", func() { stream.body = events(2, 1, 2) + events(2, 2, lastEvent) }),
		Entry("a return to an earlier run", "order: event 4", func() { stream.body = events(2, 1, 2) + events(3, 3, 3) + events(2, 4, 4) }),
		Entry("an event before the point of resumption", "order: event 1", func() {
			runs[1].Seal, runs[2].Seal, stream.body = "", runs[1].Seal, events(3, 1, lastEvent)
		}),
		Entry("the signature of a run without events", "its events of run 3", func() { runs[2].ResumeAfter, stream.body = 0, events(3, 1, lastEvent) }),
		Entry("an event of another request", "event of none of its runs", func() { stream.body = events(1, 1, lastEvent) }),
		Entry("a stream that ends early and looks complete", "looked complete", func() { stream.body = events(2, 1, 3) }),
		Entry("an empty stream that looks complete", "looked complete", func() { stream.body = "" }),
		Entry("a second response behind a body", "not the whole body", func() { plain.body += "HTTP/1.1 200 OK\r\n" }),
		Entry("a second response behind a stream", "looked complete", func() { stream.body += "HTTP/1.1 200 OK\r\n" }),
		Entry("a request that no caller sent", "unasked", func() { runs = append(runs, newRun("r-2", "r", 9, 200)) }),
		Entry("a request whose path changed", "unasked", func() { runs[0].Path = "/r/other" }),
		Entry("a request of another workspace", "unasked", func() { runs[0].Workspace = "other" }),
	)

	It("find a non-idempotent request that ran twice or was refused and ran", func() {
		first, second := newRun("p-1", "p", 1, 200), newRun("p-1", "p", 2, 200)
		Expect(check([]call{newCall("p", "p-1", &first, "whole body")}, first, second)).To(HaveExactElements(ContainSubstring("twice")))
		refused := call{id: "p-1", kind: "p", path: "/p/x", vm: "vm-1", deadline: callTimeout, status: 429, sent: at(0), ended: at(50)}
		Expect(check([]call{refused}, first)).To(HaveExactElements(ContainSubstring("refused")))
	})

	DescribeTable("find a request that may be repeated, was refused and ran",
		func(status int) {
			run := newRun("r-1", "r", 1, status)
			refused := newCall("r", "r-1", &run, "whole body")
			Expect(check([]call{refused}, run)).To(HaveExactElements(ContainSubstring("refused")))
			run.Run = 0
			Expect(check([]call{refused}, run)).To(BeEmpty())
		},
		Entry("429", 429), Entry("503", 503), Entry("408", 408), Entry("421", 421),
	)

	It("find a target's failure that is delivered although a later run has begun", func() {
		kept := func(change func(failed, later *platformtest.Arrival)) []string {
			failed, later := newRun("r-1", "r", 1, 500), newRun("r-1", "r", 2, 200)
			later.Deadline -= time.Second
			change(&failed, &later)
			return check([]call{newCall("r", "r-1", &failed, "whole body")}, failed, later)
		}
		Expect(kept(func(_, _ *platformtest.Arrival) {})).To(HaveExactElements(ContainSubstring("the failure of run 1")))
		Expect(kept(func(_, later *platformtest.Arrival) { later.Run = 0 })).To(BeEmpty(), "the later send was rejected")
		Expect(kept(func(_, later *platformtest.Arrival) { later.At = at(901) })).To(BeEmpty(), "the response had ended")
		Expect(kept(func(failed, later *platformtest.Arrival) { failed.At, later.At = later.At, failed.At })).To(BeEmpty(), "the failure is the last")
	})

	It("count a stream without a length that its target ended between two events", func() {
		runs[2].Fault, runs[2].Events = platformtest.UnframedEnded, 3
		stream.body = events(2, 1, 2) + events(3, 3, 3)
		r := &records{started: start, calls: []call{plain, stream}, arrivals: runs}
		Expect(r.check()).To(BeEmpty())
		Expect(r.unframed).To(Equal(1))
		runs[2].Events = lastEvent
		Expect(violations()).To(HaveExactElements(ContainSubstring("looked complete")), "the router cut the stream")
		runs[2].Events, stream.body = 3, stream.body+"id: 4"
		Expect(violations()).To(HaveExactElements(ContainSubstring("looked complete")), "the stream ends inside an event")
	})

	It("find a request whose key was removed before it was sent", func() {
		run := newRun("r-1", "r", 1, 200)
		c := newCall("r", "r-1", &run, "whole body")
		c.key = "old"
		r := &records{started: start, calls: []call{c}, arrivals: []platformtest.Arrival{run}, removed: map[string]time.Time{"old": at(-1600)}}
		Expect(r.check()).To(HaveExactElements(ContainSubstring("revoked")))
	})

	It("print the history of the request", func() {
		plain.status = 502
		Expect(violations()[0]).To(And(ContainSubstring("caller sends r-1 as GET /r/x to vm-1"), ContainSubstring("r-1 reaches i-1, run 1"), ContainSubstring("caller of r-1 receives status 502")))
	})
})

var _ = Describe("the checks of the retry budget", func() {
	// burst returns requests that each reach n targets, one request after another from
	// an instant.
	const interval = 10
	burst := func(prefix string, requests, n, from int) (calls []call, arrivals []platformtest.Arrival) {
		for i := range requests {
			id := fmt.Sprintf("%s-%d", prefix, i)
			for k := range n {
				a := newRun(id, "r", 1+i*n+k, 500)
				a.Target, a.At = fmt.Sprintf("i-%d", k%2), at(from+i*interval+k)
				arrivals = append(arrivals, a)
			}
			c := newCall("r", id, &arrivals[len(arrivals)-1], "whole body")
			c.sent, c.ended = at(from+i*interval), at(from+i*interval+n)
			calls = append(calls, c)
		}
		return calls, arrivals
	}
	const slack = platformtest.RetrySlack

	It("accept the slack and the share of the requests, and find one retry more", func() {
		// n requests with one retry each are within the budget if n <= 0.1*n + 20.
		const n = 22
		calls, arrivals := burst("a", n, 2, 0)
		Expect(check(calls, arrivals...)).To(BeEmpty())
		calls, arrivals = burst("a", n+2, 2, 0)
		Expect(check(calls, arrivals...)).To(HaveExactElements(ContainSubstring("budget: ")))
	})

	It("find a window that lies across two that are within the budget", func() {
		window := int(platformtest.RetryWindow.Milliseconds())
		n := slack - 4
		calls, arrivals := burst("a", n, 2, window-1000)
		late, lateArrivals := burst("b", n, 2, window+1000)
		Expect(check(append(calls, late...), append(arrivals, lateArrivals...)...)).To(HaveExactElements(ContainSubstring("retries to desk")))
	})

	It("count the requests of the window before", func() {
		window := int(platformtest.RetryWindow.Milliseconds())
		calls, arrivals := burst("a", 400, 1, 0)
		late, lateArrivals := burst("b", slack+30, 2, window)
		Expect(check(append(calls, late...), append(arrivals, lateArrivals...)...)).To(BeEmpty())
	})

	It("count rejected arrivals", func() {
		calls, arrivals := burst("a", slack+20, 2, 0)
		for i := range arrivals {
			if i%2 == 0 {
				arrivals[i].Run = 0
			}
		}
		Expect(check(calls, arrivals...)).To(HaveExactElements(ContainSubstring("budget: ")))
	})

	// overTargets returns requests that run on three targets.
	overTargets := func(n int) (calls []call, arrivals []platformtest.Arrival) {
		for i := range n {
			id := fmt.Sprintf("r-%d", i)
			for k := range 3 {
				arrivals = append(arrivals, newRun(id, "r", 1+i*3+k, 500))
			}
			calls = append(calls, newCall("r", id, &arrivals[len(arrivals)-1], "whole body"))
		}
		return calls, arrivals
	}

	It("find more than three requests that run on more targets than allowed", func() {
		calls, arrivals := overTargets(3)
		Expect(check(calls, arrivals...)).To(BeEmpty())
		calls, arrivals = overTargets(4)
		Expect(check(calls, arrivals...)).To(HaveExactElements(ContainSubstring("more targets")))
	})

	It("do not count targets that ended or were cut off meanwhile", func() {
		calls, arrivals := overTargets(4)
		r := &records{started: start, calls: calls, arrivals: arrivals, ends: map[string][]time.Time{"i-1": {at(20)}}}
		Expect(r.check()).To(BeEmpty())
		r = &records{started: start, calls: calls, arrivals: arrivals, spans: []span{{"i-4", at(20), at(30)}}}
		Expect(r.check()).To(BeEmpty())
	})

	DescribeTable("find a deadline that exceeds the caller's",
		func(want string, change func(first, second *platformtest.Arrival)) {
			first, second := newRun("r-1", "r", 1, 500), newRun("r-1", "r", 2, 200)
			second.At, second.Deadline = at(1000), callTimeout-time.Second
			c := newCall("r", "r-1", &second, "whole body")
			c.ended = at(1100)
			Expect(check([]call{c}, first, second)).To(BeEmpty())
			change(&first, &second)
			Expect(check([]call{c}, first, second)).To(HaveExactElements(ContainSubstring(want)))
			paused := &records{started: start, calls: []call{c}, arrivals: []platformtest.Arrival{first, second}, spans: []span{{"vm-1", at(-10), at(5)}}}
			Expect(paused.check()).To(BeEmpty())
		},
		Entry("none is stated", "was given", func(first, _ *platformtest.Arrival) { first.Deadline = 0 }),
		Entry("it is longer", "was given", func(first, _ *platformtest.Arrival) { first.Deadline = callTimeout + 600*time.Millisecond }),
		Entry("a later send ends after it", "after its deadline", func(_, second *platformtest.Arrival) { second.Deadline = callTimeout - 300*time.Millisecond }),
	)

	// crashing returns n requests, 250 ms apart, with content that crashes targets.
	crashing := func(n, crashes int) *records {
		r := &records{started: start}
		for i := range n {
			a := newRun(fmt.Sprintf("s-%d", i), "s", 1+i, 200)
			a.Path, a.At = "/s/"+platformtest.CrashAfterEvent+"/x", at(250*i)
			if i < crashes {
				a.CrashedAt = a.At
			}
			r.arrivals = append(r.arrivals, a)
			c := newCall("s", a.Request, &a, events(1+i, 1, 1))
			c.path, c.complete, c.sent, c.ended = a.Path, false, a.At, a.At
			r.calls = append(r.calls, c)
		}
		return r
	}

	It("find content that reaches targets after it has crashed three", func() {
		// The sends from the seventh on are later than the stability window after the
		// third crash.
		Expect(crashing(9, 9).check()).To(BeEmpty())
		Expect(crashing(11, 3).check()).To(HaveExactElements(ContainSubstring("after it had crashed 3")))
		Expect(crashing(11, 2).check()).To(BeEmpty())
	})

	It("find a part that reaches targets after it has crashed five", func() {
		withPart := func(n, crashes int) *records {
			r := crashing(n, crashes)
			for i := range r.arrivals {
				r.arrivals[i].Path, r.arrivals[i].CrashingPart = "/s/x", "dead1"
				r.calls[i].path = "/s/x"
			}
			return r
		}
		// The sends from the tenth on are later than the stability window after the fifth
		// crash.
		Expect(withPart(12, 12).check()).To(BeEmpty())
		Expect(withPart(13, 5).check()).To(HaveExactElements(ContainSubstring("after it had crashed 5")))
		Expect(withPart(13, 4).check()).To(BeEmpty())
	})

	It("do not count content sent by a VM that had a fault", func() {
		r := crashing(11, 11)
		r.spans = []span{{"vm-1", at(1200), at(1300)}}
		Expect(r.check()).To(BeEmpty())
	})
})
