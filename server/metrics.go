package server

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics is the entry role's metrics. Labels are classes, outcomes and causes
// only: their number does not grow with organisations.
type Metrics struct {
	requests *prometheus.CounterVec
	firsts   *prometheus.HistogramVec
	wholes   *prometheus.HistogramVec
	brokens  *prometheus.CounterVec
	retries  *prometheus.CounterVec
	resumes  *prometheus.CounterVec
	denied   *prometheus.CounterVec
	wasted   *prometheus.CounterVec
	repeated *prometheus.CounterVec
	tokens   *prometheus.CounterVec
}

// NewMetrics registers the entry role's metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 14)
	count := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cicadawood_" + name + "_total", Help: help}, labels)
		r.MustRegister(c)
		return c
	}
	times := func(name, help string) *prometheus.HistogramVec {
		h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "cicadawood_" + name + "_seconds", Help: help, Buckets: buckets}, []string{"class"})
		r.MustRegister(h)
		return h
	}
	return &Metrics{
		requests: count("requests", "Requests by class and outcome; a refusal's outcome is its reason.", "class", "outcome"),
		firsts:   times("first", "Time to the first byte of an answer."),
		wholes:   times("whole", "Time to the end of an answer that was whole."),
		brokens:  count("broken", "Answers that broke off after they had begun, and were marked so.", "class", "outcome"),
		retries:  count("retries", "Further tries of a request, by what the last one failed of.", "class", "cause"),
		resumes:  count("resumes", "Further tries that went on after tokens the caller had.", "class", "cause"),
		denied:   count("retries_denied", "Retries that the budgets did not allow.", "class"),
		wasted:   count("wasted_tokens", "Tokens passed of answers that did not become whole.", "class", "cause"),
		repeated: count("repeated_tokens", "Tokens of prompts and of answers so far that a further try had an engine read again.", "class", "cause"),
		tokens:   count("tokens", "Tokens passed.", "class"),
	}
}

// request counts a request that ended.
func (m *Metrics) request(q *request, d *delivery, outcome string) {
	m.requests.WithLabelValues(q.class, outcome).Inc()
	if q.engine {
		m.tokens.WithLabelValues(q.class).Add(float64(d.total()))
	}
	if d.begun {
		m.firsts.WithLabelValues(q.class).Observe(d.first.Sub(q.started).Seconds())
	}
	if outcome == answered {
		m.wholes.WithLabelValues(q.class).Observe(time.Since(q.started).Seconds())
		return
	}
	if d.begun {
		m.brokens.WithLabelValues(q.class, outcome).Inc()
		m.wasted.WithLabelValues(q.class, outcome).Add(float64(d.tokens))
	}
}

// retry counts a further try after one that had passed tokens of its answer.
func (m *Metrics) retry(q *request, d *delivery, cause string) {
	m.retries.WithLabelValues(q.class, cause).Inc()
	if d.tokens > 0 {
		m.resumes.WithLabelValues(q.class, cause).Inc()
	}
	if q.engine {
		m.repeated.WithLabelValues(q.class, cause).Add(float64(q.prompt + d.tokens))
	}
}

func (m *Metrics) denyRetry(class string) { m.denied.WithLabelValues(class).Inc() }
