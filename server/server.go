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

	"github.com/cicadawood/cicadawood/forwarder"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/retrier"
)

// comeBack is what a caller is told where nothing better is known.
const comeBack = time.Second

// answered is the outcome of a request whose caller got its whole answer.
const answered = "answered"

// Server answers callers.
type Server struct {
	limits     loader.Limits
	config     Configuration
	places     Allocator
	forwarder  *forwarder.Forwarder
	once       OnceRunner
	log        *zap.Logger
	metrics    *Metrics
	limiter    Limiter
	quarantine Quarantine // nil holds nothing back
	budgets    retrier.Budgets
	memory     memory
	index      atomic.Pointer[index]
	ready      atomic.Bool
	draining   atomic.Bool
	calls      atomic.Int64

	routes      http.Handler // of host routes; nil where the host serves none
	connections atomic.Int64
	http        *http.Server
}

// New returns a server that does not listen yet.
func New(l loader.Limits, c Configuration, a Allocator, f *forwarder.Forwarder, log *zap.Logger, m *Metrics) *Server {
	s := &Server{limits: l, config: c, places: a, forwarder: f, log: log, metrics: m, memory: memory{limit: l.Buffer}}
	s.http = &http.Server{Handler: s.closing(s.handler()), ReadHeaderTimeout: l.Read.Std(), ReadTimeout: l.Read.Std(), MaxHeaderBytes: l.Header, IdleTimeout: time.Minute, ConnState: s.boundConnections}
	return s
}

// SetLimiter sets who holds organisations to their limits. It comes before
// Serve.
func (s *Server) SetLimiter(l Limiter) { s.limiter = l }

// SetQuarantine sets who says which requests are held back. It comes before Serve.
func (s *Server) SetQuarantine(q Quarantine) { s.quarantine = q }

// SetRoutes has every caller answered by the handler of host routes, in place of
// this package's own interface. It comes before Serve.
func (s *Server) SetRoutes(h http.Handler) { s.routes = h }

// routed counts a request of a host route as in flight, within the host's room.
func (s *Server) routed(w http.ResponseWriter, r *http.Request) {
	defer s.calls.Add(-1)
	if n := s.calls.Add(1); n > int64(s.limits.Calls) {
		s.log.Warn("host full", zap.String("path", r.URL.Path), zap.Int64("calls", n), zap.Int("limit", s.limits.Calls))
		w.Header().Set("Retry-After", "1")
		http.Error(w, "this host has too many requests in flight", http.StatusServiceUnavailable)
		return
	}
	s.routes.ServeHTTP(w, r)
}

// ReadyHandler answers the balancer, whatever path it asks.
func (s *Server) ReadyHandler() http.Handler { return http.HandlerFunc(s.readyz) }

// Serve answers callers on l until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// Shutdown takes no new connection and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down with %d calls in flight: %w", s.InFlight(), err)
	}
	return nil
}

// SetReady sets what the platform's balancer is told.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Ready says what the platform's balancer is told.
func (s *Server) Ready() bool { return s.ready.Load() && !s.Draining() }

// InFlight is the number of requests in flight.
func (s *Server) InFlight() int64 { return s.calls.Load() }

// handler is the handler of host routes, or the package's own interface.
func (s *Server) handler() http.Handler {
	own := s.router()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.routes != nil {
			s.routed(w, r)
			return
		}
		own.ServeHTTP(w, r)
	})
}

func (s *Server) router() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	r.HandleFunc("/readyz", s.readyz)
	r.HandleFunc("/v1/models", s.models).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", s.completion).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", s.completion).Methods(http.MethodPost)
	r.PathPrefix("/services/{service}/").HandlerFunc(s.plain)
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
	q, x, fail := s.open(r)
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

// open starts a request: configuration, organisation.
func (s *Server) open(r *http.Request) (*request, *index, *failure) {
	q := &request{id: newID(), started: time.Now()}
	x := s.look()
	if x == nil {
		return q, &index{}, &failure{status: http.StatusServiceUnavailable, code: "no_configuration", message: "no configuration is in force yet", run: RunNo, after: comeBack}
	}
	name, ok := x.organisation(r)
	if !ok {
		return q, x, &failure{status: http.StatusUnauthorized, code: "invalid_api_key", message: "the API key is missing or unknown", run: RunNo}
	}
	q.organisation = name
	return q, x, nil
}

