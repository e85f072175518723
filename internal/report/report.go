// Package report summarises what callers observed of a run: throughput against
// its bound, latencies, recovery times and violated promises. Reports are JSON
// files that can be plotted and compared.
package report

import (
	"encoding/json"
	"os"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"tamarackreach/internal/load/audit"
)

const (
	// warmUp is excluded from the throughput because streams are still being
	// opened.
	warmUp = 2 * time.Second
	// binWidth is the width of a throughput bin.
	binWidth = 100 * time.Millisecond
	// Range of the latency histograms in microseconds, and their significant
	// digits.
	lowestUs, highestUs, digits = 1, 60_000_000, 3
	publicFileMode              = 0o644
)

// Run holds the observations that a report is built from.
type Run struct {
	Scenario string
	Seed     uint64
	Length   time.Duration
	// BoundTokensPerS is the maximum throughput of the deployment's engines.
	BoundTokensPerS float64
	Answers         []audit.Answer
	Calls           []audit.Call
	// Changes are the times that settings changes took to come into force.
	Changes    []time.Duration
	Violations []audit.Violation
	Failures   []Failure
	Processes  []Process
}

// Process is the resource usage of the process of an entry VM during the load.
type Process struct {
	Name string `json:"name"`
	// CPUPercent is the CPU usage in percent of one core.
	CPUPercent     float64 `json:"cpu_percent"`
	RSSMB          float64 `json:"rss_mb"`
	ReadBytesPerS  float64 `json:"read_bytes_per_s"`
	WriteBytesPerS float64 `json:"write_bytes_per_s"`
}

// Failure is a failure that was injected.
type Failure struct {
	Name  string
	At    time.Duration
	Ended time.Duration
}

// Report is the summary of a run.
type Report struct {
	Scenario          string  `json:"scenario"`
	Seed              uint64  `json:"seed"`
	LengthMs          int64   `json:"length_ms"`
	BoundTokensPerS   float64 `json:"bound_tokens_per_s"`
	OfferedTokensPerS float64 `json:"offered_tokens_per_s"`
	TokensPerS        float64 `json:"tokens_per_s"`
	// ThroughputOverBound is TokensPerS divided by BoundTokensPerS.
	ThroughputOverBound float64           `json:"throughput_over_bound"`
	Tokens              int               `json:"tokens"`
	Requests            Outcomes          `json:"requests"`
	Calls               Outcomes          `json:"calls"`
	Refusals            map[string]int    `json:"refusals"`
	ConfigInForceMs     float64           `json:"config_in_force_ms"`
	FirstTokenMs        Percentiles       `json:"first_token_ms"`
	BetweenTokensMs     Percentiles       `json:"between_tokens_ms"`
	Recoveries          []Recovery        `json:"recoveries"`
	Violations          []audit.Violation `json:"violations"`
	Processes           []Process         `json:"processes"`
	// ThroughputBins are the numbers of tokens in each tenth of a second.
	ThroughputBins []int `json:"throughput_bins"`
}

// Outcomes count how requests or calls ended.
type Outcomes struct {
	Complete int `json:"complete"`
	NotRun   int `json:"not_run"`
	Failed   int `json:"failed"`
	InDoubt  int `json:"in_doubt"`
	Cut      int `json:"cut"`
	// GaveUp counts requests whose caller's own timeout expired.
	GaveUp int `json:"gave_up"`
}

func (o *Outcomes) add(outcome audit.Outcome) {
	switch outcome {
	case audit.Complete:
		o.Complete++
	case audit.RefusedNotRun:
		o.NotRun++
	case audit.RefusedFailed:
		o.Failed++
	case audit.RefusedInDoubt:
		o.InDoubt++
	case audit.Cut:
		o.Cut++
	case audit.GaveUp:
		o.GaveUp++
	}
}

// Percentiles are latency percentiles in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Build returns the report of a run.
func Build(run Run) Report {
	r := Report{
		Scenario: run.Scenario, Seed: run.Seed, LengthMs: run.Length.Milliseconds(),
		BoundTokensPerS: run.BoundTokensPerS, Violations: run.Violations, Processes: run.Processes,
		Refusals: make(map[string]int), ThroughputBins: make([]int, run.Length/binWidth),
	}
	first, between := newHistogram(), newHistogram()
	offered := 0
	for i := range run.Answers {
		a := &run.Answers[i]
		r.Requests.add(a.Outcome)
		r.addRefusal(a.Code)
		offered += int(a.MaxTokens)
		r.addTokens(a, first, between)
	}
	for _, call := range run.Calls {
		r.Calls.add(call.Outcome)
		r.addRefusal(call.Code)
	}
	if len(run.Changes) > 0 {
		r.ConfigInForceMs = milliseconds(slices.Max(run.Changes))
	}
	r.FirstTokenMs = percentiles(first)
	r.BetweenTokensMs = percentiles(between)
	if run.Length > 0 {
		r.OfferedTokensPerS = float64(offered) / run.Length.Seconds()
	}
	r.computeThroughput(run.Length)
	r.Recoveries = recoveries(run, r.ThroughputBins, between)
	return r
}

func (r *Report) addRefusal(code string) {
	if code != "" {
		r.Refusals[code]++
	}
}

func (r *Report) addTokens(a *audit.Answer, first, between *hdrhistogram.Histogram) {
	r.Tokens += len(a.Tokens)
	previous := a.Sent
	for i, token := range a.Tokens {
		histogram := between
		if i == 0 {
			histogram = first
		}
		_ = histogram.RecordValue(min(max((token.At-previous).Microseconds(), lowestUs), highestUs))
		previous = token.At
		if bin := int(token.At / binWidth); bin < len(r.ThroughputBins) {
			r.ThroughputBins[bin]++
		}
	}
}

// computeThroughput sets the throughput between the warm-up and the end of the
// load.
func (r *Report) computeThroughput(length time.Duration) {
	if length <= warmUp {
		return
	}
	counted := 0
	for _, tokens := range r.ThroughputBins[warmUp/binWidth:] {
		counted += tokens
	}
	r.TokensPerS = float64(counted) / (length - warmUp).Seconds()
	if r.BoundTokensPerS > 0 {
		r.ThroughputOverBound = r.TokensPerS / r.BoundTokensPerS
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestUs, highestUs, digits)
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 {
		return milliseconds(time.Duration(h.ValueAtQuantile(q)) * time.Microsecond)
	}
	return Percentiles{P50: at(50), P90: at(90), P95: at(95), P99: at(99), Max: at(100)}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Write writes a report as JSON.
func (r *Report) Write(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), publicFileMode), "write report")
}

// Read reads a report written by Write.
func Read(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read report")
	}
	r := &Report{}
	return r, errors.Wrapf(json.Unmarshal(data, r), "decode report %s", path)
}
