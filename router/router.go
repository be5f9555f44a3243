package router

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/framer"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/quarantiner"
	"github.com/cicadawood/cicadawood/reserver"
)

// Config holds the dependencies and limits of a Router.
type Config struct {
	Dialect       Dialect
	Configuration Configuration
	Placer        Placer
	Pool          *connector.Pool
	Reach         Reach   // nil reaches all workers
	Origins       Origins // nil lets every stream go on at any worker
	Log           *zap.Logger
	Metrics       *Metrics
	MaxAnswer     int64            // maximum bytes of an answer that is buffered until it is whole
	WriteTimeout  time.Duration    // time for a caller to accept one write
	Memory        *reserver.Memory // for what callers and workers send; nil has no limit
}

// Router is an http.Handler for host routes.
type Router struct {
	Config
	index atomic.Pointer[index]
}

// New returns a Router.
func New(c Config) *Router {
	if c.Reach == nil {
		c.Reach = reachable{}
	}
	if c.Origins == nil {
		c.Origins = noOrigins{}
	}
	if c.Memory == nil {
		c.Memory = new(reserver.Memory)
	}
	return &Router{Config: c}
}

// currentIndex returns the index of the configuration in force, or nil before the first
// is loaded.
func (r *Router) currentIndex() *index {
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
	rank         int // less than the index's ranks
	started      time.Time
	method       string
	uri          string
	host         string
	header       http.Header
	body         []byte
	reserved     *reserver.Reservation   // of the body
	fingerprint  quarantiner.Fingerprint // identifies the content of the request, independent of its ID
	placement    placer.Request
}

// ServeHTTP implements http.Handler.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	framer.Guard(w, req)
	q := &request{
		RequestHead: r.Dialect.ReadRequest(req.Header), started: time.Now(),
		method: req.Method, uri: req.RequestURI, host: req.Host,
	}
	d := &delivery{w: w, control: http.NewResponseController(w), writeTimeout: r.WriteTimeout}
	t := &transaction{router: r, q: q, delivery: d}
	f := r.prepare(q, w, req)
	defer t.release()
	if f == nil {
		f = t.serve(req.Context())
	}
	r.finish(t, f)
}

// finish writes the error response of a failed request, and records the outcome of any
// request in the metrics and the log.
func (r *Router) finish(t *transaction, f *failure) {
	code, status := "answered", t.delivery.status
	abort := false
	if f != nil {
		code, status = f.code, f.status
		switch {
		case f.status == statusGone:
			abort = true
		case t.delivery.headSent:
			// The caller has part of the answer: only an aborted connection shows that
			// the rest is missing.
			abort = true
		default:
			f.write(t.delivery.w, r.Dialect, t.q.ID)
		}
	}
	r.Metrics.observeRequest(t, code)
	r.log(t, code, status, f)
	if abort {
		panic(http.ErrAbortHandler)
	}
}

func (r *Router) log(t *transaction, code string, status int, f *failure) {
	q := t.q
	fields := []zap.Field{
		zap.String("request", q.ID), zap.Stringer("fingerprint", q.fingerprint), zap.String("parts", q.loggedParts()), zap.String("route", q.name), zap.String("service", q.service), zap.Int("tier", q.tier), zap.Int("rank", q.rank), zap.Duration("target", q.LatencyTarget.Std()),
		zap.String("outcome", code), zap.Int("status", status), zap.Int("sends", t.sends), zap.Bool("exposed", t.mayHaveRun),
		zap.Duration("took", time.Since(q.started)), zap.Int("bytes", t.delivery.bytes), zap.String("worker", t.worker), zap.Bool("kept", t.reused),
		zap.Duration("expected", t.expectedWait), zap.Int("read", t.promptTokens),
	}
	if !t.delivery.firstPiece.IsZero() {
		fields = append(fields, zap.Duration("first", t.delivery.firstPiece.Sub(q.started)), zap.Duration("pause", t.delivery.longestPause))
	}
	if !t.sentAt.IsZero() {
		fields = append(fields, zap.Duration("sent", t.sentAt.Sub(q.started)))
	}
	if q.index != nil {
		fields = append(fields, zap.Uint64("generation", q.index.generation))
	}
	if t.source != "" {
		fields = append(fields, zap.String("source", t.source))
	}
	if t.via != "" {
		fields = append(fields, zap.String("via", t.via))
	}
	if t.placedBy != "" {
		fields = append(fields, zap.String("by", t.placedBy))
	}
	fields = append(fields, t.availabilityFields()...)
	fields = append(fields, t.originFields()...)
	if t.cause != nil {
		fields = append(fields, zap.String("cause", t.cause.Error()))
	}
	if t.refused != nil {
		fields = append(fields, basisFields(*t.refused)...)
	}
	if f != nil && f.retryAfter > 0 {
		fields = append(fields, zap.Duration("after", f.retryAfter))
	}
	if f != nil {
		r.Log.Warn("request", fields...)
		return
	}
	r.Log.Info("request", fields...)
}

