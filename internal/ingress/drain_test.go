package ingress_test

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/platform/platformtest"
)

// Guards against requests in flight at the end of a drain whose connections close without an
// answer: their callers learn nothing, and wait for a time-out behind some proxies.
var _ = Describe("a drain that expires", func() {
	It("answers the requests in flight as such that may have run", func() {
		s := startSite(11)
		config := platformtest.Config(2, "key")
		for _, route := range config["routes"].([]map[string]any) {
			route["timeout-ms"] = 60000
		}
		Expect(s.store.Put("op", "config", config)).To(Succeed())
		time.Sleep(platformtest.ConfigBound)
		s.fleet.MaxServiceTime = 1000 * time.Hour // no answer before the process ends
		var wait sync.WaitGroup
		statuses := make([]int, 3)
		ids := make([]string, 3)
		for i, path := range []string{"/p/x", "/r/x", "/s/x"} {
			wait.Go(func() {
				defer GinkgoRecover()
				statuses[i], _, ids[i] = s.call(http.MethodPost, path)
			})
		}
		Eventually(s.fleet.InFlight).Should(Equal(3))
		started := time.Now()
		s.signals <- syscall.SIGTERM
		var err error
		Eventually(s.done, 4*time.Second).Should(Receive(&err), "before SIGKILL")
		s.done <- err // for the end of the site
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(started)).To(BeNumerically(">", 3500*time.Millisecond))
		answered := make(chan struct{})
		go func() { wait.Wait(); close(answered) }()
		Eventually(answered, 200*time.Millisecond).Should(BeClosed(), "before the process exits")
		Expect(statuses).To(HaveEach(http.StatusGatewayTimeout))
		for _, id := range ids {
			Expect(s.fleet.Runs(id)).To(Equal(1), "it is not sent again")
		}
	})
})
