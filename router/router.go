package router

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/quarantiner"
)

// Config is what a Router is made with.
type Config struct {
	Dialect       Dialect
	Configuration Configuration
	Placer        Placer
	Pool          *connector.Pool
	Log           *zap.Logger
	Metrics       *Metrics
	MaxAnswer     int64         // bytes of an answer that is held until it is whole
	WriteTimeout  time.Duration // for a caller to take a piece of its answer
	MaxBuffered   int64         // bytes of requests and answers held at once
}

// Router is an http.Handler for host routes.
type Router struct {
	Config
	index atomic.Pointer[index]
	held  atomic.Int64 // bytes
}

// New returns a router.
func New(c Config) *Router { return &Router{Config: c} }

// look is the index of the configuration in force, nil before the first.
func (r *Router) look() *index {
	f, generation := r.Configuration.Folder()
	if f == nil {
		return nil
	}
	if x := r.index.Load(); x != nil && x.folder == f {
		return x
	}
	x := newIndex(f, generation)
	r.index.Store(x)
	return x
}

// request is one caller's request.
type request struct {
	RequestHead
	target
	index        *index
	service      string
	organisation string
	tier         int
	rank         int // among the index's ranks
	started      time.Time
	method       string
	uri          string
	host         string
	header       http.Header
	body         []byte
	fingerprint  quarantiner.Fingerprint // of what it asks for, whatever its id
	ask          placer.Request
}

// ServeHTTP implements http.Handler.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	q := &request{
		RequestHead: r.Dialect.ReadRequest(req.Header), started: time.Now(),
		method: req.Method, uri: req.RequestURI, host: req.Host,
	}
	d := &delivery{w: w, control: http.NewResponseController(w), stall: r.WriteTimeout}
	t := &trip{router: r, q: q, delivery: d}
	f := r.check(q, w, req)
	if f == nil {
		defer r.held.Add(-int64(len(q.body)))
		f = t.serve(req.Context())
	}
	r.end(t, f)
}

// end answers a request that got no answer, and logs either.
func (r *Router) end(t *trip, f *failure) {
	code, status := "answered", t.delivery.status
	abort := false
	if f != nil {
		code, status = f.code, f.status
		switch {
		case f.status == statusGone:
			abort = true
		case t.delivery.begun:
			// Part of the answer is with the caller: only a broken connection says
			// that the rest is missing.
			abort = true
		default:
			f.write(t.delivery.w, r.Dialect, t.q.ID)
		}
	}
	r.Metrics.request(t, code)
	r.log(t, code, status, f)
	if abort {
		panic(http.ErrAbortHandler)
	}
}

func (r *Router) log(t *trip, code string, status int, f *failure) {
	q := t.q
	fields := []zap.Field{
		zap.String("request", q.ID), zap.Stringer("fingerprint", q.fingerprint), zap.String("route", q.name), zap.String("service", q.service), zap.Int("tier", q.tier), zap.Int("rank", q.rank), zap.Duration("target", q.First.Std()),
		zap.String("outcome", code), zap.Int("status", status), zap.Int("sends", t.sends), zap.Bool("exposed", t.exposed),
		zap.Duration("took", time.Since(q.started)), zap.Int("bytes", t.delivery.bytes), zap.String("worker", t.worker), zap.Bool("kept", t.kept),
		zap.Duration("expected", t.expected), zap.Int("read", t.read),
	}
	if !t.delivery.first.IsZero() {
		fields = append(fields, zap.Duration("first", t.delivery.first.Sub(q.started)), zap.Duration("pause", t.delivery.pause))
	}
	if !t.sent.IsZero() {
		fields = append(fields, zap.Duration("sent", t.sent.Sub(q.started)))
	}
	if q.index != nil {
		fields = append(fields, zap.Uint64("generation", q.index.generation))
	}
	if t.source != "" {
		fields = append(fields, zap.String("source", t.source))
	}
	if t.by != "" {
		fields = append(fields, zap.String("by", t.by))
	}
	if t.cause != nil {
		fields = append(fields, zap.String("cause", t.cause.Error()))
	}
	if t.refused != nil {
		fields = append(fields, basisFields(*t.refused)...)
	}
	if f != nil && f.after > 0 {
		fields = append(fields, zap.Duration("after", f.after))
	}
	if f != nil {
		r.Log.Warn("request", fields...)
		return
	}
	r.Log.Info("request", fields...)
}

// basisFields is what a refusal was decided by.
func basisFields(r Refused) []zap.Field {
	b := r.Basis
	fields := []zap.Field{
		zap.String("nearest", b.Worker), zap.Int("slots", b.Slots), zap.Int("taken", b.Taken), zap.Int("kept", b.Kept),
		zap.Duration("queue", b.Queue), zap.Duration("bound", b.Bound), zap.Duration("wait", b.Wait), zap.Duration("end", b.End),
		zap.Int("free", b.Free), zap.Int("wanted", b.Wanted), zap.Float64("offered", math.Round(b.Offered)), zap.Duration("held", b.Held),
		zap.Duration("age", b.Age),
	}
	if r.RefusedBy != "" {
		fields = append(fields, zap.String("by", r.RefusedBy))
	}
	return fields
}

