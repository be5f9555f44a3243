package runner

import (
	"context"
	"time"

	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/router"
)

var _ router.Placer = (*choosing)(nil)

// Place implements router.Placer.
func (p *choosing) Place(ctx context.Context, a placer.Request, again bool) (router.Placement, error) {
	reply := make(chan workerReply, 1)
	if !p.post(workerAsked{ask: a, again: again, reply: reply}) {
		return router.Placement{}, router.Refused{Reason: "host_stopping", RetryAfter: time.Second}
	}
	select {
	case r := <-reply:
		if r.refused != nil {
			return router.Placement{}, *r.refused
		}
		return r.place, nil
	case <-ctx.Done():
		// The answer may be under way: its place is given back when it comes.
		go p.giveBack(reply)
		return router.Placement{}, ctx.Err()
	case <-p.ended:
		return router.Placement{}, router.Refused{Reason: "host_stopping", RetryAfter: time.Second}
	}
}

// giveBack ends the place of a request that waits for it no more.
func (p *choosing) giveBack(reply <-chan workerReply) {
	select {
	case r := <-reply:
		if r.refused == nil {
			p.Ended(r.place, placer.Canceled)
		}
	case <-p.ended:
	}
}

// Started implements router.Placer.
func (p *choosing) Started(x router.Placement, took time.Duration) {
	p.post(sendBegun{id: x.ID, took: took})
}

// RateReported implements router.Placer.
func (p *choosing) RateReported(x router.Placement, rate float64) {
	p.post(limitReported{worker: x.Worker.Name, rate: rate, previous: x.RateLimit})
}

// Ended implements router.Placer.
func (p *choosing) Ended(x router.Placement, o placer.Outcome) {
	p.post(sendEnded{id: x.ID, outcome: o, filling: x.HalfFull})
}

// post gives the goroutine an event; false where it has ended.
func (p *choosing) post(e event) bool {
	select {
	case p.events <- e:
		return true
	case <-p.ended:
		return false
	}
}

// askChoosing asks the goroutine for something; the zero T where it or ctx ends first.
func askChoosing[T any](ctx context.Context, p *choosing, question func(chan<- T) event) T {
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
