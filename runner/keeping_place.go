package runner

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/forwarder"
	"github.com/cicadawood/cicadawood/keeper"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/server"
)

// answerExtra is how long past its deadline a call that was sent may go on: its
// outcome is worth knowing for a repeated key.
const answerExtra = 10 * time.Second

// mostTried bounds the operations whose refusing workers are remembered: to
// forget one costs a needless try.
const mostTried = 1024

// placeFound ends an Acquire with a place.
type placeFound struct {
	kept  *kept
	at    attempt
	place server.Place
}

// keptInput is an input for a keeper.
type keptInput struct {
	kept  *kept
	input keeper.Input
}

func (placeFound) event() {}
func (keptInput) event()  {}

// acquire gets a place through the dispatcher, as any request does.
func (k *keeping) acquire(now time.Time, p *kept, o keeper.Acquire) {
	m := p.payloads[o.Request].message
	ask := m.Ask
	k.places++
	ask.Request = fmt.Sprintf("%s.%d", o.Request, k.places)
	ask.Exclude = p.tried[o.ID]
	ask.Deadline = max(p.payloads[o.Request].until.Sub(now), 0)
	ctx, cancel := context.WithCancel(context.Background())
	at := attempt{o.ID, o.Attempt}
	p.places[at] = &placing{cancel: cancel}
	go func() {
		place, err := k.control.Acquire(ctx, m.Service, ask)
		if err == nil {
			k.control.post(placeFound{kept: p, at: at, place: place})
			return
		}
		u := keeper.Unplaced{ID: o.ID, Attempt: o.Attempt, Reason: keeper.ReasonCaller}
		var r server.Refusal
		if errors.As(err, &r) {
			u.Reason, u.RetryAfter = r.Reason, r.RetryAfter
		}
		k.later(p, u)
	}()
}

func (k *keeping) found(now time.Time, e placeFound) {
	x := e.kept.places[e.at]
	if x == nil { // released meanwhile
		k.control.finishCall(now, placeDone{place: e.place})
		return
	}
	x.place, x.granted = &e.place, now
	k.handle(now, e.kept, keeper.Placed{ID: e.at.id, Attempt: e.at.number})
}

func (k *keeping) release(now time.Time, p *kept, o keeper.Release) {
	at := attempt{o.ID, o.Attempt}
	x := p.places[at]
	if x == nil {
		return
	}
	delete(p.places, at)
	x.cancel()
	if x.place != nil {
		k.control.finishCall(now, placeDone{place: *x.place, use: x.use})
	}
}

// send sends a call to its place. The keeper has recorded its intent.
func (k *keeping) send(now time.Time, p *kept, o keeper.Send) {
	x := p.places[attempt{o.ID, o.Attempt}]
	load, ok := p.payloads[o.Request]
	if x == nil || x.place == nil || !ok {
		// Its deadline is over on this very tick: it was not sent.
		go k.later(p, keeper.Answered{ID: o.ID, Attempt: o.Attempt, Result: keeper.CallNotRun})
		return
	}
	m := load.message
	c := forwarder.Call{Method: m.Method, Path: m.Path, Header: http.Header(m.Header), Body: m.Body, RequestID: o.Request, Fence: x.place.Fence, Tier: m.Tier}
	place, limit := *x.place, load.until.Sub(now)+answerExtra
	k.log.Info("send", zap.String("request", o.Request), zap.String("worker", place.Worker.Name), zap.Uint64("fence", place.Fence), zap.Stringer("id", o.ID))
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		fate, answer, err := k.exchange(ctx, place.Worker.Address, c)
		k.control.post(callEnded{kept: p, message: m, ended: errors.Is(err, forwarder.ErrClosedByPeer), answered: keeper.Answered{ID: o.ID, Attempt: o.Attempt, Result: fate, Answer: answer}})
	}()
}

// callEnded is the end of a call to a backend server.
type callEnded struct {
	kept     *kept
	message  messenger.Once
	ended    bool // the worker's end of the connection closed under it
	answered keeper.Answered
}

func (callEnded) event() {}

func (k *keeping) ended(now time.Time, e callEnded) {
	a := e.answered
	if x := e.kept.places[attempt{a.ID, a.Attempt}]; x != nil && x.place != nil {
		x.use = server.Usage{
			Failed: a.Result != keeper.CallRan, FirstByte: now.Sub(x.granted), ClosedByPeer: e.ended, Took: now.Sub(x.granted),
			Fingerprint: server.Fingerprint(e.message.Ask.Organisation, e.message.Service, e.message.Method, e.message.Path, e.message.Body),
		}
		if a.Answer != nil {
			x.use.Tokens = len(a.Answer.Body) / 4
		}
		if a.Result == keeper.CallNotRun {
			if len(e.kept.tried) >= mostTried {
				clear(e.kept.tried)
			}
			e.kept.tried[a.ID] = append(e.kept.tried[a.ID], x.place.Worker.Name)
		} else {
			delete(e.kept.tried, a.ID)
		}
	}
	k.handle(now, e.kept, a)
}

// exchange does one call and tells what is known of it. An answer whose end can't
// be told from a cut is taken for a cut one.
func (k *keeping) exchange(ctx context.Context, address string, c forwarder.Call) (keeper.CallResult, *keeper.Answer, error) {
	answer, err := k.forward.Do(ctx, address, c)
	switch {
	case errors.Is(err, forwarder.ErrNotRun):
		return keeper.CallNotRun, nil, err
	case err != nil:
		return keeper.CallUnknown, nil, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, k.limits.MaxAnswer+1))
	if err != nil || !answer.Framed || !whole(answer.Header, body) {
		return keeper.CallUnknown, nil, err
	}
	if int64(len(body)) > k.limits.MaxAnswer {
		return keeper.CallRan, tooLarge(k.limits.MaxAnswer), nil
	}
	return keeper.CallRan, &keeper.Answer{Status: answer.Status, Header: answer.Header, Body: body}, nil
}

// whole says whether an event stream came to its end mark; it has no length that
// would tell.
func whole(h http.Header, body []byte) bool {
	stream := strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
	return !stream || bytes.HasSuffix(bytes.TrimSpace(body), []byte("data: [DONE]"))
}

// tooLarge stands for an answer that does not fit a frame: the call ran.
func tooLarge(limit int64) *keeper.Answer {
	body := fmt.Sprintf(`{"error":{"message":"the call ran; its answer is over %d bytes: ask the service","type":"server_error","code":"answer_too_large","run":"yes"}}`, limit)
	h := http.Header{"Content-Type": {"application/json"}, server.HeaderRun: {string(server.RunYes)}}
	return &keeper.Answer{Status: http.StatusBadGateway, Header: h, Body: []byte(body)}
}
