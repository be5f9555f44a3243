package router

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadawood/cicadawood/connector"
)

// Metrics is the router's metrics. Labels are kinds of request, outcomes and tiers
// only: their number does not grow with routes or organisations.
type Metrics struct {
	requests *prometheus.CounterVec
	firsts   *prometheus.HistogramVec
	wholes   *prometheus.HistogramVec
	pauses   prometheus.Histogram
	errors   prometheus.Histogram
	failed   *prometheus.CounterVec
	refused  *prometheus.CounterVec
	waits    *prometheus.HistogramVec
	taken    *prometheus.HistogramVec
	wanted   *prometheus.HistogramVec
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
	m.pauses = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "cicadawood_routed_pause_seconds", Help: "Longest pause between two pieces of a stream.", Buckets: buckets,
	})
	m.errors = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "cicadawood_routed_prediction_ratio", Help: "Time to an engine's first event as seen, in parts of what was expected.",
		Buckets: prometheus.ExponentialBuckets(0.125, 2, 8),
	})
	m.failed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadawood_routed_failed_sends_total", Help: "Requests that a worker did not answer, by cause and by whether they were sent again.",
	}, []string{"cause", "again"})
	m.refused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadawood_routed_refused_total", Help: "Requests that no worker got, by the tier of their route and by cause.",
	}, []string{"tier", "cause"})
	m.waits = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "cicadawood_routed_refused_wait_seconds", Help: "Wait that a refused request would have had, by the tier of its route and by cause.", Buckets: buckets,
	}, []string{"tier", "cause"})
	m.taken = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "cicadawood_routed_refused_taken_ratio", Help: "Slots taken and kept of the worker that a refused request came nearest to, in parts of all its slots.",
		Buckets: prometheus.LinearBuckets(0.25, 0.25, 6),
	}, []string{"tier", "cause"})
	m.wanted = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "cicadawood_routed_refused_wanted_slots", Help: "Slots that more urgent routes want beside those that they have, as a request was refused.",
		Buckets: prometheus.ExponentialBuckets(1, 4, 6),
	}, []string{"tier", "cause"})
	r.MustRegister(m.requests, m.firsts, m.wholes, m.pauses, m.errors, m.failed, m.refused, m.waits, m.taken, m.wanted)
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

func (m *Metrics) request(t *trip, outcome string) {
	q, d := t.q, t.delivery
	kind := q.kind()
	m.requests.WithLabelValues(kind, outcome).Inc()
	if !d.first.IsZero() {
		m.firsts.WithLabelValues(kind).Observe(d.first.Sub(q.started).Seconds())
	}
	if outcome == "answered" {
		m.wholes.WithLabelValues(kind).Observe(time.Since(q.started).Seconds())
	}
	if d.pause > 0 {
		m.pauses.Observe(d.pause.Seconds())
	}
	if t.seen > 0 && t.expected > 0 {
		m.errors.Observe(float64(t.seen) / float64(t.expected))
	}
}

// refuse counts a request that no worker got.
func (m *Metrics) refuse(q *request, r Refused) {
	tier, b := strconv.Itoa(q.Tier), r.Basis
	m.refused.WithLabelValues(tier, r.Reason).Inc()
	m.waits.WithLabelValues(tier, r.Reason).Observe(b.Wait.Seconds())
	if b.Slots > 0 {
		m.taken.WithLabelValues(tier, r.Reason).Observe(float64(b.Taken+b.Kept) / float64(b.Slots))
	}
	m.wanted.WithLabelValues(tier, r.Reason).Observe(float64(b.Wanted))
}

// send counts a send that failed; again says that another follows.
func (m *Metrics) send(err error, again bool) {
	m.failed.WithLabelValues(causeOf(err), strconv.FormatBool(again)).Inc()
}

// causeOf names what a send failed by.
func causeOf(err error) string {
	for _, c := range []struct {
		err  error
		name string
	}{
		{errCaller, "caller"},
		{connector.ErrNotSent, "not_sent"},
		{errMisled, "other_worker"},
		{errNotRun, "not_run"},
		{errSilent, "silent"},
		{errFailed, "failed"},
		{errUnsealed, "unsealed"},
		{errPromise, "false_promise"},
		{errShort, "short"},
		{errEncoded, "encoded"},
		{connector.ErrClosedByPeer, "ended"},
		{context.Canceled, "caller"},
		{context.DeadlineExceeded, "timeout"},
	} {
		if errors.Is(err, c.err) {
			return c.name
		}
	}
	return "broken"
}
