package runner

import (
	"context"
	"time"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/server"
)

// Acquire implements server.Allocator.
func (c *control) Acquire(ctx context.Context, service string, a messenger.Ask) (server.Place, error) {
	reply := make(chan placeReply, 1)
	if !c.post(placeRequested{service: service, ask: a, reply: reply}) {
		return server.Place{}, stoppingRefusal()
	}
	select {
	case r := <-reply:
		if r.refusal != nil {
			return server.Place{}, *r.refusal
		}
		return r.place, nil
	case <-c.ended:
		return server.Place{}, stoppingRefusal()
	case <-ctx.Done():
		c.post(placeCanceled{request: a.Request})
		return server.Place{}, server.ErrCallerGone
	}
}

// Progress implements server.Allocator.
func (c *control) Progress(p server.Place, tokens int) {
	c.events <- progressReported{place: p, tokens: tokens}
}

// Release implements server.Allocator.
func (c *control) Release(p server.Place, u server.Usage) {
	if u.ClosedByPeer {
		c.reportCrash(p.Worker.Name, u.Fingerprint, time.Now().Add(-u.Took))
	}
	c.post(placeReleased{place: p, usage: u})
}

// stoppingRefusal is the refusal of requests after the control goroutine has ended.
func stoppingRefusal() server.Refusal {
	return server.Refusal{Reason: "host_stopping", RetryAfter: time.Second}
}

// post sends an event to the control goroutine. It returns false if that has ended:
// otherwise a request that outlives it would wait forever.
func (c *control) post(e event) bool {
	select {
	case c.events <- e:
		return true
	case <-c.ended:
		return false
	}
}