// check finds the route of a request, and refuses what may not pass.
func (r *Router) check(q *request, w http.ResponseWriter, req *http.Request) *failure {
	q.index = r.look()
	if q.index == nil {
		return &failure{status: http.StatusServiceUnavailable, code: codeUnconfigured, after: comeBack}
	}
	if limit := q.index.callers().Header; limit > 0 && headBytes(req) > limit {
		return &failure{status: http.StatusRequestHeaderFieldsTooLarge, code: codeHeader, close: true}
	}
	var ok bool
	if q.target, ok = q.index.route(req.Host, req.URL.EscapedPath()); !ok {
		return &failure{status: http.StatusNotFound, code: codeNoRoute}
	}
	if f := r.identify(q, req.Header); f != nil {
		return f
	}
	if len(req.TransferEncoding) > 0 {
		// Failure: a request that says its length in two ways is read in two ways,
		// and what follows it may be taken for a request that nobody sent. net/http
		// goes by the chunks and drops the other length without a word, so that no
		// connection is used again after chunks.
		w.Header().Set("Connection", "close")
	}
	q.header = EndToEndHeader(req.Header)
	if f := r.readBody(q, w, req); f != nil {
		return f
	}
	q.fingerprint = quarantiner.FingerprintOf(q.organisation, q.method, q.uri, q.body)
	q.service = q.target.service(rand.Float64())
	q.ask = r.ask(q)
	return nil
}

// identify finds the organisation of a request by its key.
func (r *Router) identify(q *request, h http.Header) *failure {
	q.tier = q.Tier
	q.rank = q.index.rank(q.target, "")
	if q.Public || len(q.index.folder.Organisations) == 0 {
		return nil
	}
	key, ok := r.Dialect.Key(h)
	if ok {
		q.organisation, ok = q.index.organisation(key)
	}
	if !ok {
		return &failure{status: http.StatusUnauthorized, code: codeKey}
	}
	q.tier = q.index.tier(q.target, q.organisation)
	q.rank = q.index.rank(q.target, q.organisation)
	return nil
}

// callers is the limits on what callers send.
func (x *index) callers() loader.Callers {
	if x.folder.Callers == nil {
		return loader.Callers{}
	}
	return *x.folder.Callers
}

// headBytes is about the size of a request's head on the wire.
func headBytes(req *http.Request) int {
	const separators = 4 // ": " and the line's end
	n := len(req.Method) + len(req.RequestURI) + len(" HTTP/1.1  ") + len("Host: ") + len(req.Host)
	for name, values := range req.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// readBody takes the caller's whole body, bounded.
func (r *Router) readBody(q *request, w http.ResponseWriter, req *http.Request) *failure {
	limit := q.index.callers().Body
	if limit <= 0 {
		limit = r.MaxAnswer
	}
	if req.ContentLength > limit {
		return &failure{status: http.StatusRequestEntityTooLarge, code: codeBody, close: true}
	}
	if r.held.Load()+max(req.ContentLength, 0) > r.MaxBuffered {
		return &failure{status: http.StatusServiceUnavailable, code: codeFull, after: comeBack, close: true}
	}
	var b bytes.Buffer
	if req.ContentLength > 0 {
		b.Grow(int(req.ContentLength) + bytes.MinRead)
	}
	_, err := io.Copy(&b, http.MaxBytesReader(w, req.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &failure{status: http.StatusRequestEntityTooLarge, code: codeBody, close: true}
	case err != nil && req.Context().Err() != nil:
		return &failure{status: statusGone, code: codeGone}
	case err != nil:
		return &failure{status: http.StatusBadRequest, code: codeUnreadable, close: true}
	}
	q.body = b.Bytes()
	r.held.Add(int64(len(q.body)))
	return nil
}

// ask is the request as its placer sees it.
func (r *Router) ask(q *request) placer.Request {
	a := placer.Request{
		Service: q.service, Prompt: q.Prompt, Output: q.MaxOutput, Rank: q.rank, Tier: q.Tier,
		Target: q.First.Std(), Fingerprint: q.fingerprint,
	}
	if q.ExpectedOutput > 0 && (q.ExpectedOutput < q.MaxOutput || q.MaxOutput == 0) {
		a.Output = q.ExpectedOutput
	}
	if q.ExpectedOutput > 0 && q.LastEventID == "" {
		a.Expected = a.Output // how much of it a resumed stream lacks is not known
	}
	if q.Stream {
		a.FirstEventTimeout, a.Gap = patience(q.target), q.Gap.Std()
	}
	h := xxhash.New()
	_, _ = h.WriteString(q.Model) // a hash takes everything
	for _, p := range q.Parts {
		_, _ = h.WriteString("\x00" + p.ID)
		a.Parts = append(a.Parts, placer.Part{Key: h.Sum64(), Tokens: p.Tokens})
	}
	return a
}

const (
	// patienceLeast, patienceTargets and patienceGaps tell when a caller leaves a
	// stream that brings nothing: after the longest of a fixed time, so many targets
	// for the first event, and so many targets for a pause. The users' callers do so.
	patienceLeast   = 2 * time.Second
	patienceTargets = 4
	patienceGaps    = 8
)

// patience is how long a caller waits for a stream's next event.
func patience(t target) time.Duration {
	return max(patienceLeast, patienceTargets*t.First.Std(), patienceGaps*t.Gap.Std())
}

// left is how long a request may still take.
func (q *request) left(now time.Time) time.Duration {
	whole := q.Whole.Std()
	if q.Deadline > 0 {
		whole = min(whole, q.Deadline)
	}
	return whole - now.Sub(q.started)
}

// timeout is a context that ends when a request may take no longer.
func (q *request) timeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, q.left(time.Now()))
}
