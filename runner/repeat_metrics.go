package runner

import "github.com/prometheus/client_golang/prometheus"

// repeatMetrics counts what becomes of the retry budget at this host.
type repeatMetrics struct {
	decisions *prometheus.CounterVec
	wait      prometheus.Histogram
	arrival   prometheus.Histogram
	borrowed  prometheus.Counter
	lent      prometheus.Counter
}

func newRepeatMetrics() *repeatMetrics {
	return &repeatMetrics{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadawood_repeats_total", Help: "Requests that were to be sent to a further worker, by whether the retry budget allowed it.",
		}, []string{"granted"}),
		wait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cicadawood_repeat_wait_seconds", Help: "Time that a repeat waited for budget of other hosts.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 8),
		}),
		arrival: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cicadawood_repeat_arrival_seconds", Help: "Time from a repeat's grant until it was known to have arrived.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 15),
		}),
		borrowed: prometheus.NewCounter(prometheus.CounterOpts{Name: "cicadawood_repeats_borrowed_total", Help: "Repeats that other hosts lent to this one."}),
		lent:     prometheus.NewCounter(prometheus.CounterOpts{Name: "cicadawood_repeats_lent_total", Help: "Repeats that this host lent to others."}),
	}
}

func (m *repeatMetrics) register(r prometheus.Registerer) {
	r.MustRegister(m.decisions, m.wait, m.arrival, m.borrowed, m.lent)
}
