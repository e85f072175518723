package drain_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/drain"
	"tamarackreach/internal/model"
)

func TestDrain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "drain")
}

const (
	grace = 8 * time.Second
	start = model.Instant(time.Hour)
)

// Pattern: callers use open connections to a process that terminates until it is gone.
var _ = Describe("a terminating process", func() {
	pay, read, stream := drain.Request{}, drain.Request{Repeatable: true}, drain.Request{Stream: true, Repeatable: true}
	// until returns a request whose deadline ends some time after the start of the drain.
	until := func(r drain.Request, end time.Duration) drain.Request {
		r.ExpiresAt = start.Add(end)
		return r
	}

	// Guards against a request that is taken by its usual duration and cut while a target runs it.
	DescribeTable("accepts", func(r drain.Request, at, left time.Duration, accepted bool) {
		d := drain.Start(start, grace)
		Expect(d.Accepts(start.Add(at), until(r, at+left))).To(Equal(accepted))
	},
		Entry("a payment whose deadline ends in time", pay, 3*time.Second, 4*time.Second, true),
		Entry("no payment whose deadline ends after the process", pay, 5500*time.Millisecond, 4*time.Second, false),
		Entry("a long payment while balancers still choose the process", pay, 1900*time.Millisecond, 30*time.Second, true),
		Entry("no long payment later", pay, 2100*time.Millisecond, 30*time.Second, false),
		Entry("no payment whose deadline ends with the drain", pay, 6700*time.Millisecond, time.Second, false),
		Entry("a short payment late", pay, 6400*time.Millisecond, time.Second, true),
		Entry("a long read while balancers still choose the process", read, 1900*time.Millisecond, 30*time.Second, true),
		Entry("no long read later", read, 2100*time.Millisecond, 30*time.Second, false),
		Entry("a short read late", read, 6400*time.Millisecond, time.Second, true),
		Entry("a stream while balancers still choose the process", stream, 1900*time.Millisecond, 20*time.Second, true),
		Entry("no stream later", stream, 2100*time.Millisecond, 20*time.Second, false),
	)

	// Guards against a rejected payment that is sent again shortly before the process ends.
	DescribeTable("sends again", func(request drain.Request, at time.Duration, sent bool) {
		d := drain.Start(start, grace)
		Expect(d.Resends(start.Add(at), request)).To(Equal(sent))
	},
		Entry("a payment whose deadline ends in time", until(pay, 7*time.Second), 3*time.Second, true),
		Entry("no payment whose deadline ends after the process", until(pay, 8*time.Second), 3*time.Second, false),
		Entry("a long payment shortly after the start", until(pay, 30*time.Second), time.Second, true),
		Entry("a read", until(read, 30*time.Second), 7*time.Second, true),
	)

	It("takes plain requests, and streams for a while, where its grace is unknown", func() {
		d := drain.Start(start, 0)
		Expect(d.Accepts(start.Add(time.Minute), until(pay, time.Hour))).To(BeTrue())
		Expect(d.Resends(start, until(pay, time.Hour))).To(BeTrue())
		Expect(d.Accepts(start.Add(time.Second), until(stream, time.Hour))).To(BeTrue())
		Expect(d.Accepts(start.Add(3*time.Second), until(stream, time.Second))).To(BeFalse())
	})

	It("takes nothing after the drain", func() {
		d := drain.Start(start, grace)
		d.Expire()
		Expect(d.Accepts(start, until(read, time.Millisecond))).To(BeFalse())
		Expect(d.Resends(start, until(read, time.Millisecond))).To(BeFalse())
	})

	It("takes everything before termination", func() {
		d := drain.Drain{}
		Expect(d.Draining()).To(BeFalse())
		Expect(d.Accepts(start, until(pay, time.Hour))).To(BeTrue())
		Expect(d.Resends(start, until(pay, time.Hour))).To(BeTrue())
	})

	DescribeTable("drains until shortly before it is killed", func(grace, window time.Duration) {
		Expect(drain.Window(grace)).To(Equal(window))
	},
		Entry(nil, 8*time.Second, 7700*time.Millisecond),
		Entry("a short grace", 100*time.Millisecond, time.Duration(0)),
		Entry("an unknown grace", time.Duration(0), time.Duration(0)),
	)
})
