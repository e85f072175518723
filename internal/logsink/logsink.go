// Package logsink writes log lines without blocking the logging goroutines. Lines
// above a rate limit, or for which a slow reader leaves no room in the queue, are
// dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond is several times the rate of a VM at twice its usual load: five
	// lines per request at 60 requests per second.
	linesPerSecond = 1000
	// burstLines allows for the lines logged when many targets change at once.
	burstLines = 3000
	// queueLines bounds the queue of lines that a slow reader has not read, and
	// thereby its memory.
	queueLines = 4096
	// reportInterval is the interval at which the number of dropped lines is logged.
	reportInterval = time.Second
)

// Sink is a non-blocking writer; each Write is one line.
type Sink struct {
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Uint64
	total   atomic.Uint64
}

// New starts a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, queueLines), limit: rate.NewLimiter(linesPerSecond, burstLines)}
	go s.drain(out)
	return s
}

// Write queues or drops one line. It never blocks and never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.limit.Allow() {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (s *Sink) Dropped() uint64 { return s.total.Load() + s.dropped.Load() }

// Flush waits until the queue is empty, for at most the given time. The last line
// may still be being written when it returns.
func (s *Sink) Flush(atMost time.Duration) {
	for end := time.Now().Add(atMost); len(s.lines) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

func (s *Sink) drain(out io.Writer) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-s.lines:
			// A failed write of a log line cannot be logged.
			_, _ = out.Write(line)
		case <-ticker.C:
			if n := s.dropped.Swap(0); n > 0 {
				s.total.Add(n)
				_, _ = fmt.Fprintf(out, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n)
			}
		}
	}
}
