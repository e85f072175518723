package frontdaemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"tamarackreach/internal/director"
)

var (
	lostAnswersTotal = prometheus.NewDesc("tamarack_lost_answers_total",
		"Answers lost to causes of crashes, by what became of them.", []string{"cause", "result"}, nil)
	crashesClearedTotal = prometheus.NewDesc("tamarack_crashes_cleared_total",
		"Crashes attributed to causes that were answered later.", []string{"cause"}, nil)
)

// attributionCollector collects at scrape time how crashes of targets are attributed to requests.
type attributionCollector struct {
	read func() (parts, contents director.Attribution)
}

// Describe implements prometheus.Collector.
func (c *attributionCollector) Describe(out chan<- *prometheus.Desc) {
	out <- lostAnswersTotal
	out <- crashesClearedTotal
}

// Collect implements prometheus.Collector.
func (c *attributionCollector) Collect(out chan<- prometheus.Metric) {
	parts, contents := c.read()
	for _, kind := range []struct {
		cause string
		director.Attribution
	}{{"part", parts}, {"content", contents}} {
		for result, count := range map[string]uint64{"crashed": kind.Crashed, "answered": kind.Answered, "expired": kind.Expired} {
			out <- prometheus.MustNewConstMetric(lostAnswersTotal, prometheus.CounterValue, float64(count), kind.cause, result)
		}
		out <- prometheus.MustNewConstMetric(crashesClearedTotal, prometheus.CounterValue, float64(kind.Cleared), kind.cause)
	}
}
