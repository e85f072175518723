package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tamarackreach/internal/load/audit"
)

const (
	// baseline is the time before a failure whose throughput is the normal one.
	baseline = 3 * time.Second
	// smoothing is the time over which throughput is averaged.
	smoothing = time.Second
	// band is the part of the normal throughput that counts as recovered.
	band = 0.8
	// leastStall is the shortest gap between tokens that counts as a stall.
	leastStall = 250 * time.Millisecond
	// stallFactor times the median gap between tokens is a stall, too.
	stallFactor = 3
)

// Recovery says how a run got over one failure.
type Recovery struct {
	Failure string `json:"failure"`
	AtMs    int64  `json:"at_ms"`
	// LastedMs is how long the failure itself lasted.
	LastedMs int64 `json:"lasted_ms"`
	// StreamsMs is the time from the failure until the last stalled stream got
	// tokens again; 0 when none stalled.
	StreamsMs float64 `json:"streams_ms"`
	// Stalled counts the streams that waited unusually long.
	Stalled int `json:"stalled"`
	// Lost counts the streams in progress that did not complete.
	Lost int `json:"lost"`
	// ThroughputMs is the time from the failure until throughput stayed within
	// its band; 0 when it never left it.
	ThroughputMs float64 `json:"throughput_ms"`
	// Recovered is false when throughput was still below its band when the next
	// failure came or the load ended.
	Recovered bool `json:"recovered"`
	// CallsMs is the time from the failure until the last call that was not
	// answered because of it; 0 when all were.
	CallsMs float64 `json:"calls_ms"`
	// CallsRefused counts these calls.
	CallsRefused int `json:"calls_refused"`
}

// recoveries looks at each failure until the next one at another time, or the
// end of the load.
func recoveries(run Run, bins []int, between *hdrhistogram.Histogram) []Recovery {
	stall := max(leastStall, stallFactor*time.Duration(between.ValueAtQuantile(50))*time.Microsecond)
	found := make([]Recovery, 0, len(run.Failures))
	for i, failure := range run.Failures {
		until := run.Length
		for _, later := range run.Failures[i+1:] {
			if later.At > failure.At+binWidth {
				until = later.At
				break
			}
		}
		r := Recovery{Failure: failure.Name, AtMs: failure.At.Milliseconds(), LastedMs: (failure.Ended - failure.At).Milliseconds()}
		r.streams(run.Answers, failure.At, until, stall)
		r.throughput(bins, failure.At, until)
		r.calls(run.Calls, failure.At, until)
		found = append(found, r)
	}
	return found
}

// streams looks at the requests in progress at the failure or sent after it.
func (r *Recovery) streams(answers []audit.Answer, at, until, stall time.Duration) {
	for i := range answers {
		a := &answers[i]
		if a.Sent >= until || a.Ended <= at {
			continue
		}
		if a.Sent < at && a.Outcome != audit.Complete && a.Ended < until {
			r.Lost++
		}
		if end, stalled := lastStall(a, at, until, stall); stalled {
			r.Stalled++
			r.StreamsMs = max(r.StreamsMs, milliseconds(end-at))
		}
	}
}

// lastStall returns the end of the last stall of a stream that ends after the
// failure and was one already at the horizon; a gap that the next failure made
// long is that one's.
func lastStall(a *audit.Answer, at, until, stall time.Duration) (end time.Duration, stalled bool) {
	previous := a.Sent
	for i := range a.Tokens {
		token := &a.Tokens[i]
		started := i > 0
		if started && token.At > at && min(token.At, until)-previous > stall {
			end = token.At
			stalled = true
		}
		previous = token.At
	}
	return end, stalled
}

// throughput finds the last instant at which the smoothed throughput was below
// its band.
func (r *Recovery) throughput(bins []int, at, until time.Duration) {
	normal := mean(bins, at-baseline, at)
	r.Recovered = true
	for end := at + binWidth; end <= until; end += binWidth {
		if mean(bins, max(at, end-smoothing), end) >= band*normal {
			r.Recovered = true
			continue
		}
		r.Recovered = false
		if end >= at+smoothing/2 {
			r.ThroughputMs = milliseconds(end - at)
		}
	}
}

// mean returns the mean tokens in a bin from one time to another.
func mean(bins []int, from, to time.Duration) float64 {
	first := max(0, int(from/binWidth))
	last := min(len(bins), int(to/binWidth))
	if last <= first {
		return 0
	}
	sum := 0
	for _, tokens := range bins[first:last] {
		sum += tokens
	}
	return float64(sum) / float64(last-first)
}

func (r *Recovery) calls(calls []audit.Call, at, until time.Duration) {
	for _, call := range calls {
		if call.Ended < at || call.Sent >= until || call.Outcome == audit.Complete {
			continue
		}
		r.CallsRefused++
		r.CallsMs = max(r.CallsMs, milliseconds(call.Ended-at))
	}
}
