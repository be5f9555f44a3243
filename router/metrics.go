package router

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics is the router's metrics. Labels are kinds of request and outcomes only:
// their number does not grow with routes or organisations.
type Metrics struct {
	requests *prometheus.CounterVec
	firsts   *prometheus.HistogramVec
	wholes   *prometheus.HistogramVec
}

// NewMetrics registers the router's metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 12)
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadawood_routed_requests_total", Help: "Requests of host routes by kind and outcome.",
		}, []string{"kind", "outcome"}),
		firsts: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cicadawood_routed_first_seconds", Help: "Time to the first byte of an answer's body.", Buckets: buckets,
		}, []string{"kind"}),
		wholes: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cicadawood_routed_whole_seconds", Help: "Time to the end of an answer that was whole.", Buckets: buckets,
		}, []string{"kind"}),
	}
	r.MustRegister(m.requests, m.firsts, m.wholes)
	return m
}

// kind names what may be done with a request after a failure.
func (q *request) kind() string {
	switch {
	case q.name == "":
		return "unknown"
	case q.Stream && q.Resume:
		return "resumable"
	case q.Stream:
		return "stream"
	case q.Once:
		return "once"
	}
	return "repeatable"
}

func (m *Metrics) request(q *request, d *delivery, outcome string) {
	kind := q.kind()
	m.requests.WithLabelValues(kind, outcome).Inc()
	if !d.first.IsZero() {
		m.firsts.WithLabelValues(kind).Observe(d.first.Sub(q.started).Seconds())
	}
	if outcome == "answered" {
		m.wholes.WithLabelValues(kind).Observe(time.Since(q.started).Seconds())
	}
}
