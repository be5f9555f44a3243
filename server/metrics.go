package server

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics is the entry role's metrics. Labels are classes and outcomes only:
// their number does not grow with organisations.
type Metrics struct {
	requests *prometheus.CounterVec
	firsts   *prometheus.HistogramVec
	wholes   *prometheus.HistogramVec
	brokens  *prometheus.CounterVec
}

// NewMetrics registers the entry role's metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 14)
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cicadawood_requests_total", Help: "Requests by class and outcome."}, []string{"class", "outcome"}),
		firsts:   prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "cicadawood_first_seconds", Help: "Time to the first byte of an answer.", Buckets: buckets}, []string{"class"}),
		wholes:   prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "cicadawood_whole_seconds", Help: "Time to the end of an answer.", Buckets: buckets}, []string{"class"}),
		brokens:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cicadawood_broken_total", Help: "Streams that broke off and were marked so."}, []string{"class"}),
	}
	r.MustRegister(m.requests, m.firsts, m.wholes, m.brokens)
	return m
}

func (m *Metrics) request(class, outcome string, took time.Duration) {
	m.requests.WithLabelValues(class, outcome).Inc()
	m.wholes.WithLabelValues(class).Observe(took.Seconds())
}

func (m *Metrics) first(class string, took time.Duration) {
	m.firsts.WithLabelValues(class).Observe(took.Seconds())
}

func (m *Metrics) broken(class string) { m.brokens.WithLabelValues(class).Inc() }
