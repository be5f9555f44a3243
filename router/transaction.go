package router

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/reserver"
)

// maxSends is the maximum number of workers that a request is sent to, including those
// that refused it.
const maxSends = 4

// Errors of a send.
var (
	errNotRun         = errors.New("the worker did not run the request")
	errUnsealed       = errors.New("the answer has no seal")
	errEncoded        = errors.New("the answer's body has a content encoding")
	errImpliesNotRun  = errors.New("the status implies that the request was not run, but the worker does not confirm it")
	errWorkerFailed   = errors.New("the worker answered with an error")
	errTruncatedEvent = errors.New("the stream ended inside an event")
	errOtherStart     = errors.New("the worker may have started again at another version")
	errHostFull       = errors.New("this host has no memory for a usual answer")
	errSilent         = errors.New("the worker did not begin its answer in time")
)

// transaction is one request of a caller across all its sends. A send is one attempt at
// one worker.
type transaction struct {
	router   *Router
	q        *request
	delivery *delivery

	sends            int  // number of workers that the request was sent to
	mayHaveRunCount  int  // number of sends that a worker may have run
	mayHaveRun       bool // a worker may have run the request
	cause            error
	worker           string
	reused           bool          // the last send used an existing connection
	framed           bool          // a truncated answer to the last send would have been noticed
	expectedWait     time.Duration // until the first event of the last send
	sentAt           time.Time
	timeToFirst      time.Duration // measured until the first event; 0 before it
	promptTokens     int
	via              string // host through which the last send went; "" for none
	path             *pathWatch
	origin           origin
	placedBy         string // host that chose the worker; "" is this host
	source           string // address of the worker that the KV cache was fetched from; "" for none
	lastEventID      string // ID of the last event passed to the caller
	workerError      *storedAnswer
	refused          *Refused // set if no further worker was found
	transmitted      int      // number of sends that left this host
	charged          bool     // the retry budget has counted the request
	repeats          repeats
	stopSilenceTimer func() // stops the silence timeout of the current send

	workerLeaving bool          // an answer to the last send reported that its worker is leaving
	retryAfter    time.Duration // for which an answer to the last send wanted no more requests; 0 is none
}

// serve sends the request to one worker after another until the caller has its answer or
// the request must not be sent again.
func (t *transaction) serve(caller context.Context) *failure {
	ctx, cancel := t.q.withTimeout(caller)
	defer cancel()
	if f := t.resolveOrigin(caller, ctx); f != nil {
		return f
	}
	for {
		t.q.placement.Left = t.q.timeLeft(time.Now())
		if t.lastEventID != "" {
			t.q.placement.Expected = 0 // the remaining length is unknown
		}
		placement, err := t.router.Placer.Place(ctx, t.q.placement, t.charge())
		if err != nil {
			return t.notPlaced(caller, err)
		}
		t.repeats.begin(placement.Repeat)
		if !sleep(ctx, placement.Delay) {
			t.cancelRepeat(placement)
			t.router.Placer.Ended(placement, placer.Canceled)
			return t.timedOut(caller)
		}
		if placement.Delay > 0 && !t.router.Placer.Accepts(ctx, placement, t.q.placement) {
			t.cancelRepeat(placement)
			t.router.Placer.Ended(placement, placer.Canceled)
			continue
		}
		t.sends++
		t.worker, t.expectedWait, t.promptTokens, t.placedBy, t.source = placement.Worker.Name, placement.ExpectedWait, placement.PromptTokens, placement.PlacedBy, placement.Source
		t.sentAt = time.Now()
		t.workerLeaving, t.retryAfter, t.via = false, 0, ""
		err = t.send(ctx, placement)
		t.endRepeat(placement, err)
		t.router.Placer.Ended(placement, t.outcome(caller, placement, err))
		if err == nil {
			t.router.Origins.Finished(t.origin.keys)
			return nil
		}
		t.cause = err
		if t.via == "" && errors.Is(err, connector.ErrLost) {
			t.router.Reach.Suspect(placement.Worker.Address)
		}
		if !errors.Is(err, connector.ErrNotSent) {
			t.transmitted++
		}
		f, final := t.afterFailure(caller, ctx, err)
		t.log(placement, final)
		t.router.Metrics.observeFailedSend(err, !final)
		if final {
			return f
		}
		t.q.placement.Exclude = append(t.q.placement.Exclude, placement.Worker.Name)
	}
}

