package logsink_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/logsink"
)

func TestLogsink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logsink")
}

// blockedWriter blocks until released, like a pipe whose reader has stopped.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *blockedWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

var _ = Describe("Sink", func() {
	It("never blocks the writer and reports the number of dropped lines", func() {
		out := &blockedWriter{release: make(chan struct{})}
		sink := logsink.New(out)
		const lines = 200000
		started := time.Now()
		for range lines {
			_, err := sink.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
		Expect(sink.Dropped()).To(BeNumerically(">", lines/2))
		close(out.release)
		Eventually(out.String, 3*time.Second).Should(ContainSubstring("log lines dropped"))
		Expect(strings.Count(out.String(), "line\n")).To(BeNumerically("<", lines/2))
	})

	It("writes all lines in order under normal load", func() {
		out := &blockedWriter{release: make(chan struct{})}
		close(out.release)
		sink := logsink.New(out)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, err := sink.Write([]byte(line))
			Expect(err).NotTo(HaveOccurred())
		}
		sink.Flush(time.Second)
		Eventually(out.String).Should(Equal("a\nb\nc\n"))
	})
})
