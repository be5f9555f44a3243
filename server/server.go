package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/admitter"
	"github.com/cicadawood/cicadawood/forwarder"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/reserver"
	"github.com/cicadawood/cicadawood/retrier"
)

// defaultRetryAfter is the Retry-After time where no better estimate exists.
const defaultRetryAfter = time.Second

// answered is the outcome of a request whose caller received its whole answer.
const answered = "answered"

// Server serves callers.
type Server struct {
	limits     loader.Limits
	config     Configuration
	allocator  Allocator
	forwarder  *forwarder.Forwarder
	onceRunner OnceRunner
	log        *zap.Logger
	metrics    *Metrics
	limiter    Limiter
	quarantine Quarantine // nil disables the quarantine
	budgets    retrier.Budgets
	memory     *reserver.Memory
	index      atomic.Pointer[index]
	ready      atomic.Bool
	draining   atomic.Bool
	inFlight   atomic.Int64

	hostRoutes  http.Handler         // nil if the host serves none
	connections admitter.Connections // of callers
	http        *http.Server
}

// New returns a server that does not listen yet.
func New(l loader.Limits, memory *reserver.Memory, c Configuration, a Allocator, f *forwarder.Forwarder, log *zap.Logger, m *Metrics) *Server {
	s := &Server{limits: l, config: c, allocator: a, forwarder: f, log: log, metrics: m, memory: memory, connections: admitter.Connections{Limit: int64(l.MaxCalls)}}
	s.http = &http.Server{
		Handler: metered(s.closeAfterLast(s.handler())), DisableGeneralOptionsHandler: true, ConnContext: withConn, ConnState: s.limitConnections,
		ReadHeaderTimeout: l.ReadTimeout.Std(), ReadTimeout: l.ReadTimeout.Std(), MaxHeaderBytes: l.MaxHeader, IdleTimeout: time.Minute,
	}
	return s
}

// SetLimiter sets the limiter of organisations. It must be called before Serve.
func (s *Server) SetLimiter(l Limiter) { s.limiter = l }

// SetQuarantine sets the quarantine of requests. It must be called before Serve.
func (s *Server) SetQuarantine(q Quarantine) { s.quarantine = q }

// SetRoutes sets a handler of host routes, which then serves all callers instead of this
// package's own interface. It must be called before Serve.
func (s *Server) SetRoutes(h http.Handler) {
	s.hostRoutes = h
	s.connections.SendAgain = true
}

// serveHostRoute counts a request of a host route as in flight, and refuses it if the
// host is full.
func (s *Server) serveHostRoute(w http.ResponseWriter, r *http.Request) {
	defer s.inFlight.Add(-1)
	if n := s.inFlight.Add(1); n > int64(s.limits.MaxCalls) {
		s.log.Warn("host full", zap.String("path", r.URL.Path), zap.Int64("calls", n), zap.Int("limit", s.limits.MaxCalls))
		w.Header().Set("Retry-After", "1")
		http.Error(w, "this host has too many requests in flight", http.StatusServiceUnavailable)
		return
	}
	s.hostRoutes.ServeHTTP(w, r)
}

// ReadyHandler returns the handler of readiness checks of the load balancer, for any
// path.
func (s *Server) ReadyHandler() http.Handler { return http.HandlerFunc(s.readyz) }

// Serve serves callers on l until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go s.probeLag(ctx)
	if err := s.http.Serve(meteredListener{Listener: l, memory: s.memory}); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// Shutdown stops accepting connections and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down with %d calls in flight: %w", s.InFlight(), err)
	}
	return nil
}

// SetReady sets the state reported to the platform's load balancer.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Ready returns the state reported to the platform's load balancer.
func (s *Server) Ready() bool { return s.ready.Load() && !s.Draining() }

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// handler returns the handler of host routes if set, or else that of the package's own
// interface.
func (s *Server) handler() http.Handler {
	ownHandler := s.router()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.connections.Keeps() {
			w.Header().Set("Connection", "close")
		}
		if s.hostRoutes != nil {
			s.serveHostRoute(w, r)
			return
		}
		ownHandler.ServeHTTP(w, r)
	})
}

