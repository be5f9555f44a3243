package runner

import (
	"context"
	"time"

	"github.com/cicadawood/cicadawood/budgeter"
	"github.com/cicadawood/cicadawood/observer"
	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/router"
)

var _ router.Placer = (*selector)(nil)

// Place implements router.Placer.
func (p *selector) Place(ctx context.Context, a placer.Request, charge router.Charge) (router.Placement, error) {
	reply := make(chan workerReply, 1)
	if !p.post(workerRequested{request: a, charge: charge, reply: reply}) {
		return router.Placement{}, router.Refused{Reason: "host_stopping", RetryAfter: time.Second}
	}
	select {
	case r := <-reply:
		if r.refused != nil {
			return router.Placement{}, *r.refused
		}
		return r.placement, nil
	case <-ctx.Done():
		// The reply may be on its way: its place is released when it arrives.
		go p.releaseUnclaimed(reply)
		return router.Placement{}, ctx.Err()
	case <-p.ended:
		return router.Placement{}, router.Refused{Reason: "host_stopping", RetryAfter: time.Second}
	}
}

// releaseUnclaimed releases the place of a request that no longer waits for it.
func (p *selector) releaseUnclaimed(reply <-chan workerReply) {
	select {
	case r := <-reply:
		if r.refused == nil {
			p.RepeatsEnded(router.RepeatsEnded{NotSent: []budgeter.Repeat{r.placement.Repeat}})
			p.Ended(r.placement, placer.Canceled)
		}
	case <-p.ended:
	}
}

// Started implements router.Placer.
func (p *selector) Started(x router.Placement, took time.Duration) {
	p.post(flightStarted{id: x.ID, worker: x.Worker.Name, took: took})
}

// RateReported implements router.Placer.
func (p *selector) RateReported(x router.Placement, rate float64) {
	p.post(limitReported{worker: x.Worker.Name, rate: rate, previous: x.RateLimit})
}

// BrittleReported implements router.Placer.
func (p *selector) BrittleReported(x router.Placement, sentAt time.Time, allowed int) {
	p.post(brittleReported{worker: x.Worker.Name, sentAt: sentAt, allowed: allowed})
}

// LeavingReported implements router.Placer.
func (p *selector) LeavingReported(x router.Placement) {
	p.post(leavingReported{process: observer.Process{Name: x.Worker.Name, Incarnation: x.Worker.Incarnation}})
}

// BackoffReported implements router.Placer.
func (p *selector) BackoffReported(x router.Placement, d time.Duration) {
	p.post(backoffReported{worker: x.Worker, duration: d, via: x.Via})
}

// Accepts implements router.Placer.
func (p *selector) Accepts(ctx context.Context, x router.Placement, a placer.Request) bool {
	return askSelector(ctx, p, func(reply chan<- bool) event {
		return acceptsRequested{worker: x.Worker, request: a, reply: reply}
	})
}

// HasOther implements router.Placer.
func (p *selector) HasOther(ctx context.Context, x router.Placement, a placer.Request) bool {
	return askSelector(ctx, p, func(reply chan<- bool) event {
		return otherRequested{worker: x.Worker.Name, request: a, reply: reply}
	})
}

// Ended implements router.Placer.
func (p *selector) Ended(x router.Placement, o placer.Outcome) {
	p.post(flightEnded{id: x.ID, worker: x.Worker.Name, outcome: o, halfFull: x.HalfFull})
}

// RepeatsEnded implements router.Placer.
func (p *selector) RepeatsEnded(e router.RepeatsEnded) { p.post(repeatsEnded{e}) }

// post sends an event to the run goroutine. It returns false if that has ended.
func (p *selector) post(e event) bool {
	select {
	case p.events <- e:
		return true
	case <-p.ended:
		return false
	}
}

// askSelector sends a query to the run goroutine and returns its answer, or the zero T if
// the goroutine or ctx ends first.
func askSelector[T any](ctx context.Context, p *selector, question func(chan<- T) event) T {
	reply := make(chan T, 1)
	var answer T
	if !p.post(question(reply)) {
		return answer
	}
	select {
	case answer = <-reply:
	case <-p.ended:
	case <-ctx.Done():
	}
	return answer
}
