package server

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/forwarder"
)

// run is one request over all its tries.
type run struct {
	server   *Server
	q        *request
	delivery *delivery
	call     forwarder.Call

	tries   int  // that ended, preemptions aside
	asks    int  // places asked for
	ran     bool // a try may have run
	exclude []string
	kept    *keptAnswer
}

// keptAnswer is an answer that is passed only where no other try does better.
type keptAnswer struct {
	answer *forwarder.Answer
	body   []byte
}

func (r *run) keep(a *forwarder.Answer, body []byte) { r.kept = &keptAnswer{a, body} }

// serve gets the request places, one after the other, until the caller has its
// whole answer or no further try may be made.
func (r *run) serve(ctx context.Context) *failure {
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, r.q.deadline)
	defer cancel()
	r.server.budgets.RecordFirst(time.Now(), r.q.organisation, r.q.service, r.q.tier)
	for {
		if fail := r.server.heldBack(r.q); fail != nil {
			return r.end(caller, ctx, fail)
		}
		ask := r.q.ask(r.asks, r.delivery.tokens, r.exclude)
		r.asks++
		place, err := r.server.places.Acquire(ctx, r.q.service, ask)
		if err != nil {
			return r.end(caller, ctx, refused(err))
		}
		err = r.onPlace(ctx, place)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || !r.again(err) {
			return r.end(caller, ctx, broken(err))
		}
		if blames(err) && r.q.excluded > 0 {
			r.exclude = append(r.exclude, place.Worker.Name)
			r.exclude = slices.Delete(r.exclude, 0, max(0, len(r.exclude)-r.q.excluded))
		}
	}
}

// onPlace tries the request on one place, by a second connection where the
// first went silent.
func (r *run) onPlace(ctx context.Context, place Place) (err error) {
	t := &try{run: r, place: place}
	defer func() { r.server.places.Release(place, t.use(err)) }()
	err = t.do(ctx)
	if err != nil && ctx.Err() == nil && r.facts(err, false).next() == reconnect && r.pay(err) {
		err = t.do(ctx)
	}
	return err
}

// again says whether another place may be tried after err.
func (r *run) again(err error) bool {
	r.server.log.Debug("try failed", zap.String("request", r.q.id), zap.String("cause", cause(err)), zap.Int("tokens", r.delivery.tokens), zap.Error(err))
	preempted := errors.Is(err, errPreempted)
	if !preempted {
		r.tries++
	}
	if r.facts(err, true).next() == giveUp {
		return false
	}
	if preempted {
		r.server.metrics.retry(r.q, r.delivery, cause(err))
		return true
	}
	return r.pay(err)
}

func (r *run) facts(err error, reconnected bool) facts {
	return facts{once: r.q.once, passed: r.delivery.begun, resumable: r.resumable(), reconnected: reconnected, tries: r.tries, err: err}
}

// pay takes a retry out of the budgets.
func (r *run) pay(err error) bool {
	if !r.server.budgets.Take(time.Now(), r.q.organisation, r.q.service, r.q.tier) {
		r.server.metrics.denyRetry(r.q.class)
		return false
	}
	r.server.metrics.retry(r.q, r.delivery, cause(err))
	return true
}

// resumable says whether the rest of what the caller has can be had alone.
func (r *run) resumable() bool {
	return r.q.resumable && (!r.delivery.begun || r.delivery.stream)
}

// end is the failure that a request ends with. It says that the request was not
// run only where no try of it may have.
func (r *run) end(caller, ctx context.Context, f *failure) *failure {
	switch {
	case caller.Err() != nil:
		f = &failure{status: statusGone, code: codeGone, message: "the caller went away", run: RunUnknown}
	case ctx.Err() != nil:
		f = late()
	}
	if r.ran {
		f.run = RunUnknown
	}
	if k := r.kept; k != nil && !r.delivery.begun && ctx.Err() == nil {
		if giveWhole(r.delivery, k.answer, k.body) == nil {
			return nil
		}
	}
	return f
}
