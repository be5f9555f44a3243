package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/resumer"
)

// Codes of streams that a caller takes up and that may not go on.
const (
	codeVersionUnknown = "version_unknown" // nobody knows which version began it
	codeStreamMoved    = "stream_moved"    // its route no longer leads to the service that began it
)

// takenUp reports whether the caller takes up a stream of an earlier attempt.
func (q *request) takenUp() bool { return q.Stream && (q.LastEventID != "" || q.Resumes != "") }

// origin is what is known of the beginning of a transaction's stream.
type origin struct {
	worker *resumer.Worker // that began it; nil before its first event, or if any worker may go on
	answer resumer.Answer  // for a stream that was taken up
	keys   []resumer.Key   // by which its caller may name it
}

// resolveOrigin finds out where a stream may go on that the caller takes up. It returns the
// error response if it may not.
func (t *transaction) resolveOrigin(caller, ctx context.Context) *failure {
	q := t.q
	if !q.Stream {
		return nil
	}
	q.placement.Stream = resumer.KeyOf(q.organisation, q.ID)
	t.origin.keys = []resumer.Key{q.placement.Stream}
	if !q.takenUp() {
		return nil
	}
	q.placement.Resumed = true
	stream := resumer.KeyOf(q.organisation, q.Resumes)
	a, err := t.router.Origins.Resolve(ctx, resumer.TakenUp{Stream: stream, Services: q.servicesFrom(q.service)})
	if err != nil {
		return t.timedOut(caller)
	}
	t.origin.answer = a
	t.router.Metrics.observeTakenUp(a.Result)
	switch a.Result {
	case resumer.Known:
		q.service, q.placement.Service = a.Worker.Service, a.Worker.Service
		t.bind(a.Worker)
	case resumer.Unknown:
		return unanswered(false, codeVersionUnknown, defaultRetryAfter)
	case resumer.Moved:
		return unanswered(false, codeStreamMoved, 0)
	case resumer.OneVersion:
		// A worker of another version may join before the request is sent.
		q.placement.Bound = &a.Worker
	case resumer.Pending:
	}
	if stream != 0 {
		t.origin.keys = append(t.origin.keys, stream)
	}
	return nil
}

// bind lets the stream go on only where a worker's software runs.
func (t *transaction) bind(w resumer.Worker) {
	t.origin.worker = &w
	t.q.placement.Bound = &w
}

// mayPass reports whether the first event of a send may be passed on. A stream that goes on was
// placed on a worker of its version, but by the time of its connection the worker may have
// started again at another one.
func (t *transaction) mayPass(ctx context.Context, p Placement, openedAt time.Time) bool {
	if t.q.placement.Bound == nil {
		return true
	}
	return t.router.Origins.Certain(ctx, p.Worker.Software(), openedAt)
}

// begin records the worker of a stream's first event. The worker is the one as it was when the
// request was placed: by now another one may have its name.
func (t *transaction) begin(p Placement, openedAt time.Time) {
	if t.origin.worker == nil {
		t.bind(p.Worker.Software())
	}
	if t.q.Repeatable() {
		t.router.Origins.Began(t.origin.keys, *t.origin.worker, openedAt)
	}
	t.q.placement.Resumed = true
}

// originFields returns the log fields for the beginning of a stream.
func (t *transaction) originFields() []zap.Field {
	var fields []zap.Field
	if w := t.origin.worker; w != nil {
		fields = append(fields, zap.String("version", w.Version), zap.String("began", w.Name))
	}
	if !t.q.takenUp() {
		return fields
	}
	a := t.origin.answer
	fields = append(fields, zap.String("resumes", t.q.Resumes), zap.String("origin", string(a.Result)))
	if a.Result == resumer.Known {
		return append(fields, zap.String("carried", a.From), zap.Duration("known", a.Age), zap.Bool("uncertain", a.Worker.IsUncertain()))
	}
	b := a.Basis
	if a.Reason != "" {
		fields = append(fields, zap.String("why", string(a.Reason)))
	}
	return append(fields, zap.Strings("software", b.Software), zap.Duration("listed", b.ListAge), zap.Int("asked", b.Asked), zap.Int("answered", b.Answered))
}
