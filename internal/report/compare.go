package report

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// Compare returns a text table of the figures of two reports, with the ratios of
// the second to the first.
func Compare(a, b *Report) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name string, x, y float64) {
		ratio := "-"
		if x != 0 {
			ratio = fmt.Sprintf("%.2f", y/x)
		}
		_, _ = fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%s\t\n", name, x, y, ratio)
	}
	_, _ = fmt.Fprintf(w, "\t%s seed %d\t%s seed %d\tratio\t\n", a.Scenario, a.Seed, b.Scenario, b.Seed)
	row("throughput over bound", a.ThroughputOverBound, b.ThroughputOverBound)
	row("tokens a second", a.TokensPerS, b.TokensPerS)
	row("complete requests", float64(a.Requests.Complete), float64(b.Requests.Complete))
	row("refused as not run", float64(a.Requests.NotRun), float64(b.Requests.NotRun))
	row("refused as failed", float64(a.Requests.Failed), float64(b.Requests.Failed))
	row("first token p95, ms", a.FirstTokenMs.P95, b.FirstTokenMs.P95)
	row("between tokens p95, ms", a.BetweenTokensMs.P95, b.BetweenTokensMs.P95)
	row("config in force, ms", a.ConfigInForceMs, b.ConfigInForceMs)
	row("violations", float64(len(a.Violations)), float64(len(b.Violations)))
	for i, recovery := range a.Recoveries {
		if i < len(b.Recoveries) && b.Recoveries[i].Failure == recovery.Failure {
			row(recovery.Failure+": streams, ms", recovery.StreamsMs, b.Recoveries[i].StreamsMs)
			row(recovery.Failure+": throughput, ms", recovery.ThroughputMs, b.Recoveries[i].ThroughputMs)
		}
	}
	_ = w.Flush()
	return text.String()
}