// log records a failed send, with the figures behind the decision and whether it was the
// last.
func (t *transaction) log(p Placement, final bool) {
	fields := []zap.Field{
		zap.String("request", t.q.ID), zap.Stringer("fingerprint", t.q.fingerprint), zap.String("parts", t.q.loggedParts()), zap.Int("send", t.sends), zap.String("worker", p.Worker.Name),
		zap.Duration("after", time.Since(t.sentAt)), zap.Bool("ended", errors.Is(t.cause, connector.ErrClosedByPeer)),
		zap.String("address", p.Worker.Address), zap.Bool("kept", t.reused), zap.Duration("age", p.ListAge), zap.Duration("expected", p.ExpectedWait),
		zap.Int("read", p.PromptTokens), zap.Bool("exposed", t.mayHaveRun), zap.Bool("passed", t.delivery.headSent), zap.String("last", t.lastEventID),
		zap.Bool("repeatable", t.q.Repeatable()), zap.Duration("left", t.q.timeLeft(time.Now())), zap.Bool("final", final), zap.Error(t.cause),
	}
	t.router.Log.Warn("send", append(fields, t.availabilityFields()...)...)
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// notPlaced returns the response to a request for which no further worker was found.
func (t *transaction) notPlaced(caller context.Context, err error) *failure {
	var refused Refused
	if !errors.As(err, &refused) {
		return t.timedOut(caller)
	}
	t.router.Metrics.observeRefusal(t.q, refused)
	t.refused = &refused
	if t.passWorkerError() {
		return nil
	}
	if t.delivery.headSent {
		return unanswered(true, codeAnswerCut, 0)
	}
	if t.mayHaveRun {
		return unanswered(true, codeAnswerLost, 0)
	}
	return unanswered(false, refused.Reason, refused.RetryAfter)
}

// timedOut returns the response to a request whose caller has disconnected or whose
// deadline has passed.
func (t *transaction) timedOut(caller context.Context) *failure {
	if caller.Err() != nil {
		return &failure{status: statusGone, code: codeCallerGone}
	}
	return unanswered(t.mayHaveRun, codeTimeout, defaultRetryAfter)
}

// afterFailure decides what follows a failed send. It returns false if the request may
// be sent again; otherwise the error response, which is nil if the caller already has an
// answer. A request that may have run is sent again only if it is repeatable, and once
// the caller has part of an answer, only the remaining part may follow.
func (t *transaction) afterFailure(caller, ctx context.Context, err error) (*failure, bool) {
	switch {
	case caller.Err() != nil, errors.Is(err, errCallerWrite):
		return &failure{status: statusGone, code: codeCallerGone}, true
	case ctx.Err() != nil:
		if t.passWorkerError() {
			return nil, true
		}
		return t.timedOut(caller), true
	case errors.Is(err, connector.ErrNotSent), errors.Is(err, errNotRun):
		return unanswered(t.mayHaveRun, codeWorkerRefused, shortRetryAfter), t.sends >= maxSends
	}
	if t.delivery.headSent && errors.Is(err, reserver.ErrTooManyEvents) {
		// What the caller has is no part of an answer that could go on.
		return unanswered(true, codeAnswerCut, 0), true
	}
	resumable := !t.delivery.headSent || t.q.Stream && t.lastEventID != ""
	if t.q.Repeatable() && resumable && t.mayHaveRunCount < t.q.MaxAttempts && t.sends < maxSends {
		return nil, false
	}
	if t.passWorkerError() {
		return nil, true
	}
	if t.delivery.headSent {
		return unanswered(true, codeAnswerCut, 0), true
	}
	return unanswered(true, codeAnswerLost, 0), true
}

// release gives back the memory of the request and of a stored answer.
func (t *transaction) release() {
	t.q.reserved.Release()
	if t.workerError != nil {
		t.workerError.body.Release()
	}
}

// send sends the request to one worker and passes the answer on. It returns nil only if
// the caller has the whole answer.
func (t *transaction) send(ctx context.Context, p Placement) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t.stopSilenceTimer = func() {}
	if bound := t.silenceTimeout(p); bound > 0 {
		stop := t.watchSilence(ctx, p, bound, cancel)
		defer stop()
		t.stopSilenceTimer = stop
	}
	t.path = t.watchPath(p, cancel)
	defer t.path.stop()
	header := t.q.header.Clone()
	t.router.Dialect.WriteRequest(header, WorkerHead{
		Worker: p.Worker.Name, TimeLeft: t.q.timeLeft(time.Now()), Organisation: t.q.organisation,
		Engine: p.Worker.CacheTokens > 0, Rank: t.q.rank, Ranks: t.q.index.ranks(), LastEventID: t.lastEventID, Source: p.Source,
	})
	answer, err := t.router.Pool.Do(ctx, p.Worker.Address, connector.Call{
		Request: t.q.ID,
		Connected: func(via string) {
			t.via, p.Via = via, via
			if via != "" {
				t.path.stop()
			}
		},
		Method: t.q.method, Target: t.q.uri, Host: t.q.host, Header: header, Body: t.q.body,
		Matches: func(h http.Header) bool {
			id := t.router.Dialect.ReadAnswer(0, h).ID
			return id == "" || id == t.q.ID
		},
		Skipped: func(status int, h http.Header) {
			t.noteAvailability(p, t.router.Dialect.ReadAnswer(status, h))
		},
		FreshOnly: !t.q.Repeatable(),
	})
	if err != nil {
		return t.recordFailure(err)
	}
	defer answer.Close()
	t.reused, t.framed = answer.Reused(), answer.Framed
	return t.handleAnswer(ctx, p, answer)
}