// basisFields returns the log fields for the figures that a refusal was based on.
func basisFields(r Refused) []zap.Field {
	b := r.Basis
	fields := []zap.Field{
		zap.String("refused", r.Reason), zap.String("nearest", b.Worker), zap.Int("slots", b.Slots), zap.Int("taken", b.Taken), zap.Int("kept", b.Kept),
		zap.Duration("queue", b.Queue), zap.Duration("bound", b.Bound), zap.Duration("wait", b.Wait), zap.Duration("end", b.End),
		zap.Int("free", b.Free), zap.Int("wanted", b.Wanted), zap.Float64("offered", math.Round(b.Offered)), zap.Duration("held", b.Held),
		zap.Duration("age", b.Age),
	}
	if r.Budget != nil {
		fields = append(fields, BudgetFields(*r.Budget)...)
	}
	if r.RefusedBy != "" {
		fields = append(fields, zap.String("by", r.RefusedBy))
	}
	return fields
}

// prepare finds the route of a request, checks its key, and reads its body.
func (r *Router) prepare(q *request, w http.ResponseWriter, req *http.Request) *failure {
	q.index = r.currentIndex()
	if q.index == nil {
		return &failure{status: http.StatusServiceUnavailable, code: codeNoConfiguration, retryAfter: defaultRetryAfter}
	}
	if limit := q.index.callerLimits().MaxHeader; limit > 0 && headSize(req) > limit {
		return &failure{status: http.StatusRequestHeaderFieldsTooLarge, code: codeHeaderTooLarge, closeConnection: true}
	}
	var ok bool
	if q.target, ok = q.index.route(req.Host, sentPath(req)); !ok {
		return &failure{status: http.StatusNotFound, code: codeRouteNotFound}
	}
	if f := r.identify(q, req.Header); f != nil {
		return f
	}
	q.header = EndToEndHeader(req.Header)
	if f := r.readBody(q, w, req); f != nil {
		return f
	}
	q.fingerprint = quarantiner.FingerprintOf(q.organisation, q.method, q.uri, q.body)
	q.service = q.target.service(rand.Float64())
	q.placement = r.placementRequest(q)
	return nil
}

// sentPath returns the path of a request as its bytes have it, which is what a worker gets. Where
// these don't follow the rules of encoding, net/url's EscapedPath is another path.
func sentPath(req *http.Request) string {
	path, _, _ := strings.Cut(req.RequestURI, "?")
	_, authority, ok := strings.Cut(path, "://")
	if !ok || strings.HasPrefix(path, "/") {
		return path
	}
	if slash := strings.IndexByte(authority, '/'); slash >= 0 {
		return authority[slash:]
	}
	return "/"
}

// identify finds the organisation of a request by its API key.
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
		return &failure{status: http.StatusUnauthorized, code: codeInvalidKey}
	}
	q.tier = q.index.tier(q.target, q.organisation)
	q.rank = q.index.rank(q.target, q.organisation)
	return nil
}

// callerLimits returns the limits on requests of callers.
func (x *index) callerLimits() loader.Callers {
	if x.folder.Callers == nil {
		return loader.Callers{}
	}
	return *x.folder.Callers
}

