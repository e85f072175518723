package ingress_test

import (
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/platform/platformtest"
)

// maxArrivals returns the highest number of requests that reached a target within a
// window, from a time on.
func (s *site) maxArrivals(t *platformtest.Target, from time.Time, window time.Duration) int {
	var times []time.Time
	for _, a := range s.fleet.Arrivals() {
		if a.Target == t.ID && a.At.After(from) {
			times = append(times, a.At)
		}
	}
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Targets name the requests a second that they take, below what the callers send. Guards
// against a limit that is not read, and against requests that are held until their target
// may be used again.
var _ = Describe("a target that names a limit", func() {
	const (
		limit  = 8
		window = 4 * time.Second
		// allowed is one and a half times the limit over the window, and five.
		allowed  = limit*3/2*4 + 5
		interval = 12 * time.Millisecond
		// told is when the limit binds after it was first named.
		told = time.Second
	)
	It("gets no more than that, and the other callers are refused at once, until it names none", func() {
		s := startSite(60)
		targets := s.fleet.Targets("desk")
		for _, t := range targets {
			t.NameLimit("8")
		}
		var mu sync.Mutex
		served, refused, slowest := 0, 0, time.Duration(0)
		load := func(d time.Duration) {
			var running sync.WaitGroup
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
				running.Go(func() {
					sent := time.Now()
					status, _, _, header := s.callWith(http.MethodGet, "/r/x", "key", nil)
					mu.Lock()
					defer mu.Unlock()
					if status == http.StatusOK {
						served++
						return
					}
					Expect(status).To(Equal(http.StatusServiceUnavailable))
					Expect(header.Get("Retry-After")).NotTo(BeEmpty())
					refused, slowest = refused+1, max(slowest, time.Since(sent))
				})
			}
			running.Wait()
		}
		started := time.Now()
		load(told + window + time.Second)
		for _, t := range targets {
			Expect(s.maxArrivals(t, started.Add(told), window)).To(BeNumerically("<=", allowed), t.Zone)
		}
		Expect(refused).To(BeNumerically(">", 0))
		Expect(slowest).To(BeNumerically("<", 500*time.Millisecond))
		Expect(s.read("/metrics")).To(MatchRegexp(`(?m)^tamarack_targets_limited 4$`))
		Expect(float64(served)).To(BeNumerically(">", limit*window.Seconds()*float64(len(targets))/2), "the limit is used")
		for _, t := range targets {
			t.NameLimit("")
		}
		load(time.Second) // the next answers end the limit
		refused = 0
		load(time.Second)
		Expect(refused).To(BeZero())
	})
})
