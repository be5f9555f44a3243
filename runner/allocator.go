package runner

import (
	"context"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/server"
)

// Acquire implements server.Allocator.
func (c *control) Acquire(ctx context.Context, service string, a messenger.Ask) (server.Place, error) {
	reply := make(chan placeReply, 1)
	c.events <- placeAsked{service: service, ask: a, reply: reply}
	select {
	case r := <-reply:
		if r.refusal != nil {
			return server.Place{}, *r.refusal
		}
		return r.place, nil
	case <-ctx.Done():
		c.events <- placeLeft{request: a.Request}
		return server.Place{}, server.ErrGone
	}
}

// Release implements server.Allocator.
func (c *control) Release(p server.Place, u server.Use) { c.events <- placeDone{place: p, use: u} }

// Advance tells how many tokens a request in flight has made, which corrects its
// estimate. Every hundred tokens is often enough.
func (c *control) Advance(p server.Place, tokens int) {
	c.events <- placeAdvanced{place: p, tokens: tokens}
}
