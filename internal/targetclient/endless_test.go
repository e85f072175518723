package targetclient

import (
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/rpc"
)

// peakMemory samples the memory of the heap until the function that it returns is called, which
// returns the largest growth in bytes.
func peakMemory() func() int64 {
	runtime.GC()
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	stop, peak := make(chan struct{}), make(chan int64)
	go func() {
		most := int64(0)
		for ticker := time.NewTicker(5 * time.Millisecond); ; {
			runtime.ReadMemStats(&now)
			most = max(most, int64(now.HeapAlloc)-int64(before.HeapAlloc))
			select {
			case <-ticker.C:
			case <-stop:
				ticker.Stop()
				peak <- most
				return
			}
		}
	}()
	return func() int64 { close(stop); return <-peak }
}

// Guards against a target that sends without end, in a response or in one message of a stream, of
// which everything is kept in memory until the deadline.
var _ = Describe("a target that sends without end", func() {
	const (
		// sentAtMost is where the target stops by itself, and heldAtMost what the client may hold,
		// the memory that its growing buffers leave behind included.
		sentAtMost, heldAtMost = 512 << 20, 96 << 20
	)
	endless := func(contentType, start string) string {
		server := httptest.NewUnstartedServer(nil)
		server.Config = rpc.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", contentType)
			block := strings.Repeat("x", 256<<10)
			_, err := w.Write([]byte(start))
			for sent := 0; err == nil && sent < sentAtMost; sent += len(block) {
				_, err = w.Write([]byte(block))
			}
		}))
		server.Start()
		DeferCleanup(server.Close)
		return server.Listener.Addr().String()
	}
	start := time.Now()
	now := func() model.Instant { return model.Instant(time.Since(start)) }

	DescribeTable("is not read to the end of a call", func(atMostOnce bool) {
		client := New(func(event.Event) {}, now)
		address, peak := endless("application/proto", "\x0a"), peakMemory()
		cut := client.call(event.SendCall{Request: "r", Address: address, Method: "m", Deadline: now().Add(20 * time.Second), AtMostOnce: atMostOnce})
		Expect(cut).To(BeAssignableToTypeOf(event.CallCut{}))
		Expect(cut).To(HaveField("MaybeSent", true))
		Expect(peak()).To(BeNumerically("<", heldAtMost))
	},
		Entry("that may be repeated", false),
		Entry("that may not be repeated", true),
	)

	It("is not read to the end of a token", func() {
		broken := make(chan event.Event, 4)
		client := New(func(e event.Event) {
			if _, ok := e.(event.StreamBroken); ok {
				broken <- e
			}
		}, now)
		address, peak := endless("application/connect+proto", "\x00\x40\x00\x00\x00"), peakMemory() // one message of 1 GiB
		_, collect := client.track(streamKey{request: "r", attempt: 1})
		go client.collect(collect, streamKey{request: "r", attempt: 1}, model.Hop{Target: "t", Address: address})
		Eventually(broken, 20*time.Second).Should(Receive())
		Expect(peak()).To(BeNumerically("<", heldAtMost))
	})
})
