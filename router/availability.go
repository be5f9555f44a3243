package router

import "go.uber.org/zap"

// noteAvailability records what the head of an answer states about further requests for
// its worker, and reports it to the placer. If the address now belongs to another worker,
// the answer says nothing about the one that the request was placed on.
func (t *transaction) noteAvailability(p Placement, v AnswerHead) {
	if v.OtherWorker {
		return
	}
	if v.RetryAfter.Invalid != "" {
		t.router.Log.Warn("retry-after", zap.String("request", t.q.ID), zap.String("worker", p.Worker.Name), zap.String("state", "unreadable"), zap.String("said", v.RetryAfter.Invalid))
	}
	t.noteBrittle(p, v.Brittle)
	if v.Leaving {
		t.workerLeaving = true
		t.router.Metrics.observeUnavailable("leaving")
		t.router.Placer.LeavingReported(p)
	}
	if v.RetryAfter.Delay > 0 {
		t.retryAfter = max(t.retryAfter, v.RetryAfter.Delay)
		t.router.Metrics.observeUnavailable("retry_after")
		t.router.Placer.BackoffReported(p, v.RetryAfter.Delay)
	}
}

// noteBrittle reports to the placer whether the worker is brittle.
func (t *transaction) noteBrittle(p Placement, b Brittle) {
	switch {
	case b.Invalid != "":
		t.router.Log.Warn("brittle", zap.String("request", t.q.ID), zap.String("worker", p.Worker.Name), zap.String("state", "unreadable"), zap.String("said", b.Invalid))
	case b.Allowed > 0 || p.Brittle:
		t.router.Placer.BrittleReported(p, t.sentAt, b.Allowed)
	}
}

// availabilityFields returns the log fields for what the answers to the last send stated
// about further requests for its worker.
func (t *transaction) availabilityFields() []zap.Field {
	var fields []zap.Field
	if t.workerLeaving {
		fields = append(fields, zap.Bool("leaving", true))
	}
	if t.retryAfter > 0 {
		fields = append(fields, zap.Duration("retry_after", t.retryAfter))
	}
	return fields
}
