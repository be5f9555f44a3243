package server

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the entry role's metrics. Labels are only classes, outcomes and causes,
// so the number of series does not grow with organisations.
type Metrics struct {
	requests  *prometheus.CounterVec
	firstByte *prometheus.HistogramVec
	completed *prometheus.HistogramVec
	broken    *prometheus.CounterVec
	retries   *prometheus.CounterVec
	resumes   *prometheus.CounterVec
	denied    *prometheus.CounterVec
	wasted    *prometheus.CounterVec
	repeated  *prometheus.CounterVec
	tokens    *prometheus.CounterVec
	unread    *prometheus.CounterVec
}

// NewMetrics registers the entry role's metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 14)
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cicadawood_" + name + "_total", Help: help}, labels)
		r.MustRegister(c)
		return c
	}
	histogram := func(name, help string) *prometheus.HistogramVec {
		h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "cicadawood_" + name + "_seconds", Help: help, Buckets: buckets}, []string{"class"})
		r.MustRegister(h)
		return h
	}
	return &Metrics{
		requests:  counter("requests", "Requests by class and outcome; a refusal's outcome is its reason.", "class", "outcome"),
		firstByte: histogram("first", "Time to the first byte of an answer."),
		completed: histogram("whole", "Time to the end of an answer that was whole."),
		broken:    counter("broken", "Answers that broke off after they had begun, and were marked so.", "class", "outcome"),
		retries:   counter("retries", "Further tries of a request, by what the last one failed of.", "class", "cause"),
		resumes:   counter("resumes", "Further tries that went on after tokens the caller had.", "class", "cause"),
		denied:    counter("retries_denied", "Retries that the budgets did not allow.", "class"),
		wasted:    counter("wasted_tokens", "Tokens passed of answers that did not become whole.", "class", "cause"),
		repeated:  counter("repeated_tokens", "Tokens of prompts and of answers so far that a further try had an engine read again.", "class", "cause"),
		tokens:    counter("tokens", "Tokens passed.", "class"),
		unread:    counter("connections_unread", "New connections closed before anything was read from them, by reason.", "reason"),
	}
}

// observeRequest records a request that ended.
func (m *Metrics) observeRequest(q *request, d *delivery, outcome string) {
	m.requests.WithLabelValues(q.class, outcome).Inc()
	if q.engine {
		m.tokens.WithLabelValues(q.class).Add(float64(d.totalTokens()))
	}
	if d.headSent {
		m.firstByte.WithLabelValues(q.class).Observe(d.headSentAt.Sub(q.started).Seconds())
	}
	if outcome == answered {
		m.completed.WithLabelValues(q.class).Observe(time.Since(q.started).Seconds())
		return
	}
	if d.headSent {
		m.broken.WithLabelValues(q.class, outcome).Inc()
		m.wasted.WithLabelValues(q.class, outcome).Add(float64(d.tokens))
	}
}

// observeRetry counts a further try, and separately one that follows after tokens of the
// answer were passed on.
func (m *Metrics) observeRetry(q *request, d *delivery, cause string) {
	m.retries.WithLabelValues(q.class, cause).Inc()
	if d.tokens > 0 {
		m.resumes.WithLabelValues(q.class, cause).Inc()
	}
	if q.engine {
		m.repeated.WithLabelValues(q.class, cause).Add(float64(q.promptTokens + d.tokens))
	}
}

func (m *Metrics) observeDeniedRetry(class string) { m.denied.WithLabelValues(class).Inc() }
