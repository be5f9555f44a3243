package runner

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/forwarder"
	"github.com/cicadawood/cicadawood/keeper"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/quarantiner"
	"github.com/cicadawood/cicadawood/reserver"
	"github.com/cicadawood/cicadawood/server"
)

// outcomeGrace is how long past its deadline a call that was sent may run: its outcome is
// still needed for a repeated key.
const outcomeGrace = 10 * time.Second

// maxTriedOperations bounds the operations whose refusing workers are remembered.
// Forgetting one costs an unnecessary attempt.
const maxTriedOperations = 1024

// placeAcquired completes an Acquire with a place.
type placeAcquired struct {
	keeper  *partitionKeeper
	attempt attempt
	place   server.Place
}

// keeperInput is an input for a keeper.
type keeperInput struct {
	keeper *partitionKeeper
	input  keeper.Input
}

func (placeAcquired) event() {}
func (keeperInput) event()   {}

// acquire requests a place from the dispatcher, as for any other request.
func (k *onceManager) acquire(now time.Time, p *partitionKeeper, o keeper.Acquire) {
	m := p.payloads[o.Request].message
	ask := m.Ask
	k.placeRequests++
	ask.Request = fmt.Sprintf("%s.%d", o.Request, k.placeRequests)
	ask.Exclude = p.triedWorkers[o.ID]
	ask.Deadline = max(p.payloads[o.Request].deadline.Sub(now), 0)
	ctx, cancel := context.WithCancel(context.Background())
	key := attempt{o.ID, o.Attempt}
	p.acquisitions[key] = &acquisition{cancel: cancel}
	go func() {
		place, err := k.control.Acquire(ctx, m.Service, ask)
		if err == nil {
			k.control.post(placeAcquired{keeper: p, attempt: key, place: place})
			return
		}
		u := keeper.Unplaced{ID: o.ID, Attempt: o.Attempt, Reason: keeper.ReasonCaller}
		var r server.Refusal
		if errors.As(err, &r) {
			u.Reason, u.RetryAfter = r.Reason, r.RetryAfter
		}
		k.postInput(p, u)
	}()
}

func (k *onceManager) handlePlace(now time.Time, e placeAcquired) {
	x := e.keeper.acquisitions[e.attempt]
	if x == nil { // released in the meantime
		k.control.finishCall(now, placeReleased{place: e.place})
		return
	}
	x.place, x.grantedAt = &e.place, now
	k.handle(now, e.keeper, keeper.Placed{ID: e.attempt.id, Attempt: e.attempt.number})
}

func (k *onceManager) release(now time.Time, p *partitionKeeper, o keeper.Release) {
	key := attempt{o.ID, o.Attempt}
	x := p.acquisitions[key]
	if x == nil {
		return
	}
	delete(p.acquisitions, key)
	x.cancel()
	if x.place != nil {
		k.control.finishCall(now, placeReleased{place: *x.place, usage: x.usage})
	}
}

// send sends a call to its worker. The keeper has recorded its intent.
func (k *onceManager) send(now time.Time, p *partitionKeeper, o keeper.Send) {
	x := p.acquisitions[attempt{o.ID, o.Attempt}]
	pl, ok := p.payloads[o.Request]
	if x == nil || x.place == nil || !ok {
		// The deadline passed in this same tick: the call was not sent.
		go k.postInput(p, keeper.Answered{ID: o.ID, Attempt: o.Attempt, Result: keeper.CallNotRun})
		return
	}
	m := pl.message
	c := forwarder.Call{Method: m.Method, Path: m.Path, Header: http.Header(m.Header), Body: m.Body, RequestID: o.Request, Fence: x.place.Fence, Tier: m.Tier}
	place, limit := *x.place, pl.deadline.Sub(now)+outcomeGrace
	k.log.Info("send", zap.String("request", o.Request), zap.String("worker", place.Worker.Name), zap.Uint64("fence", place.Fence), zap.Stringer("id", o.ID))
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		sentAt := time.Now()
		result, answer, err := k.callWorker(ctx, place.Worker.Address, c)
		if errors.Is(err, forwarder.ErrClosedByPeer) {
			k.control.reportCrash(place.Worker.Name, fingerprintOf(m), sentAt)
		}
		k.control.post(callFinished{keeper: p, message: m, closedByPeer: errors.Is(err, forwarder.ErrClosedByPeer), answered: keeper.Answered{ID: o.ID, Attempt: o.Attempt, Result: result, Answer: answer}})
	}()
}

