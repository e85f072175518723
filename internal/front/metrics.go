package front

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics counts what an entry VM does, in the text format that scrapers read.
type Metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	sends    *prometheus.CounterVec
	first    prometheus.Histogram
	whole    prometheus.Histogram
}

// latencyBuckets cover plain calls (tens of milliseconds) to long streams, in
// seconds.
var latencyBuckets = prometheus.ExponentialBuckets(0.01, 2, 12)

// NewMetrics registers the metrics of an entry VM.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_requests_ended_total", Help: "Requests that ended, by outcome.",
		}, []string{"outcome"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_sends_ended_total", Help: "Sends to targets that gave no answer to deliver, by outcome.",
		}, []string{"outcome"}),
		first: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "tamarack_first_byte_seconds", Help: "Time to the first byte of an answer.", Buckets: latencyBuckets,
		}),
		whole: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "tamarack_request_seconds", Help: "Time to the end of a request.", Buckets: latencyBuckets,
		}),
	}
	m.registry.MustRegister(m.requests, m.sends, m.first, m.whole)
	return m
}

// Counter registers a count that is read when metrics are served.
func (m *Metrics) Counter(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, read))
}

// Gauge registers a value that is read when metrics are served.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

func (m *Metrics) ended(outcome string, took, first time.Duration) {
	m.requests.WithLabelValues(outcome).Inc()
	m.whole.Observe(took.Seconds())
	if first > 0 {
		m.first.Observe(first.Seconds())
	}
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
