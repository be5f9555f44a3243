package runner

import (
	"context"
	"time"

	"github.com/cicadawood/cicadawood/resumer"
	"github.com/cicadawood/cicadawood/router"
)

var _ router.Origins = (*selector)(nil)

// Resolve implements router.Origins.
func (p *selector) Resolve(ctx context.Context, t resumer.TakenUp) (resumer.Answer, error) {
	reply := make(chan resumer.Answer, 1)
	if !p.post(streamTakenUp{stream: t, until: time.Now().Add(maxHold), reply: reply}) {
		return resumer.Answer{Result: resumer.Unknown}, nil
	}
	select {
	case a := <-reply:
		return a, nil
	case <-ctx.Done():
		return resumer.Answer{}, ctx.Err()
	case <-p.ended:
		return resumer.Answer{Result: resumer.Unknown}, nil
	}
}

// Began implements router.Origins.
func (p *selector) Began(keys []resumer.Key, w resumer.Worker, openedAt time.Time) {
	p.post(streamBegan{keys: keys, worker: w, openedAt: openedAt})
}

// Certain implements router.Origins.
func (p *selector) Certain(ctx context.Context, w resumer.Worker, openedAt time.Time) bool {
	return askSelector(ctx, p, func(reply chan<- bool) event {
		return certaintyRequested{worker: w, openedAt: openedAt, until: time.Now().Add(maxHold), reply: reply}
	})
}

// Replaced implements router.Origins.
func (p *selector) Replaced(ctx context.Context, w resumer.Worker, by router.Confirmation) bool {
	reply := make(chan bool, 1)
	if !p.post(newReplacedRequested(time.Now(), w, by, reply)) {
		return true
	}
	select {
	case replaced := <-reply:
		return replaced
	case <-p.ended:
	case <-ctx.Done():
	}
	return true
}

// Finished implements router.Origins.
func (p *selector) Finished(keys []resumer.Key) {
	if len(keys) > 0 {
		p.post(streamEnded{keys: keys})
	}
}
