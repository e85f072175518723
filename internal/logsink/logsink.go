// Package logsink writes log lines without ever blocking those who log: lines
// beyond a rate, or beyond what a slow reader takes, are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond is several times what a VM writes at twice its usual load: five
	// lines a request at 60 requests a second.
	linesPerSecond = 1000
	// burstLines is what a change of many targets at once writes.
	burstLines = 3000
	// queueLines bounds the memory of lines that a slow reader has not taken.
	queueLines = 4096
	// reportInterval is how often dropped lines are reported.
	reportInterval = time.Second
)

// Sink is a writer of whole lines.
type Sink struct {
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Uint64
	total   atomic.Uint64
}

// New starts a sink over a writer.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, queueLines), limit: rate.NewLimiter(linesPerSecond, burstLines)}
	go s.drain(out)
	return s
}

// Write implements io.Writer. It takes one line and never blocks.
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

// Dropped is the number of lines dropped since the start, as far as reported.
func (s *Sink) Dropped() uint64 { return s.total.Load() + s.dropped.Load() }

// Flush waits until the lines that are queued are written, for at most a time.
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
			// A log that cannot be written has nowhere to be reported.
			_, _ = out.Write(line)
		case <-ticker.C:
			if n := s.dropped.Swap(0); n > 0 {
				s.total.Add(n)
				_, _ = fmt.Fprintf(out, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n)
			}
		}
	}
}