func (s *Server) completion(w http.ResponseWriter, r *http.Request) {
	h := hold{memory: &s.memory}
	defer h.release()
	q, x, fail := s.open(r)
	if fail == nil {
		fail = s.takeEngineCall(w, r, q, x, &h)
	}
	header := passed(r.Header)
	header.Del("Accept-Encoding") // the entry reads the answer
	s.finish(w, r, q, x, fail, forwarder.Call{Method: r.Method, Path: r.URL.RequestURI(), Header: header})
}

func (s *Server) takeEngineCall(w http.ResponseWriter, r *http.Request, q *request, x *index, h *hold) *failure {
	body, fail := s.readBody(w, r, h)
	if fail != nil {
		return fail
	}
	route, fail := q.takeCompletion(x, body)
	if fail != nil {
		return fail
	}
	if fail := q.chooseClass(x.folder, route, r.Header.Get(HeaderClass)); fail != nil {
		return fail
	}
	return q.takeDeadline(r.Header.Get(HeaderDeadline))
}

func (s *Server) plain(w http.ResponseWriter, r *http.Request) {
	h := hold{memory: &s.memory}
	defer h.release()
	q, x, fail := s.open(r)
	service := mux.Vars(r)["service"]
	path := r.URL.EscapedPath()[len("/services/"+service):]
	if fail == nil {
		fail = s.takePlainCall(w, r, q, x, service, path, &h)
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	s.finish(w, r, q, x, fail, forwarder.Call{Method: r.Method, Path: path, Header: passed(r.Header)})
}

func (s *Server) takePlainCall(w http.ResponseWriter, r *http.Request, q *request, x *index, name, path string, h *hold) *failure {
	service, ok := x.folder.Services[name]
	if !ok || service.Kind != loader.KindPlain {
		return &failure{status: http.StatusNotFound, code: "service_not_found", message: fmt.Sprintf("no service %q", name), run: RunNo}
	}
	q.takeService(x.folder, name)
	route, ok := routeOf(service, r.Method, path)
	if !ok {
		return &failure{status: http.StatusNotFound, code: "route_not_found", message: "no route of this service matches", run: RunNo}
	}
	if fail := q.chooseClass(x.folder, route, r.Header.Get(HeaderClass)); fail != nil {
		return fail
	}
	if fail := q.takeDeadline(r.Header.Get(HeaderDeadline)); fail != nil {
		return fail
	}
	body, fail := s.readBody(w, r, h)
	q.body, q.prompt = body, 1
	return fail
}

// finish runs a checked request, answers a refused one, and logs either.
func (s *Server) finish(w http.ResponseWriter, r *http.Request, q *request, x *index, fail *failure, c forwarder.Call) {
	d := newDelivery(w, q, s.limits.Stall.Std())
	if fail == nil {
		c.Body, c.RequestID, c.Tier = q.body, q.id, q.tier
		q.fingerprint = Fingerprint(q.organisation, q.service, c.Method, c.Path, c.Body)
		fail = s.admitted(r, q, x, d, c)
	}
	outcome, abort := answered, false
	if fail != nil {
		outcome = fail.code
		if fail.after > 0 {
			fail.after = retrier.Jitter(fail.after, rand.Float64())
		}
		abort = d.fail(fail)
	}
	s.metrics.request(q, d, outcome)
	s.log.Info("request", zap.String("request", q.id), zap.Stringer("fingerprint", q.fingerprint), zap.String("org", q.organisation), zap.String("service", q.service),
		zap.String("class", q.class), zap.String("outcome", outcome), zap.Int("tokens", d.total()), zap.Duration("took", time.Since(q.started)))
	if abort {
		panic(http.ErrAbortHandler)
	}
}

// admitted runs a request that the organisation's limits and the host's room
// allow.
func (s *Server) admitted(r *http.Request, q *request, x *index, d *delivery, c forwarder.Call) *failure {
	release, fail := s.admit(q, x.lowest)
	defer release()
	if fail != nil {
		return fail
	}
	if s.limiter != nil {
		after, ok := s.limiter.Admit(q.organisation, q.tier, q.estimate())
		if !ok {
			return &failure{status: http.StatusTooManyRequests, code: "rate_limited", message: "the organisation is over its limit", run: RunNo, after: after}
		}
		defer func() { s.limiter.Settle(q.organisation, q.tier, q.used(d)-q.estimate()) }()
	}
	if q.once && s.once != nil && keyed(c.Header) {
		return s.serveOnce(r.Context(), d, q, c)
	}
	if q.once {
		giveKey(c.Header)
	}
	run := &run{server: s, q: q, delivery: d, call: c}
	return run.serve(r.Context())
}
