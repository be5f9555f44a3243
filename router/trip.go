package router

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

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/placer"
)

// sendsMost is how many workers a request is sent to in all, those that refused it
// included.
const sendsMost = 4

// Errors of a send.
var (
	errNotRun   = errors.New("the worker did not run it")
	errUnsealed = errors.New("the answer is not vouched for")
	errEncoded  = errors.New("the answer's body is encoded")
	errPromise  = errors.New("the worker's status promises what it does not say")
	errFailed   = errors.New("the worker failed it")
	errShort    = errors.New("the stream ended inside an event")
	errSilent   = errors.New("no answer in time")
)

// trip is one request over all its sends.
type trip struct {
	router   *Router
	q        *request
	delivery *delivery

	sends    int  // workers that it was sent to
	runs     int  // of these, those that may have run it
	exposed  bool // a worker may have run it
	cause    error
	worker   string
	kept     bool          // its connection had served before
	expected time.Duration // until the first event, of the last send
	sent     time.Time
	seen     time.Duration // until the first event, as it came; 0 before
	read     int
	by       string // host that chose the worker; "" is this one
	source   string // address of the worker that it fetched memory from; "" is none
	last     string // id of the last event passed
	failed   *keptAnswer
	refused  *Refused // that no worker was to get it
	arrivals int      // sends that left
	heard    func()   // ends the bound on the silence of the send under way
}

// keptAnswer is a worker's failure that is passed only where no other worker does
// better.
type keptAnswer struct {
	status int
	header http.Header
	body   []byte
}

// serve sends the request to workers, one after the other, until the caller has
// its answer or it may be sent no more.
func (t *trip) serve(caller context.Context) *failure {
	ctx, cancel := t.q.timeout(caller)
	defer cancel()
	for {
		t.q.ask.Left = t.q.left(time.Now())
		if t.last != "" {
			t.q.ask.Expected = 0 // how much of it is left is not known
		}
		place, err := t.router.Placer.Place(ctx, t.q.ask, t.arrivals > 0)
		if err != nil {
			return t.unplaced(caller, err)
		}
		if !wait(ctx, place.Delay) {
			t.router.Placer.Ended(place, placer.Canceled)
			return t.timedOut(caller)
		}
		t.sends++
		t.worker, t.expected, t.read, t.by, t.source = place.Worker.Name, place.ExpectedWait, place.PromptTokens, place.PlacedBy, place.Source
		t.sent = time.Now()
		err = t.send(ctx, place)
		t.router.Placer.Ended(place, t.outcome(caller, err))
		if err == nil {
			return nil
		}
		t.cause = err
		if !errors.Is(err, connector.ErrNotSent) {
			t.arrivals++
		}
		f, final := t.final(caller, ctx, err)
		t.log(place, final)
		t.router.Metrics.send(err, !final)
		if final {
			return f
		}
		t.q.ask.Exclude = append(t.q.ask.Exclude, place.Worker.Name)
	}
}

// log tells of a send that failed: what it was decided by, and whether it was the
// last.
func (t *trip) log(p Placement, final bool) {
	t.router.Log.Warn("send", zap.String("request", t.q.ID), zap.Stringer("fingerprint", t.q.fingerprint), zap.Int("send", t.sends), zap.String("worker", p.Worker.Name),
		zap.Duration("after", time.Since(t.sent)), zap.Bool("ended", errors.Is(t.cause, connector.ErrClosedByPeer)),
		zap.String("address", p.Worker.Address), zap.Bool("kept", t.kept), zap.Duration("age", p.ListAge), zap.Duration("expected", p.ExpectedWait),
		zap.Int("read", p.PromptTokens), zap.Bool("exposed", t.exposed), zap.Bool("passed", t.delivery.begun), zap.String("last", t.last),
		zap.Bool("repeatable", t.q.Repeatable()), zap.Duration("left", t.q.left(time.Now())), zap.Bool("final", final), zap.Error(t.cause))
}

