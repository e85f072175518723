package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tamarackreach/internal/load/audit"
)

const (
	// baselineWindow is the window before a failure whose mean throughput is the
	// baseline.
	baselineWindow = 3 * time.Second
	// smoothingWindow is the window over which throughput is averaged.
	smoothingWindow = time.Second
	// recoveredFraction is the fraction of the baseline throughput that counts as
	// recovered.
	recoveredFraction = 0.8
	// minStall is the shortest gap between tokens that counts as a stall.
	minStall = 250 * time.Millisecond
	// stallFactor times the median gap between tokens is the shortest stall when
	// that is longer than minStall.
	stallFactor = 3
)

// Recovery describes how a run recovered from one failure.
type Recovery struct {
	Failure string `json:"failure"`
	AtMs    int64  `json:"at_ms"`
	// LastedMs is how long the failure itself lasted.
	LastedMs int64 `json:"lasted_ms"`
	// StreamsMs is the time from the failure until the last stalled stream
	// received tokens again; 0 when none stalled.
	StreamsMs float64 `json:"streams_ms"`
	// Stalled is the number of streams with a stall.
	Stalled int `json:"stalled"`
	// Lost is the number of streams in flight at the failure that ended before
	// the next one without completing.
	Lost int `json:"lost"`
	// ThroughputMs is the time from the failure until throughput stayed at or
	// above recoveredFraction of the baseline; 0 when it never fell below.
	ThroughputMs float64 `json:"throughput_ms"`
	// Recovered is false when throughput had not recovered by the next failure
	// or the end of the load.
	Recovered bool `json:"recovered"`
	// CallsMs is the time from the failure until the end of the last call that
	// did not complete; 0 when all completed.
	CallsMs float64 `json:"calls_ms"`
	// CallsRefused is the number of these calls.
	CallsRefused int `json:"calls_refused"`
}

// recoveries returns the recovery from each failure, measured until the next
// failure that is more than one bin later, or until the end of the load.
func recoveries(run Run, bins []int, between *hdrhistogram.Histogram) []Recovery {
	stall := max(minStall, stallFactor*time.Duration(between.ValueAtQuantile(50))*time.Microsecond)
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

// streams measures the requests that were in flight at the failure or sent
// between it and until.
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

// lastStall returns the end of the last stall of a stream that ends after at, the
// time of a failure. Only the part of a gap before until, the time of the next
// failure, counts: the next failure causes the rest. The wait for the first token
// is not a stall.
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

// throughput sets ThroughputMs to the last time at which the smoothed throughput
// was below recoveredFraction of the baseline, and Recovered. A window after the
// failure that is shorter than half of smoothingWindow does not set ThroughputMs.
func (r *Recovery) throughput(bins []int, at, until time.Duration) {
	baseline := mean(bins, at-baselineWindow, at)
	r.Recovered = true
	for end := at + binWidth; end <= until; end += binWidth {
		if mean(bins, max(at, end-smoothingWindow), end) >= recoveredFraction*baseline {
			r.Recovered = true
			continue
		}
		r.Recovered = false
		if end >= at+smoothingWindow/2 {
			r.ThroughputMs = milliseconds(end - at)
		}
	}
}

// mean returns the mean number of tokens per bin between two times.
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

// calls measures the calls in flight or sent between at and until that did not
// complete.
func (r *Recovery) calls(calls []audit.Call, at, until time.Duration) {
	for _, call := range calls {
		if call.Ended < at || call.Sent >= until || call.Outcome == audit.Complete {
			continue
		}
		r.CallsRefused++
		r.CallsMs = max(r.CallsMs, milliseconds(call.Ended-at))
	}
}
