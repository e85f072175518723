package ingress

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics holds the Prometheus metrics of an entry VM.
type Metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	sends    *prometheus.CounterVec
	// keptFailures counts the 5xx responses of targets that were delivered because no
	// later send succeeded, by the outcome of the last later one.
	keptFailures *prometheus.CounterVec
	// promisesDiscarded counts the responses of targets whose status promises that the
	// request has not run, without a statement of the target that it did not run it.
	promisesDiscarded *prometheus.CounterVec
	// relayedSends counts the sends through other VMs.
	relayedSends prometheus.Counter
	firstByte    prometheus.Histogram
	duration     prometheus.Histogram
}

// latencyBuckets are histogram bounds in seconds: from tens of milliseconds for
// plain calls to long streams.
var latencyBuckets = prometheus.ExponentialBuckets(0.01, 2, 12)

// NewMetrics returns the metrics of an entry VM in a registry of their own.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_requests_ended_total", Help: "Requests that ended, by outcome.",
		}, []string{"outcome"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_sends_ended_total", Help: "Sends to targets that gave no answer to deliver, by outcome.",
		}, []string{"outcome"}),
		keptFailures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_kept_failures_delivered_total", Help: "Failures of targets that were delivered after no later send succeeded, by outcome of the last later send.",
		}, []string{"later_send"}),
		promisesDiscarded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_promises_discarded_total", Help: "Responses of targets that were discarded because their status promises that the request has not run, by status.",
		}, []string{"status"}),
		relayedSends: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tamarack_sends_relayed_total", Help: "Sends through another VM, since this one did not reach the target.",
		}),
		firstByte: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "tamarack_first_byte_seconds", Help: "Time to the first byte of an answer.", Buckets: latencyBuckets,
		}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "tamarack_request_seconds", Help: "Time to the end of a request.", Buckets: latencyBuckets,
		}),
	}
	m.registry.MustRegister(m.requests, m.sends, m.keptFailures, m.promisesDiscarded, m.relayedSends, m.firstByte, m.duration)
	return m
}

// Counter registers a counter whose value is read at scrape time.
func (m *Metrics) Counter(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, read))
}

// Gauge registers a gauge whose value is read at scrape time.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Register registers a collector, for metrics with labels that are read at scrape
// time.
func (m *Metrics) Register(c prometheus.Collector) { m.registry.MustRegister(c) }

func (m *Metrics) requestEnded(outcome string, took, firstByte time.Duration) {
	m.requests.WithLabelValues(outcome).Inc()
	m.duration.Observe(took.Seconds())
	if firstByte > 0 {
		m.firstByte.Observe(firstByte.Seconds())
	}
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