// wait waits; false where ctx ends first.
func wait(ctx context.Context, d time.Duration) bool {
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

// unplaced is the answer to a request that got no further worker.
func (t *trip) unplaced(caller context.Context, err error) *failure {
	var refused Refused
	if !errors.As(err, &refused) {
		return t.timedOut(caller)
	}
	t.router.Metrics.refuse(t.q, refused)
	t.refused = &refused
	if t.pass() {
		return nil
	}
	if t.delivery.begun {
		return gaveUp(true, codeCut, 0)
	}
	if t.exposed {
		return gaveUp(true, codeLost, 0)
	}
	return gaveUp(false, refused.Reason, refused.After)
}

// timedOut is the answer to a request whose caller has left or whose time is up.
func (t *trip) timedOut(caller context.Context) *failure {
	if caller.Err() != nil {
		return &failure{status: statusGone, code: codeGone}
	}
	return gaveUp(t.exposed, codeTimeout, comeBack)
}

// final is the answer after a send that failed, nil where the caller has it
// already; false says that the request may be sent again. Nothing that may have
// run is sent again unless it may be repeated; once part of an answer is with the
// caller, only the rest may follow.
func (t *trip) final(caller, ctx context.Context, err error) (*failure, bool) {
	switch {
	case caller.Err() != nil, errors.Is(err, errCaller):
		return &failure{status: statusGone, code: codeGone}, true
	case ctx.Err() != nil:
		if t.pass() {
			return nil, true
		}
		return t.timedOut(caller), true
	case errors.Is(err, connector.ErrNotSent), errors.Is(err, errNotRun):
		return gaveUp(t.exposed, codeNotRun, comeBackSoon), t.sends >= sendsMost
	}
	resumable := !t.delivery.begun || t.q.Stream && t.last != ""
	if t.q.Repeatable() && resumable && t.runs < t.q.Attempts && t.sends < sendsMost {
		return nil, false
	}
	if t.pass() {
		return nil, true
	}
	if t.delivery.begun {
		return gaveUp(true, codeCut, 0), true
	}
	return gaveUp(true, codeLost, 0), true
}

// pass gives the caller the failure that a worker answered, if there is one.
func (t *trip) pass() bool {
	k := t.failed
	if k == nil || t.delivery.begun {
		return false
	}
	t.delivery.head(k.status, k.header, len(k.body))
	return t.delivery.write(k.body) == nil
}

// outcome is what a send says of its worker.
func (t *trip) outcome(caller context.Context, err error) placer.Outcome {
	switch {
	case err == nil:
		return placer.Answered
	case caller.Err() != nil, errors.Is(err, errCaller):
		return placer.Canceled
	case errors.Is(err, errMisled):
		return placer.WrongWorker
	case errors.Is(err, errNotRun):
		return placer.Refused
	case errors.Is(err, errFailed):
		return placer.Errored
	case errors.Is(err, connector.ErrClosedByPeer):
		return placer.Disconnected
	}
	return placer.Broken
}

// errMisled comes with errNotRun: another worker has the address.
var errMisled = errors.New("another worker has the address")

// silence bounds the wait for the head of an answer, so that another worker can
// still be tried; 0 leaves the whole time. Only what may be repeated has a bound.
func (t *trip) silence(p Placement) time.Duration {
	if !t.q.Repeatable() || t.runs+1 >= t.q.Attempts {
		return 0
	}
	bound := max(silenceWaits*p.ExpectedWait, silenceTargets*t.q.First.Std())
	return min(bound, t.q.left(time.Now())/2)
}

const (
	// silenceWaits and silenceTargets are how many times what was expected, and how
	// many targets, a worker may stay silent on a request that may be repeated.
	silenceWaits   = 4
	silenceTargets = 2
)

// send sends the request to one worker and passes the answer on. It returns nil
// only where the caller has the whole answer.
func (t *trip) send(ctx context.Context, p Placement) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t.heard = func() {}
	if bound := t.silence(p); bound > 0 {
		timer := time.AfterFunc(bound, func() { cancel(errSilent) })
		defer timer.Stop()
		t.heard = func() { timer.Stop() }
	}
	header := t.q.header.Clone()
	t.router.Dialect.WriteRequest(header, WorkerHead{
		Worker: p.Worker.Name, TimeLeft: t.q.left(time.Now()), Organisation: t.q.organisation,
		Engine: p.Worker.CacheTokens > 0, Rank: t.q.rank, Ranks: t.q.index.ranks(), LastEventID: t.last, Source: p.Source,
	})
	answer, err := t.router.Pool.Do(ctx, p.Worker.Address, connector.Call{
		Method: t.q.method, Target: t.q.uri, Host: t.q.host, Header: header, Body: t.q.body,
		Matches: func(h http.Header) bool {
			id := t.router.Dialect.ReadAnswer(0, h).ID
			return id == "" || id == t.q.ID
		},
		FreshOnly: !t.q.Repeatable(),
	})
	if err != nil {
		return t.lost(err)
	}
	defer answer.Close()
	t.kept = answer.Reused()
	return t.answer(p, answer)
}