// callFinished is the end of a call to a backend server.
type callFinished struct {
	keeper       *partitionKeeper
	message      messenger.Once
	closedByPeer bool // the worker closed the connection during the call
	answered     keeper.Answered
}

func (callFinished) event() {}

func (k *onceManager) handleFinished(now time.Time, e callFinished) {
	a := e.answered
	if x := e.keeper.acquisitions[attempt{a.ID, a.Attempt}]; x != nil && x.place != nil {
		x.usage = server.Usage{
			Failed: a.Result != keeper.CallRan, FirstByte: now.Sub(x.grantedAt), ClosedByPeer: e.closedByPeer, Took: now.Sub(x.grantedAt),
			Fingerprint: fingerprintOf(e.message),
		}
		if a.Answer != nil {
			x.usage.Tokens = len(a.Answer.Body) / 4
		}
		if a.Result == keeper.CallNotRun {
			if len(e.keeper.triedWorkers) >= maxTriedOperations {
				clear(e.keeper.triedWorkers)
			}
			e.keeper.triedWorkers[a.ID] = append(e.keeper.triedWorkers[a.ID], x.place.Worker.Name)
		} else {
			delete(e.keeper.triedWorkers, a.ID)
		}
	}
	k.handle(now, e.keeper, a)
}

func fingerprintOf(m messenger.Once) quarantiner.Fingerprint {
	return server.Fingerprint(m.Ask.Organisation, m.Service, m.Method, m.Path, m.Body)
}

// callWorker sends one call and returns what is known of its outcome. An answer whose
// end can't be distinguished from a broken connection counts as cut off.
func (k *onceManager) callWorker(ctx context.Context, address string, c forwarder.Call) (keeper.CallResult, *keeper.Answer, error) {
	answer, err := k.forward.Do(ctx, address, c)
	switch {
	case errors.Is(err, forwarder.ErrNotRun):
		return keeper.CallNotRun, nil, err
	case err != nil:
		return keeper.CallUnknown, nil, err
	}
	defer answer.Body.Close()
	reserved := k.memory.Reserve(reserver.Answer)
	defer reserved.Release()
	body, err := reserved.ReadAll(answer.Body, answer.Length, k.limits.MaxAnswer)
	switch {
	case errors.Is(err, reserver.ErrTooLarge) && answer.Framed && isComplete(answer.Header, body):
		return keeper.CallRan, answerTooLarge(k.limits.MaxAnswer), nil
	case err != nil || !answer.Framed || !isComplete(answer.Header, body):
		return keeper.CallUnknown, nil, err
	}
	return keeper.CallRan, &keeper.Answer{Status: answer.Status, Header: answer.Header, Body: body}, nil
}

// isComplete returns false for an event stream without its end marker, which has no length
// to check.
func isComplete(h http.Header, body []byte) bool {
	stream := strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
	return !stream || bytes.HasSuffix(bytes.TrimSpace(body), []byte("data: [DONE]"))
}

// answerTooLarge replaces an answer that does not fit into a frame. The call ran.
func answerTooLarge(limit int64) *keeper.Answer {
	body := fmt.Sprintf(`{"error":{"message":"the call ran; its answer is over %d bytes: ask the service","type":"server_error","code":"answer_too_large","run":"yes"}}`, limit)
	h := http.Header{"Content-Type": {"application/json"}, server.HeaderRun: {string(server.RunYes)}}
	return &keeper.Answer{Status: http.StatusBadGateway, Header: h, Body: []byte(body)}
}
