package frontdaemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
)

var (
	loadAge = prometheus.NewDesc("tamarack_load_age_seconds",
		"Age of the loads of other VMs by which the target of a send was chosen.", nil, nil)
	loadSpread = prometheus.NewDesc("tamarack_load_spread",
		"Standard deviation of the requests per slot over targets that could serve the same, as a mean over such groups.", nil, nil)
	rejectedWithSpare = prometheus.NewDesc("tamarack_rejections_with_spare_capacity_total",
		"Sends rejected by targets that were believed to have a free slot.", nil, nil)
)

// balanceCollector collects the balance of load at scrape time.
type balanceCollector struct {
	read func() director.BalanceFigures
}

// Describe implements prometheus.Collector.
func (c *balanceCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{loadAge, loadSpread, rejectedWithSpare} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *balanceCollector) Collect(out chan<- prometheus.Metric) {
	f := c.read()
	buckets, count := make(map[float64]uint64, len(f.Ages)), uint64(0)
	for i, n := range f.Ages {
		count += n
		buckets[director.LoadAgeBounds[i].Seconds()] = count
	}
	out <- prometheus.MustNewConstHistogram(loadAge, f.Decisions, f.AgeSum.Seconds(), buckets)
	out <- prometheus.MustNewConstMetric(loadSpread, prometheus.GaugeValue, f.Spread)
	out <- prometheus.MustNewConstMetric(rejectedWithSpare, prometheus.CounterValue, float64(f.RejectedWithSpare))
}

// registerBalanceMetrics registers the balance of load over targets.
func (d *Daemon) registerBalanceMetrics() {
	d.metrics.Register(&balanceCollector{read: func() (f director.BalanceFigures) {
		d.reducer.Read(func(s *director.State) { f = s.Balance(bootclock.Now()) })
		return f
	}})
}
