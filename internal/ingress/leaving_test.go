package ingress_test

import (
	"bufio"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a target that states in a response that it leaves", func() {
	// Guards against requests to a target that is about to end, while its registration, or
	// a store that is away, still says that it is ready.
	DescribeTable("gets no new request", func(respond func(http.ResponseWriter)) {
		sends := 0
		url := startIngress(func(n int, w http.ResponseWriter, _ *http.Request) {
			sends = n
			w.Header().Set("Server-Leaving", "1")
			respond(w)
		})
		_, _, _ = fetch(url + "/p/x")
		Expect(sends).To(Equal(1))
		for range 3 {
			resp, _, err := fetch(url + "/p/x")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
			Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		}
		Expect(sends).To(Equal(1))
	},
		Entry("a success", func(w http.ResponseWriter) { _, _ = io.WriteString(w, "ok") }),
		Entry("a failure", func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }),
		Entry("a rejection", func(w http.ResponseWriter) {
			w.Header().Set("Tamarackreach-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}),
	)

	It("finishes its streams, and gets no new one meanwhile", func() {
		sends := 0
		url := startIngress(func(n int, w http.ResponseWriter, _ *http.Request) {
			sends = n
			w.Header().Set("Server-Leaving", "1")
			writeEvents(w, 1, 3)
			time.Sleep(200 * time.Millisecond)
			writeEvents(w, 4, 5)
		})
		done := make(chan string)
		go func() {
			defer GinkgoRecover()
			_, body, err := fetch(url + "/s/x")
			Expect(err).NotTo(HaveOccurred())
			done <- body
		}()
		time.Sleep(100 * time.Millisecond)
		conn := dialIngress(url)
		writeRequest(conn, "/p/x", 1000)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Eventually(done).Should(Receive(HaveSuffix("id: 5\ndata: x\n\n")))
		Expect(sends).To(Equal(1))
	})
})
