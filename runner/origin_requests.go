package runner

import (
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/resumer"
)

// maxRequestHold is how long another host's request waits for the list of workers: less than that
// host waits for the reply.
const maxRequestHold = 60 * time.Millisecond

// heldRequest is another host's request that waits for a list of workers that is read after it.
type heldRequest struct {
	originRequested
	receivedAt time.Time
}

// requestsDue is posted when requests of other hosts have waited for long enough.
type requestsDue struct{}

// receive answers another host's request. Where this host would state that one version served for all of
// a stream's life, the list is read first: a version may have come and gone since it was last read.
func (o *originSync) receive(now time.Time, e originRequested) {
	o.readers[e.from] = true
	if !o.confirmable() || !o.resumer.Vouches(now, e.request.Services) {
		o.answer(now, e, o.resumer.Tell(now, askOf(e.request)))
		return
	}
	if t := o.resumer.Tell(now, askOf(e.request)); len(t.Records) > 0 {
		// Without the request's own key it is not taken for the answer.
		o.answer(now, e, resumer.Told{Records: t.Records})
	}
	o.held = append(o.held, heldRequest{originRequested: e, receivedAt: now})
	o.confirm(now)
	time.AfterFunc(maxRequestHold, func() { o.post(requestsDue{}) })
}

// answerHeld answers the requests that were received until the list was confirmed, and those that
// have waited for long enough: these without a word that the list is current.
func (o *originSync) answerHeld(now, confirmedAt time.Time) {
	held := o.held
	o.held = nil
	for _, e := range held {
		confirmed := !confirmedAt.Before(e.receivedAt)
		if !confirmed && now.Sub(e.receivedAt) < maxRequestHold {
			o.held = append(o.held, e)
			continue
		}
		t := o.resumer.Tell(now, askOf(e.request))
		for i := range t.Histories {
			t.Histories[i].Fresh = confirmed
		}
		o.answer(now, e.originRequested, t)
	}
}

// askOf decodes a request.
func askOf(m messenger.OriginRequest) resumer.Ask {
	a := resumer.Ask{Services: m.Services}
	for _, k := range m.Keys {
		a.Keys = append(a.Keys, resumer.Key(k))
	}
	return a
}

// answer sends what this host knows to the host that asked.
func (o *originSync) answer(now time.Time, e originRequested, t resumer.Told) {
	err := o.sender.Send(e.request.Reply, encodeTold(now, t))
	if m, ok := encodeListed(now, t.Records); ok && err == nil {
		err = o.sender.Send(e.request.Reply, m)
	}
	if err != nil {
		o.log.Debug("origins", zap.String("peer", e.from), zap.Error(err))
	}
}

func (requestsDue) event() {}
