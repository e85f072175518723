package frontdaemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"tamarackreach/internal/director"
)

var (
	retriesTotal = prometheus.NewDesc("tamarack_retries_total",
		"Sends after the first of a request that the retry budget granted or refused.", []string{"service", "cause", "result"}, nil)
	budgetSpent = prometheus.NewDesc("tamarack_retry_budget_spent",
		"Retries that this VM spent in the current window.", []string{"service"}, nil)
	budgetLimit = prometheus.NewDesc("tamarack_retry_budget_limit",
		"Retries that this VM may spend in the current window.", []string{"service"}, nil)
	budgetFirstAttempts = prometheus.NewDesc("tamarack_retry_budget_first_attempts",
		"First sends of this VM in the current window.", []string{"service"}, nil)
	budgetVMs = prometheus.NewDesc("tamarack_retry_budget_vms",
		"VMs that this VM divides the slack by.", []string{"service"}, nil)
)

// retryCollector collects the retry budgets at scrape time.
type retryCollector struct {
	read func() []director.RetryBudget
}

// Describe implements prometheus.Collector.
func (c *retryCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{retriesTotal, budgetSpent, budgetLimit, budgetFirstAttempts, budgetVMs} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *retryCollector) Collect(out chan<- prometheus.Metric) {
	for _, b := range c.read() {
		service := string(b.Service)
		for cause, n := range b.Granted {
			out <- prometheus.MustNewConstMetric(retriesTotal, prometheus.CounterValue, float64(n), service, cause, "granted")
		}
		for cause, n := range b.Refused {
			out <- prometheus.MustNewConstMetric(retriesTotal, prometheus.CounterValue, float64(n), service, cause, "refused")
		}
		out <- prometheus.MustNewConstMetric(budgetSpent, prometheus.GaugeValue, float64(b.Spent), service)
		out <- prometheus.MustNewConstMetric(budgetLimit, prometheus.GaugeValue, b.Limit, service)
		out <- prometheus.MustNewConstMetric(budgetFirstAttempts, prometheus.GaugeValue, float64(b.FirstAttempts), service)
		out <- prometheus.MustNewConstMetric(budgetVMs, prometheus.GaugeValue, float64(b.VMs), service)
	}
}
