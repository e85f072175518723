package upstream_test

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/upstream"
)

// A target sends bytes that are no response, without end. Guards against a head that is
// read until the memory of the VM is exhausted: only the time was bounded.
var _ = Describe("bytes without end from a target", func() {
	const (
		deadline = 2 * time.Second
		// maxReceived is several times the largest head that is accepted.
		maxReceived = 1 << 20
	)
	DescribeTable("end the exchange when they exceed the largest head",
		func(first, repeated string) {
			var sent atomic.Int64
			address := listen(func(conn *net.TCPConn) {
				block := strings.Repeat(repeated, 1+(16<<10)/len(repeated))
				_, err := io.WriteString(conn, first)
				for err == nil {
					var n int
					n, err = io.WriteString(conn, block)
					sent.Add(int64(n))
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			pool := upstream.NewPool()
			x, err := pool.Do(ctx, callTo(address, "endless"))
			x.Done(false)
			runtime.ReadMemStats(&after)
			Expect(err).To(MatchError(upstream.ErrHeadTooLong))
			Expect(ctx.Err()).NotTo(HaveOccurred(), "it ended before the deadline")
			Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 8*maxReceived))
			// What the target sent beyond is in the buffers of the sockets.
			Expect(sent.Load()).To(BeNumerically("<", 16*maxReceived))
		},
		Entry("one field value", "HTTP/1.1 200 OK\r\nX: ", "a"),
		Entry("no line end at all", "", "a"),
		Entry("fields", "HTTP/1.1 200 OK\r\n", "X: abcdefgh\r\n"),
		Entry("informational responses with long fields", "", "HTTP/1.1 103 Early Hints\r\nX: "+strings.Repeat("a", 100<<10)+"\r\n\r\n"),
	)

	DescribeTable("in the framing of a body end it",
		func(first string) {
			const head = "HTTP/1.1 200 OK\r\nTamarackreach-Attempt-Id: endless\r\nTransfer-Encoding: chunked\r\n\r\n"
			address := listen(func(conn *net.TCPConn) {
				block := strings.Repeat("a", 16<<10)
				_, err := io.WriteString(conn, head+first)
				for err == nil {
					_, err = io.WriteString(conn, block)
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			defer cancel()
			x, err := upstream.NewPool().Do(ctx, callTo(address, "endless"))
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadAll(x.Response.Body)
			x.Done(false)
			Expect(err).To(HaveOccurred())
			Expect(ctx.Err()).NotTo(HaveOccurred(), "it ended before the deadline")
		},
		Entry("extension of a chunk", "1;x="),
		Entry("length of a chunk", ""),
		Entry("trailer", "0\r\nX: "),
	)
})