// recordFailure notes whether a failed send may have run, and returns its error.
func (t *transaction) recordFailure(err error) error {
	if !errors.Is(err, connector.ErrNotSent) && !errors.Is(err, errNotRun) {
		t.recordRun()
	}
	return err
}

func (t *transaction) recordRun() {
	t.mayHaveRun = true
	t.mayHaveRunCount++
}

// handleAnswer checks the head of an answer and passes the answer on.
func (t *transaction) handleAnswer(ctx context.Context, p Placement, a *connector.Answer) error {
	t.repeatArrived()
	v := t.router.Dialect.ReadAnswer(a.Status, a.Header)
	t.reportRate(p, v.Limit)
	t.noteAvailability(p, v)
	ok := a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices
	switch {
	case v.NotRun:
		a.Discard()
		if v.OtherWorker {
			t.router.Pool.CloseIdle(p.Worker.Address)
			return fmt.Errorf("%w: %w", errNotRun, errOtherWorker)
		}
		return fmt.Errorf("%w: status %d", errNotRun, a.Status)
	case ok && !v.Sealed:
		return t.recordFailure(fmt.Errorf("%w: status %d", errUnsealed, a.Status))
	case a.Header.Get("Content-Encoding") != "":
		return t.recordFailure(errEncoded)
	case ok && t.q.Stream && strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream"):
		return t.passStream(ctx, p, a)
	case t.delivery.headSent:
		a.Discard()
		return t.recordFailure(fmt.Errorf("%w: status %d in place of a stream", errWorkerFailed, a.Status))
	}
	if ok && t.q.Stream && !t.mayPass(ctx, p, a.OpenedAt()) {
		return t.recordFailure(errOtherStart)
	}
	return t.passWhole(ctx, p, a, v)
}

// reportRate forwards the request rate stated by the worker to the placer.
func (t *transaction) reportRate(p Placement, l Limit) {
	switch {
	case l.Invalid != "":
		t.router.Log.Warn("limit", zap.String("request", t.q.ID), zap.String("worker", p.Worker.Name), zap.String("state", "unreadable"), zap.String("said", l.Invalid))
	case l.Rate > 0 || p.RateLimit > 0:
		t.router.Placer.RateReported(p, l.Rate)
	}
}

// confirmEnd checks that an answer that ended with its connection is whole: its worker goes on, and has
// not ended and started again before this host read the end.
func (t *transaction) confirmEnd(ctx context.Context, p Placement, a *connector.Answer) error {
	if err := a.ConfirmEnd(t.probe(p)); err != nil || a.Framed {
		return err
	}
	var by Confirmation
	if t.q.Stream {
		by.Since, by.FromStart = a.ConfirmedSince()
	}
	if t.router.Origins.Replaced(ctx, p.Worker.Software(), by) {
		return fmt.Errorf("%w: %w: another start of it may answer", connector.ErrLost, connector.ErrClosedByPeer)
	}
	return nil
}

// probe returns a call by which a worker shows that it goes on.
func (t *transaction) probe(p Placement) connector.Call {
	service := t.q.index.folder.Services[t.q.service]
	target, header := t.router.Dialect.Probe(p.Worker.Name, service)
	return connector.Call{
		Request: t.q.ID, Method: http.MethodGet, Target: target, Host: p.Worker.Address, Header: header,
		// A probe has no ID: an answer that has one is a late answer to a request.
		Matches: func(h http.Header) bool { return t.router.Dialect.ReadAnswer(0, h).ID == "" },
	}
}
