package router

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/resumer"
)

// Metrics holds the router's metrics. Labels are only request kinds, outcomes, causes
// and tiers, so the number of series does not grow with routes or organisations.
type Metrics struct {
	requests      *prometheus.CounterVec
	firstByte     *prometheus.HistogramVec
	completed     *prometheus.HistogramVec
	pauses        prometheus.Histogram
	predictions   prometheus.Histogram
	failedSends   *prometheus.CounterVec
	refused       *prometheus.CounterVec
	unavailable   *prometheus.CounterVec
	refusedWaits  *prometheus.HistogramVec
	refusedTaken  *prometheus.HistogramVec
	refusedWanted *prometheus.HistogramVec
	takenUp       *prometheus.CounterVec
}

// NewMetrics registers the router's metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 12)
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadawood_routed_requests_total", Help: "Requests of host routes by kind and outcome.",
		}, []string{"kind", "outcome"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cicadawood_routed_first_seconds", Help: "Time to the first byte of an answer's body.", Buckets: buckets,
		}, []string{"kind"}),
		completed: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cicadawood_routed_whole_seconds", Help: "Time to the end of an answer that was whole.", Buckets: buckets,
		}, []string{"kind"}),
	}
	m.pauses = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "cicadawood_routed_pause_seconds", Help: "Longest pause between two pieces of a stream.", Buckets: buckets,
	})
	m.predictions = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "cicadawood_routed_prediction_ratio", Help: "Time to an engine's first event as seen, in parts of what was expected.",
		Buckets: prometheus.ExponentialBuckets(0.125, 2, 8),
	})
	m.failedSends = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadawood_routed_failed_sends_total", Help: "Requests that a worker did not answer, by cause and by whether they were sent again.",
	}, []string{"cause", "again"})
	m.refused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadawood_routed_refused_total", Help: "Requests that no worker got, by the tier of their route and by cause.",
	}, []string{"tier", "cause"})
	m.unavailable = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadawood_routed_unavailable_answers_total", Help: "Answers in which a worker said that it wants no more requests, by whether it is leaving or for how long it said so.",
	}, []string{"cause"})
	m.refusedWaits = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "cicadawood_routed_refused_wait_seconds", Help: "Wait that a refused request would have had, by the tier of its route and by cause.", Buckets: buckets,
	}, []string{"tier", "cause"})
	m.refusedTaken = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "cicadawood_routed_refused_taken_ratio", Help: "Slots taken and kept of the worker that a refused request came nearest to, in parts of all its slots.",
		Buckets: prometheus.LinearBuckets(0.25, 0.25, 6),
	}, []string{"tier", "cause"})
	m.refusedWanted = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "cicadawood_routed_refused_wanted_slots", Help: "Slots that more urgent routes want beside those that they have, as a request was refused.",
		Buckets: prometheus.ExponentialBuckets(1, 4, 6),
	}, []string{"tier", "cause"})
	m.takenUp = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadawood_routed_streams_taken_up_total", Help: "Streams that callers took up, by why they may go on or not.",
	}, []string{"result"})
	r.MustRegister(m.takenUp, m.requests, m.firstByte, m.completed, m.pauses, m.predictions, m.failedSends, m.refused, m.unavailable, m.refusedWaits, m.refusedTaken, m.refusedWanted)
	return m
}

// kind returns the request's metric label: how the request may be repeated after a
// failure.
func (q *request) kind() string {
	switch {
	case q.name == "":
		return "unknown"
	case q.Stream && q.Resumable:
		return "resumable"
	case q.Stream:
		return "stream"
	case q.Once:
		return "once"
	}
	return "repeatable"
}

func (m *Metrics) observeRequest(t *transaction, outcome string) {
	q, d := t.q, t.delivery
	kind := q.kind()
	m.requests.WithLabelValues(kind, outcome).Inc()
	if !d.firstPiece.IsZero() {
		m.firstByte.WithLabelValues(kind).Observe(d.firstPiece.Sub(q.started).Seconds())
	}
	if outcome == "answered" {
		m.completed.WithLabelValues(kind).Observe(time.Since(q.started).Seconds())
	}
	if d.longestPause > 0 {
		m.pauses.Observe(d.longestPause.Seconds())
	}
	if t.timeToFirst > 0 && t.expectedWait > 0 {
		m.predictions.Observe(float64(t.timeToFirst) / float64(t.expectedWait))
	}
}

// observeTakenUp counts a stream that a caller took up.
func (m *Metrics) observeTakenUp(result resumer.Result) {
	m.takenUp.WithLabelValues(string(result)).Inc()
}

// observeRefusal counts a request that was placed on no worker.
func (m *Metrics) observeRefusal(q *request, r Refused) {
	tier, b := strconv.Itoa(q.Tier), r.Basis
	m.refused.WithLabelValues(tier, r.Reason).Inc()
	m.refusedWaits.WithLabelValues(tier, r.Reason).Observe(b.Wait.Seconds())
	if b.Slots > 0 {
		m.refusedTaken.WithLabelValues(tier, r.Reason).Observe(float64(b.Taken+b.Kept) / float64(b.Slots))
	}
	m.refusedWanted.WithLabelValues(tier, r.Reason).Observe(float64(b.Wanted))
}

// observeUnavailable counts an answer whose worker wants no more requests.
func (m *Metrics) observeUnavailable(cause string) { m.unavailable.WithLabelValues(cause).Inc() }

// observeFailedSend counts a failed send; resent reports whether another send follows.
func (m *Metrics) observeFailedSend(err error, resent bool) {
	m.failedSends.WithLabelValues(causeLabel(err), strconv.FormatBool(resent)).Inc()
}

// causeLabel returns the metric label for the error of a failed send.
func causeLabel(err error) string {
	for _, c := range []struct {
		err  error
		name string
	}{
		{errCallerWrite, "caller"},
		{connector.ErrNotSent, "not_sent"},
		{errOtherWorker, "other_worker"},
		{errNotRun, "not_run"},
		{errSilent, "silent"},
		{errWorkerFailed, "failed"},
		{errUnsealed, "unsealed"},
		{errImpliesNotRun, "false_promise"},
		{errTruncatedEvent, "short"},
		{errEncoded, "encoded"},
		{connector.ErrMalformed, "malformed"},
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
