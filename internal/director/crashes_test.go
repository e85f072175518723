package director_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
)

// A request that crashes its targets comes again and again at every VM, beside
// restarts of the VMs. Guards against crashes that are not attributed to it, VMs that
// do not know of the quarantine, and VMs that all try it again once it has expired.
var _ = Describe("a request that crashes its targets and is sent to several VMs", func() {
	DescribeTable("reaches at most three targets after the stability window",
		func(request crashingRequest) {
			for _, a := range []arrivals{
				{interval: 100 * time.Millisecond, toAll: time.Second}, {interval: 100 * time.Millisecond, toAll: time.Second, restarts: true},
				{interval: 400 * time.Millisecond, toAll: 2 * time.Second}, {interval: 400 * time.Millisecond, toAll: 2 * time.Second, restarts: true},
				{interval: 700 * time.Millisecond, toAll: time.Hour, restarts: true}, {interval: 1500 * time.Millisecond, toAll: 4 * time.Second},
			} {
				for _, restart := range []time.Duration{2 * time.Second, 6 * time.Second} {
					c := newCrashSimulation(request, 4, restart)
					c.run(a, time.Minute)
					Expect(c.crashes).To(BeNumerically(">=", 3))
					Expect(len(c.lateSends)).To(BeNumerically("<=", maxLateSends), "%+v, restart after %v: %d crashes, sent after %v", a, restart, c.crashes, c.lateSends)
					if request.harmless > 0 {
						Expect(c.harmlessRefused).To(BeZero(), "%+v, restart after %v: of %d", a, restart, c.harmlessAnswered)
						Expect(c.harmlessAnswered).To(BeNumerically(">", 1000))
					}
				}
			}
		},
		Entry("crashing request: plain, without a head", crashingRequest{path: "/r/bad", outcome: director.Lost}),
		Entry("crashing request: plain, beside harmless ones that differ by their query",
			crashingRequest{path: "/r/x", query: "item=bad", outcome: director.Lost, harmless: 200 * time.Millisecond}),
		Entry("crashing request: stream, without a head", crashingRequest{path: "/s/bad", outcome: director.Lost}),
		Entry("crashing request: stream, after the head", crashingRequest{path: "/s/bad", outcome: director.Broken}),
		Entry("crashing request: stream, after one event", crashingRequest{path: "/s/bad", outcome: director.Broken, events: 1}),
	)

	// Half of the targets crash at once again and again, and all VMs receive requests with
	// the same content. Guards against taking it for the cause.
	DescribeTable("is told from popular content on targets that crash for another reason",
		func(request crashingRequest) {
			for _, interval := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond, time.Second} {
				c := newCrashSimulation(request, 4, 2*time.Second)
				c.run(arrivals{interval: interval, toAll: 10 * time.Second, restarts: true}, time.Minute)
				Expect(c.crashes).To(BeNumerically(">", 80))
				Expect(c.refusedForCrashes).To(BeZero(), "interval %s: %d answered", interval, c.answered)
			}
		},
		Entry("plain", crashingRequest{path: "/r/popular", outcome: director.Lost, answerTime: 60 * time.Millisecond}),
		Entry("plain, slow", crashingRequest{path: "/r/popular", outcome: director.Lost, answerTime: 500 * time.Millisecond}),
		Entry("stream", crashingRequest{path: "/s/popular", outcome: director.Broken, answerTime: 300 * time.Millisecond}),
	)
})

// The VMs that observed the crashes of a request end before they have confirmed them.
// Guards against knowledge that ends with a process.
var _ = Describe("a request whose crashes were observed by VMs that end", func() {
	const (
		window   = time.Second
		downTime = 250 * time.Millisecond
		interval = 50 * time.Millisecond
		// maxStoreWrites bounds the writes that one such request causes within 10 s.
		maxStoreWrites = 8
	)
	// crashThree sends the request to one VM until it has crashed three targets, and runs
	// the simulation for a time after the third crash.
	crashThree := func(request crashingRequest, after time.Duration) *crashSimulation {
		c := newCrashSimulation(request, 3, time.Second)
		c.window = window
		c.run(arrivals{none: true}, 2*time.Second)
		for c.crashes < 3 {
			c.arrive(c.vms[0], false)
			c.run(arrivals{none: true}, interval)
		}
		c.run(arrivals{none: true}, c.thirdAt.Add(after).Sub(c.now))
		return c
	}

	DescribeTable("reaches at most three targets after the stability window when the VM is killed",
		func(request crashingRequest) {
			for after := 100 * time.Millisecond; after <= 1200*time.Millisecond; after += 50 * time.Millisecond {
				for _, down := range []time.Duration{downTime, time.Minute} {
					c := crashThree(request, after)
					c.vms[0].down = true
					c.run(arrivals{interval: interval, toAll: time.Hour}, min(down, 10*time.Second))
					if down == downTime {
						c.start(c.vms[0])
					}
					c.run(arrivals{interval: interval, toAll: time.Hour}, 10*time.Second)
					Expect(len(c.lateSends)).To(BeNumerically("<=", maxLateSends), "killed after %v for %v: sent after %v", after, down, c.lateSends)
				}
			}
		},
		Entry("plain, without a head", crashingRequest{path: "/r/bad", outcome: director.Lost}),
		Entry("stream, without a head", crashingRequest{path: "/s/bad", outcome: director.Lost}),
		Entry("stream, after one event", crashingRequest{path: "/s/bad", outcome: director.Broken, events: 1}),
	)

	// Pattern: the callers come back a second after the restart.
	DescribeTable("reaches at most three targets after the stability window when all VMs are killed",
		func(request crashingRequest) {
			for after := 100 * time.Millisecond; after <= 1200*time.Millisecond; after += 50 * time.Millisecond {
				for _, away := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second} {
					c := crashThree(request, after)
					for _, vm := range c.vms {
						vm.down = true
					}
					c.storeAway = away > 0
					a := arrivals{interval: interval, toAll: time.Hour}
					c.run(arrivals{none: true}, downTime)
					for _, vm := range c.vms {
						c.start(vm)
					}
					c.run(arrivals{none: true}, max(away-downTime, 0))
					if c.storeAway {
						c.storeAway, c.storeReturnedAt = false, c.now
					}
					c.run(arrivals{none: true}, startWindow)
					c.run(a, 8*time.Second)
					Expect(len(c.lateSends)).To(BeNumerically("<=", maxLateSends), "killed after %v, store away for %v: sent after %v", after, away, c.lateSends)
					Expect(c.writes).To(BeNumerically("<=", maxStoreWrites))
				}
			}
		},
		Entry("plain, without a head", crashingRequest{path: "/r/bad", outcome: director.Lost}),
		Entry("stream, without a head", crashingRequest{path: "/s/bad", outcome: director.Lost}),
		Entry("stream, after one event", crashingRequest{path: "/s/bad", outcome: director.Broken, events: 1}),
	)
})