// lost notes a send whose answer did not come whole.
func (t *trip) lost(err error) error {
	if !errors.Is(err, connector.ErrNotSent) && !errors.Is(err, errNotRun) {
		t.ran()
	}
	return err
}

func (t *trip) ran() {
	t.exposed = true
	t.runs++
}

// answer looks at the head of an answer, and passes the answer on.
func (t *trip) answer(p Placement, a *connector.Answer) error {
	v := t.router.Dialect.ReadAnswer(a.Status, a.Header)
	t.limit(p, v.Limit)
	ok := a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices
	switch {
	case v.NotRun:
		t.skip(a)
		if v.OtherWorker {
			t.router.Pool.CloseIdle(p.Worker.Address)
			return fmt.Errorf("%w: %w", errNotRun, errMisled)
		}
		return fmt.Errorf("%w: status %d", errNotRun, a.Status)
	case ok && !v.Sealed:
		return t.lost(fmt.Errorf("%w: status %d", errUnsealed, a.Status))
	case a.Header.Get("Content-Encoding") != "":
		return t.lost(errEncoded)
	case ok && t.q.Stream && strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream"):
		return t.stream(p, a)
	case t.delivery.begun:
		t.skip(a)
		return t.lost(fmt.Errorf("%w: status %d in place of a stream", errFailed, a.Status))
	}
	return t.whole(p, a, v)
}

// limit takes how many requests a second the worker says that it takes.
func (t *trip) limit(p Placement, l Limit) {
	switch {
	case l.Invalid != "":
		t.router.Log.Warn("limit", zap.String("request", t.q.ID), zap.String("worker", p.Worker.Name), zap.String("state", "unreadable"), zap.String("said", l.Invalid))
	case l.Rate > 0 || p.RateLimit > 0:
		t.router.Placer.RateReported(p, l.Rate)
	}
}

// skip reads a short answer to its end, so that its connection can be kept.
func (t *trip) skip(a *connector.Answer) {
	const most = 16 << 10
	if _, err := io.CopyN(io.Discard, a, most); errors.Is(err, io.EOF) {
		a.Finish()
	}
}

// whole reads an answer to its end before it passes any of it, so that a broken
// one never reaches the caller as if it were whole.
func (t *trip) whole(p Placement, a *connector.Answer, v AnswerHead) error {
	t.heard()
	var b bytes.Buffer
	n, err := io.Copy(&b, io.LimitReader(a, t.router.MaxAnswer+1))
	if err != nil {
		return t.lost(err)
	}
	if n > t.router.MaxAnswer {
		return t.lost(fmt.Errorf("the answer is over %d bytes", t.router.MaxAnswer))
	}
	a.Finish()
	t.router.Placer.Started(p, time.Since(t.sent))
	if a.Status >= http.StatusInternalServerError || promises(a.Status) {
		t.ran()
		if !promises(a.Status) {
			t.failed = &keptAnswer{status: a.Status, header: a.Header, body: b.Bytes()}
			return fmt.Errorf("%w: status %d", errFailed, a.Status)
		}
		return fmt.Errorf("%w: status %d, sealed=%t", errPromise, a.Status, v.Sealed)
	}
	t.delivery.head(a.Status, a.Header, b.Len())
	return t.delivery.write(b.Bytes())
}
