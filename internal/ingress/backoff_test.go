package ingress_test

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// backoffGrace is the time within which requests that are under way may still reach a target
// that requested a backoff, and maxDuringBackoff bounds those that reach it later.
const (
	backoffGrace     = 500 * time.Millisecond
	maxDuringBackoff = 2
)

var _ = Describe("a target that requests a backoff", func() {
	// Guards against a target that requests a backoff and gets more requests: a rejection was a
	// short suspicion, whatever the target asked for, and an only target was always used.
	DescribeTable("gets no more requests from the VM until it ends", func(path string) {
		var mu sync.Mutex
		var arrivals []time.Time
		url := startIngress(func(_ int, w http.ResponseWriter, _ *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if len(arrivals) == 0 {
				w.Header().Set("Retry-After", "2")
				w.Header().Set("Tamarackreach-Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			arrivals = append(arrivals, time.Now())
		})
		var refusals []time.Duration
		for started := time.Now(); time.Since(started) < 1900*time.Millisecond; time.Sleep(50 * time.Millisecond) {
			sentAt := time.Now()
			resp, _, err := fetch(url + path)
			Expect(err).NotTo(HaveOccurred())
			if resp.StatusCode != http.StatusServiceUnavailable {
				continue
			}
			seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			refusals = append(refusals, time.Duration(seconds*float64(time.Second)))
			Expect(time.Since(sentAt)).To(BeNumerically("<", 300*time.Millisecond), "refused at once")
		}
		late := 0
		for _, at := range arrivals {
			if since := at.Sub(arrivals[0]); since > backoffGrace && since < 2*time.Second {
				late++
			}
		}
		Expect(late).To(BeNumerically("<=", maxDuringBackoff))
		Expect(refusals).NotTo(BeEmpty())
		Expect(refusals[0]).To(BeNumerically(">", 500*time.Millisecond), "the backoff says when to come back")
		Eventually(func() int { resp, _, _ := fetch(url + path); return resp.StatusCode }, 2*time.Second).Should(Equal(http.StatusOK))
	},
		Entry("idempotent", "/r/x"), Entry("not idempotent", "/p/x"), Entry("stream", "/s/x"),
	)
})
