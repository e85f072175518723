package frontdaemon

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"tamarackreach/internal/priorityadmission"
)

var (
	admissionTotal = prometheus.NewDesc("tamarack_admission_total",
		"Requests that were admitted, or refused because of load, at services whose requests differ in priority.", []string{"service", "priority", "result"}, nil)
	admissionHeadroom = prometheus.NewDesc("tamarack_admission_headroom_requests",
		"Requests for which capacity is reserved against a priority.", []string{"service", "priority"}, nil)
	admissionWorkspacesOver = prometheus.NewDesc("tamarack_admission_workspaces_over_share",
		"Workspaces that are admitted more than their share of a priority.", []string{"service", "priority"}, nil)
)

// admissionCollector collects the figures of admission control at scrape time.
type admissionCollector struct {
	read func() []priorityadmission.Figures
}

// Describe implements prometheus.Collector.
func (c *admissionCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{admissionTotal, admissionHeadroom, admissionWorkspacesOver} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *admissionCollector) Collect(out chan<- prometheus.Metric) {
	for _, f := range c.read() {
		service, priority := string(f.Service), strconv.Itoa(f.Priority)
		out <- prometheus.MustNewConstMetric(admissionTotal, prometheus.CounterValue, float64(f.Admitted), service, priority, "admitted")
		out <- prometheus.MustNewConstMetric(admissionTotal, prometheus.CounterValue, float64(f.Refused), service, priority, "refused")
		out <- prometheus.MustNewConstMetric(admissionHeadroom, prometheus.GaugeValue, f.Headroom, service, priority)
		out <- prometheus.MustNewConstMetric(admissionWorkspacesOver, prometheus.GaugeValue, float64(f.WorkspacesOver), service, priority)
	}
}
