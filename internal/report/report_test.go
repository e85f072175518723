package report_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/load/audit"
	"tamarackreach/internal/report"
)

func TestReport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "report")
}

// steadyRun returns a run of ten streams with a token every 100 ms for 10 s,
// half of which receive no token for 1.5 s from 5 s on.
func steadyRun() report.Run {
	run := report.Run{Scenario: "steady", Seed: 1, Length: 10 * time.Second, BoundTokensPerS: 200}
	for stream := range 10 {
		a := audit.Answer{MaxTokens: 100, Outcome: audit.Complete, Ended: 10 * time.Second}
		for at := 50 * time.Millisecond; at < run.Length; at += 100 * time.Millisecond {
			if stream%2 == 0 && at > 5*time.Second && at < 6500*time.Millisecond {
				continue
			}
			a.Tokens = append(a.Tokens, audit.Token{At: at})
		}
		run.Answers = append(run.Answers, a)
	}
	run.Failures = []report.Failure{
		{Name: "race", At: 2 * time.Second, Ended: 2 * time.Second},
		{Name: "crash", At: 5 * time.Second, Ended: 5 * time.Second},
	}
	run.Calls = []audit.Call{{Sent: 5100 * time.Millisecond, Ended: 5400 * time.Millisecond, Outcome: audit.RefusedNotRun, Code: "platform_unavailable"}}
	return run
}

var _ = Describe("a report", func() {
	It("gives throughput over its bound and the recovery from each failure", func() {
		r := report.Build(steadyRun())
		Expect(r.Tokens).To(Equal(10*100 - 5*15))
		Expect(r.ThroughputOverBound).To(BeNumerically("~", (80*10-5*15)/8.0/200, 1e-9))
		Expect(r.FirstTokenMs.P95).To(BeNumerically("~", 50, 0.1))
		Expect(r.BetweenTokensMs.P50).To(BeNumerically("~", 100, 0.1))
		Expect(r.Recoveries).To(HaveLen(2))
		Expect(r.Recoveries[0].Stalled).To(BeZero(), "the later failure caused the stall")
		recovery := r.Recoveries[1]
		Expect(recovery.Stalled).To(Equal(5))
		Expect(recovery.StreamsMs).To(BeNumerically("~", 1550, 1e-6))
		Expect(recovery.ThroughputMs).To(BeNumerically("~", 2000, 100))
		Expect(recovery.Recovered).To(BeTrue())
		Expect(recovery.CallsMs).To(BeNumerically("~", 400, 1e-6))
		Expect(r.Refusals).To(Equal(map[string]int{"platform_unavailable": 1}))
	})

	It("is written, read, plotted and compared", func() {
		r := report.Build(steadyRun())
		dir := GinkgoT().TempDir()
		Expect(r.Write(filepath.Join(dir, "r.json"))).To(Succeed())
		read, err := report.Read(filepath.Join(dir, "r.json"))
		Expect(err).NotTo(HaveOccurred())
		Expect(*read).To(Equal(r))
		Expect(r.Plot(dir)).To(Succeed())
		for _, name := range []string{"throughput", "latency", "recovery"} {
			svg, err := os.ReadFile(filepath.Join(dir, "steady-"+name+".svg"))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(svg)).To(ContainSubstring("<svg"))
		}
		Expect(report.Compare(&r, read)).To(ContainSubstring("1.00"))
	})
})

var _ = Describe("a table of runs", func() {
	It("gives the minimum, median and maximum of each figure", func() {
		var reports []*report.Report
		for _, bound := range []float64{400, 100, 200} {
			run := steadyRun()
			run.BoundTokensPerS = bound
			r := report.Build(run)
			reports = append(reports, &r)
		}
		table := report.Table(reports)
		Expect(table).To(ContainSubstring("| steady | 3 | 400 | 0.25–0.50–1.00 | 0.23–0.45–0.91 |"))
		Expect(table).To(ContainSubstring("| steady | crash | 1550 | 5 | 0 |"))
	})
})
