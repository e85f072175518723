package report

import (
	"fmt"
	"slices"
	"strings"
)

// Table returns Markdown tables of several runs of several scenarios, with the
// minimum, median and maximum of each figure over the runs.
func Table(reports []*Report) string {
	var names []string
	runs := make(map[string][]*Report)
	for _, r := range reports {
		if len(runs[r.Scenario]) == 0 {
			names = append(names, r.Scenario)
		}
		runs[r.Scenario] = append(runs[r.Scenario], r)
	}
	var text strings.Builder
	text.WriteString("| scenario | runs | bound, tokens/s | offered over bound | throughput over bound | first token p95, ms | between tokens p95, ms | not run / failed / cut / gave up | violations |\n")
	text.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, name := range names {
		text.WriteString(scenarioRow(name, runs[name]))
	}
	text.WriteString("\n| scenario | failure | streams get tokens again, ms | stalled | lost | throughput in its band, ms | calls answered again, ms |\n")
	text.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, name := range names {
		for i := range runs[name][0].Recoveries {
			text.WriteString(recoveryRow(name, i, runs[name]))
		}
	}
	return text.String()
}

func scenarioRow(name string, runs []*Report) string {
	return fmt.Sprintf("| %s | %d | %.0f | %s | %s | %s | %s | %s / %s / %s / %s | %s |\n",
		name, len(runs), runs[0].BoundTokensPerS,
		minMedianMax(runs, "%.2f", func(r *Report) float64 { return r.OfferedTokensPerS / r.BoundTokensPerS }),
		minMedianMax(runs, "%.2f", func(r *Report) float64 { return r.ThroughputOverBound }),
		minMedianMax(runs, "%.0f", func(r *Report) float64 { return r.FirstTokenMs.P95 }),
		minMedianMax(runs, "%.0f", func(r *Report) float64 { return r.BetweenTokensMs.P95 }),
		minMedianMax(runs, "%.0f", func(r *Report) float64 { return float64(r.Requests.NotRun) }),
		minMedianMax(runs, "%.0f", func(r *Report) float64 { return float64(r.Requests.Failed) }),
		minMedianMax(runs, "%.0f", func(r *Report) float64 { return float64(r.Requests.Cut) }),
		minMedianMax(runs, "%.0f", func(r *Report) float64 { return float64(r.Requests.GaveUp) }),
		minMedianMax(runs, "%.0f", func(r *Report) float64 { return float64(len(r.Violations)) }))
}

func recoveryRow(name string, i int, runs []*Report) string {
	runs = slices.DeleteFunc(slices.Clone(runs), func(r *Report) bool { return i >= len(r.Recoveries) })
	throughput := minMedianMax(runs, "%.0f", func(r *Report) float64 { return r.Recoveries[i].ThroughputMs })
	if slices.ContainsFunc(runs, func(r *Report) bool { return !r.Recoveries[i].Recovered }) {
		throughput += " (not in every run)"
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %s | %s | %s |\n", name, runs[0].Recoveries[i].Failure,
		minMedianMax(runs, "%.0f", func(r *Report) float64 { return r.Recoveries[i].StreamsMs }),
		minMedianMax(runs, "%.0f", func(r *Report) float64 { return float64(r.Recoveries[i].Stalled) }),
		minMedianMax(runs, "%.0f", func(r *Report) float64 { return float64(r.Recoveries[i].Lost) }),
		throughput,
		minMedianMax(runs, "%.0f", func(r *Report) float64 { return r.Recoveries[i].CallsMs }))
}

// minMedianMax formats the minimum, median and maximum of a figure, or a single
// number if minimum and maximum are formatted alike.
func minMedianMax(runs []*Report, format string, figure func(*Report) float64) string {
	figures := make([]float64, 0, len(runs))
	for _, r := range runs {
		figures = append(figures, figure(r))
	}
	slices.Sort(figures)
	lowest := fmt.Sprintf(format, figures[0])
	highest := fmt.Sprintf(format, figures[len(figures)-1])
	if lowest == highest {
		return lowest
	}
	return lowest + "–" + fmt.Sprintf(format, figures[len(figures)/2]) + "–" + highest
}
