package runner

import (
	"time"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/resumer"
)

// maxHold is how long a stream waits for the list of workers to show whether those of its
// version have started again: less than callers wait for the next event.
const maxHold = 1700 * time.Millisecond

// boundRequested is another host's request for a stream that goes on only at one software.
type boundRequested struct {
	from    string
	request messenger.BoundRequest
}

// answerOrHold answers a request for a worker, unless it is worth to wait for the list.
func (p *selector) answerOrHold(now time.Time, e workerRequested, r workerReply) {
	if r.refused != nil && r.refused.Reason == placer.ReasonUnconfirmed {
		if e.heldSince.IsZero() {
			e.heldSince = now
		}
		if now.Sub(e.heldSince) < maxHold {
			p.held = append(p.held, e)
			return
		}
	}
	e.reply <- r
}

// retryHeld places the requests again that wait for the list.
func (p *selector) retryHeld(now time.Time) {
	held := p.held
	p.held = nil
	for _, e := range held {
		p.placeCharged(now, e)
	}
}

// certain returns a worker for a request, without its version if it may have started again at
// another one. Where only one version serves it can't have.
func (p *selector) certain(w placer.Worker) placer.Worker {
	if len(p.view.Versions()[w.Service]) > 1 && !p.view.Confirmed(w.Name) {
		u := w.Software().Uncertain()
		w.Incarnation, w.Version = u.Incarnation, ""
	}
	return w
}

// encodeBound returns the message for a request: one of its own if only deciders that know the
// condition may answer it.
func encodeBound(m messenger.PlacementRequest, bound *resumer.Worker) messenger.Message {
	if bound == nil {
		return m
	}
	return messenger.BoundRequest{Request: m, Worker: bound.Name, Incarnation: bound.Incarnation, Version: bound.Version}
}

func decodeBound(m messenger.BoundRequest) placer.Request {
	r := decodeRequest(m.Request)
	r.Resumed = true
	r.Bound = &resumer.Worker{Service: r.Service, Name: m.Worker, Incarnation: m.Incarnation, Version: m.Version}
	return r
}

func (boundRequested) event() {}
