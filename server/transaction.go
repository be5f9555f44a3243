package server

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/forwarder"
)

// transaction is one request of a caller across all its tries. A try is one attempt on
// one place.
type transaction struct {
	server   *Server
	q        *request
	delivery *delivery
	call     forwarder.Call

	tries      int  // finished tries, not counting preempted ones
	asks       int  // places requested
	mayHaveRun bool // a try may have run the request
	exclude    []string
	stored     *storedAnswer
}

// storedAnswer is an answer that is passed on only if no other try gives a better one.
type storedAnswer struct {
	answer *forwarder.Answer
	body   []byte
}

func (r *transaction) store(a *forwarder.Answer, body []byte) { r.stored = &storedAnswer{a, body} }

// serve tries the request on one place after another until the caller has its whole
// answer or no further try is allowed.
func (r *transaction) serve(ctx context.Context) *failure {
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, r.q.deadline)
	defer cancel()
	r.server.budgets.RecordFirst(time.Now(), r.q.organisation, r.q.service, r.q.tier)
	for {
		if fail := r.server.quarantinedFailure(r.q); fail != nil {
			return r.finalFailure(caller, ctx, fail)
		}
		ask := r.q.ask(r.asks, r.delivery.tokens, r.exclude)
		r.asks++
		place, err := r.server.allocator.Acquire(ctx, r.q.service, ask)
		if err != nil {
			return r.finalFailure(caller, ctx, refusalFailure(err))
		}
		err = r.tryPlace(ctx, place)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || !r.mayRetry(err) {
			return r.finalFailure(caller, ctx, tryFailure(err))
		}
		if blamesWorker(err) && r.q.maxExcluded > 0 {
			r.exclude = append(r.exclude, place.Worker.Name)
			r.exclude = slices.Delete(r.exclude, 0, max(0, len(r.exclude)-r.q.maxExcluded))
		}
	}
}

// tryPlace tries the request on one place, with a second connection if the first goes
// silent.
func (r *transaction) tryPlace(ctx context.Context, place Place) (err error) {
	t := &try{transaction: r, place: place}
	defer func() { r.server.allocator.Release(place, t.usage(err)) }()
	err = t.do(ctx)
	if err != nil && ctx.Err() == nil && r.facts(err, false).nextAction() == reconnect && r.spendRetry(err) {
		err = t.do(ctx)
	}
	return err
}

// mayRetry reports whether another place may be tried after err.
func (r *transaction) mayRetry(err error) bool {
	r.server.log.Debug("try failed", zap.String("request", r.q.id), zap.String("cause", causeLabel(err)), zap.Int("tokens", r.delivery.tokens), zap.Error(err))
	preempted := errors.Is(err, errPreempted)
	if !preempted {
		r.tries++
	}
	if r.facts(err, true).nextAction() == giveUp {
		return false
	}
	if preempted {
		r.server.metrics.observeRetry(r.q, r.delivery, causeLabel(err))
		return true
	}
	return r.spendRetry(err)
}

func (r *transaction) facts(err error, reconnected bool) facts {
	return facts{once: r.q.once, headSent: r.delivery.headSent, resumable: r.resumable(), reconnected: reconnected, tries: r.tries, err: err}
}

// spendRetry takes a retry from the retry budgets, and reports whether they allow it.
func (r *transaction) spendRetry(err error) bool {
	if !r.server.budgets.Take(time.Now(), r.q.organisation, r.q.service, r.q.tier) {
		r.server.metrics.observeDeniedRetry(r.q.class)
		return false
	}
	r.server.metrics.observeRetry(r.q, r.delivery, causeLabel(err))
	return true
}

// resumable reports whether the answer can be continued after the part that the caller
// has.
func (r *transaction) resumable() bool {
	return r.q.resumable && (!r.delivery.headSent || r.delivery.stream)
}

// finalFailure returns the failure that a request ends with. It states that the request
// was not run only if no try may have run it.
func (r *transaction) finalFailure(caller, ctx context.Context, f *failure) *failure {
	switch {
	case caller.Err() != nil:
		f = &failure{status: statusGone, code: codeCallerGone, message: "the caller went away", run: RunUnknown}
	case ctx.Err() != nil:
		f = deadlineFailure()
	}
	if r.mayHaveRun {
		f.run = RunUnknown
	}
	if k := r.stored; k != nil && !r.delivery.headSent && ctx.Err() == nil {
		if writeWhole(r.delivery, k.answer, k.body) == nil {
			return nil
		}
	}
	return f
}
