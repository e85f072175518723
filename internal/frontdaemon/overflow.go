package frontdaemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"tamarackreach/internal/director"
)

var (
	zoneDemand = prometheus.NewDesc("tamarack_zone_demand_per_second",
		"Requests per second that arrive in a zone, as far as this VM knows.", []string{"service", "zone"}, nil)
	zoneCapacity = prometheus.NewDesc("tamarack_zone_capacity_per_second",
		"Requests per second that the targets of a zone serve when fully used, as estimated.", []string{"service", "zone"}, nil)
	overflowShare = prometheus.NewDesc("tamarack_overflow_share",
		"Share of the requests of this VM's zone that another zone is to serve.", []string{"service", "zone"}, nil)
	overflowSends = prometheus.NewDesc("tamarack_overflow_sends_total",
		"Requests of this VM that were sent to another zone because of that share.", []string{"service", "zone"}, nil)
)

// registerOverflowMetrics registers what the VM sends to other zones, and why.
func (d *Daemon) registerOverflowMetrics() {
	d.metrics.Register(&overflowCollector{read: func() (overflows []director.Overflow) {
		d.reducer.Read(func(s *director.State) { overflows = s.Overflows() })
		return overflows
	}})
}

// overflowCollector collects the overflow to other zones at scrape time.
type overflowCollector struct {
	read func() []director.Overflow
}

// Describe implements prometheus.Collector.
func (c *overflowCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{zoneDemand, zoneCapacity, overflowShare, overflowSends} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *overflowCollector) Collect(out chan<- prometheus.Metric) {
	for _, o := range c.read() {
		service, zone := string(o.Service), string(o.Zone)
		out <- prometheus.MustNewConstMetric(zoneDemand, prometheus.GaugeValue, o.Demand, service, zone)
		out <- prometheus.MustNewConstMetric(zoneCapacity, prometheus.GaugeValue, o.Capacity, service, zone)
		out <- prometheus.MustNewConstMetric(overflowShare, prometheus.GaugeValue, o.Share, service, zone)
		out <- prometheus.MustNewConstMetric(overflowSends, prometheus.CounterValue, float64(o.Sent), service, zone)
	}
}