// headSize returns the approximate size of a request's head on the wire, in bytes.
func headSize(req *http.Request) int {
	const separators = 4 // ": " and CRLF
	n := len(req.Method) + len(req.RequestURI) + len(" HTTP/1.1  ") + len("Host: ") + len(req.Host)
	for name, values := range req.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// readBody reads the caller's whole body, up to the limit. What has arrived of it counts while the
// rest is under way, and all of it from the start if its length is stated.
func (r *Router) readBody(q *request, w http.ResponseWriter, req *http.Request) *failure {
	limit := q.index.callerLimits().MaxBody
	if limit <= 0 {
		limit = r.MaxAnswer
	}
	if req.ContentLength > limit {
		return &failure{status: http.StatusRequestEntityTooLarge, code: codeBodyTooLarge, closeConnection: true}
	}
	if req.Body != http.NoBody {
		r.allowBody(q, w)
	}
	q.reserved = r.Memory.Reserve(reserver.Body)
	body, err := q.reserved.ReadAll(http.MaxBytesReader(w, req.Body, limit), req.ContentLength, limit)
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, reserver.ErrFull):
		return &failure{status: http.StatusServiceUnavailable, code: codeHostFull, retryAfter: defaultRetryAfter, closeConnection: true}
	case errors.As(err, &large):
		return &failure{status: http.StatusRequestEntityTooLarge, code: codeBodyTooLarge, closeConnection: true}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &failure{status: http.StatusRequestTimeout, code: codeBodyTimeout, closeConnection: true}
	case err != nil && req.Context().Err() != nil:
		return &failure{status: statusGone, code: codeCallerGone}
	case err != nil:
		return &failure{status: http.StatusBadRequest, code: codeBodyUnreadable, closeConnection: true}
	}
	q.body = body
	return nil
}

// allowBody lets the body of a request take the time that the request has, in place of the time that
// the host's settings allow for its head.
func (r *Router) allowBody(q *request, w http.ResponseWriter) {
	deadline := time.Now().Add(q.timeLeft(time.Now()))
	if err := http.NewResponseController(w).SetReadDeadline(deadline); err != nil {
		r.Log.Warn("body", zap.String("request", q.ID), zap.String("state", "no deadline"), zap.Error(err))
	}
}

// placementRequest returns the request as seen by the placer.
func (r *Router) placementRequest(q *request) placer.Request {
	a := placer.Request{
		Service: q.service, Prompt: q.Prompt, Output: q.MaxOutput, Rank: q.rank, Tier: q.Tier,
		Target: q.LatencyTarget.Std(), Fingerprint: q.fingerprint, Caller: q.ID,
	}
	if q.ExpectedOutput > 0 && (q.ExpectedOutput < q.MaxOutput || q.MaxOutput == 0) {
		a.Output = q.ExpectedOutput
	}
	if q.ExpectedOutput > 0 && q.LastEventID == "" {
		a.Expected = a.Output // the remaining length of a resumed stream is unknown
	}
	if q.Stream {
		a.FirstEventTimeout, a.Gap = eventTimeout(q.target), q.GapTarget.Std()
	}
	a.Parts = partsOf(q.RequestHead)
	return a
}

const (
	// A caller closes a stream without new events after the longest of minEventTimeout,
	// eventTimeoutFirstTargets times the route's target for the first event, and
	// eventTimeoutGapTargets times its target for the gap between events. These values
	// follow the behaviour of the users' callers.
	minEventTimeout          = 2 * time.Second
	eventTimeoutFirstTargets = 4
	eventTimeoutGapTargets   = 8
)

// eventTimeout returns how long a caller waits for a stream's next event.
func eventTimeout(t target) time.Duration {
	return max(minEventTimeout, eventTimeoutFirstTargets*t.LatencyTarget.Std(), eventTimeoutGapTargets*t.GapTarget.Std())
}

// timeLeft returns the time until the request's deadline.
func (q *request) timeLeft(now time.Time) time.Duration {
	timeout := q.Timeout.Std()
	if q.Deadline > 0 {
		timeout = min(timeout, q.Deadline)
	}
	return timeout - now.Sub(q.started)
}

// withTimeout returns a context that ends at the request's deadline.
func (q *request) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, q.timeLeft(time.Now()))
}