func (s *Server) router() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	r.HandleFunc("/readyz", s.readyz)
	r.HandleFunc("/v1/models", s.models).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", s.serveCompletion).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", s.serveCompletion).Methods(http.MethodPost)
	r.PathPrefix("/services/{service}/").HandlerFunc(s.servePlain)
	return r
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	q, x, fail := s.begin(r)
	if fail != nil {
		fail.write(w, q)
		return
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		Owner   string `json:"owned_by"`
	}
	list := []model{}
	for _, name := range slices.Sorted(maps.Keys(x.folder.Services)) {
		for _, m := range x.folder.Services[name].Models {
			list = append(list, model{ID: m, Object: "model", Owner: name})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", list})
}

// begin starts a request: it finds the configuration and the organisation.
func (s *Server) begin(r *http.Request) (*request, *index, *failure) {
	q := &request{id: newID(), started: time.Now()}
	x := s.currentIndex()
	if x == nil {
		return q, &index{}, &failure{status: http.StatusServiceUnavailable, code: "no_configuration", message: "no configuration is in force yet", run: RunNo, retryAfter: defaultRetryAfter}
	}
	name, ok := x.organisation(r)
	if !ok {
		return q, x, &failure{status: http.StatusUnauthorized, code: "invalid_api_key", message: "the API key is missing or unknown", run: RunNo}
	}
	q.organisation = name
	return q, x, nil
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	h := s.memory.Reserve(reserver.Body)
	defer h.Release()
	q, x, fail := s.begin(r)
	if fail == nil {
		fail = s.readCompletionRequest(w, r, q, x, h)
	}
	header := forwardedHeader(r.Header)
	header.Del("Accept-Encoding") // the entry must be able to read the answer
	s.finish(w, r, q, x, fail, forwarder.Call{Method: r.Method, Path: r.URL.RequestURI(), Header: header})
}

func (s *Server) readCompletionRequest(w http.ResponseWriter, r *http.Request, q *request, x *index, h *reserver.Reservation) *failure {
	body, fail := s.readBody(w, r, h)
	if fail != nil {
		return fail
	}
	route, fail := q.parseCompletion(x, body)
	if fail != nil {
		return fail
	}
	if fail := q.chooseClass(x.folder, route, r.Header.Get(HeaderClass)); fail != nil {
		return fail
	}
	return q.parseDeadline(r.Header.Get(HeaderDeadline))
}

func (s *Server) servePlain(w http.ResponseWriter, r *http.Request) {
	h := s.memory.Reserve(reserver.Body)
	defer h.Release()
	q, x, fail := s.begin(r)
	service := mux.Vars(r)["service"]
	path := r.URL.EscapedPath()[len("/services/"+service):]
	if fail == nil {
		fail = s.readPlainRequest(w, r, q, x, service, path, h)
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	s.finish(w, r, q, x, fail, forwarder.Call{Method: r.Method, Path: path, Header: forwardedHeader(r.Header)})
}

func (s *Server) readPlainRequest(w http.ResponseWriter, r *http.Request, q *request, x *index, name, path string, h *reserver.Reservation) *failure {
	service, ok := x.folder.Services[name]
	if !ok || service.Kind != loader.KindPlain {
		return &failure{status: http.StatusNotFound, code: "service_not_found", message: fmt.Sprintf("no service %q", name), run: RunNo}
	}
	q.setService(x.folder, name)
	route, ok := findRoute(service, r.Method, path)
	if !ok {
		return &failure{status: http.StatusNotFound, code: "route_not_found", message: "no route of this service matches", run: RunNo}
	}
	if fail := q.chooseClass(x.folder, route, r.Header.Get(HeaderClass)); fail != nil {
		return fail
	}
	if fail := q.parseDeadline(r.Header.Get(HeaderDeadline)); fail != nil {
		return fail
	}
	body, fail := s.readBody(w, r, h)
	q.body, q.promptTokens = body, 1
	return fail
}

// finish runs a request that passed its checks, answers one that failed, and logs the
// outcome.
func (s *Server) finish(w http.ResponseWriter, r *http.Request, q *request, x *index, fail *failure, c forwarder.Call) {
	d := newDelivery(w, q, s.limits.WriteTimeout.Std())
	if fail == nil {
		c.Body, c.RequestID, c.Tier = q.body, q.id, q.tier
		q.fingerprint = Fingerprint(q.organisation, q.service, c.Method, c.Path, c.Body)
		fail = s.runAdmitted(r, q, x, d, c)
	}
	outcome, abort := answered, false
	if fail != nil {
		outcome = fail.code
		if fail.retryAfter > 0 {
			fail.retryAfter = retrier.Jitter(fail.retryAfter, rand.Float64())
		}
		abort = d.fail(fail)
	}
	s.metrics.observeRequest(q, d, outcome)
	s.log.Info("request", zap.String("request", q.id), zap.Stringer("fingerprint", q.fingerprint), zap.String("org", q.organisation), zap.String("service", q.service),
		zap.String("class", q.class), zap.String("outcome", outcome), zap.Int("tokens", d.totalTokens()), zap.Duration("took", time.Since(q.started)))
	if abort {
		panic(http.ErrAbortHandler)
	}
}

// runAdmitted runs a request if the organisation's limits and the host's capacity allow.
func (s *Server) runAdmitted(r *http.Request, q *request, x *index, d *delivery, c forwarder.Call) *failure {
	release, fail := s.admit(q, x.lowestTier)
	defer release()
	if fail != nil {
		return fail
	}
	if s.limiter != nil {
		retryAfter, ok := s.limiter.Admit(q.organisation, q.tier, q.estimatedTokens())
		if !ok {
			return &failure{status: http.StatusTooManyRequests, code: "rate_limited", message: "the organisation is over its limit", run: RunNo, retryAfter: retryAfter}
		}
		defer func() { s.limiter.Settle(q.organisation, q.tier, q.usedTokens(d)-q.estimatedTokens()) }()
	}
	if q.once && s.onceRunner != nil && hasKey(c.Header) {
		return s.serveOnce(r.Context(), d, q, c)
	}
	if q.once {
		assignKey(c.Header)
	}
	tx := &transaction{server: s, q: q, delivery: d, call: c}
	return tx.serve(r.Context())
}
