package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/forwarder"
	"github.com/cicadawood/cicadawood/loader"
)

// comeBack is what a caller is told where nothing better is known.
const comeBack = time.Second

// Server answers callers.
type Server struct {
	limits    loader.Limits
	config    Configuration
	places    Allocator
	forwarder *forwarder.Forwarder
	once      Once
	log       *zap.Logger
	metrics   *Metrics
	ready     atomic.Bool
	calls     atomic.Int64
	http      *http.Server
}

// New returns a server that does not listen yet.
func New(l loader.Limits, c Configuration, a Allocator, f *forwarder.Forwarder, log *zap.Logger, m *Metrics) *Server {
	s := &Server{limits: l, config: c, places: a, forwarder: f, log: log, metrics: m}
	s.http = &http.Server{Handler: s.router(), ReadHeaderTimeout: l.Read.Std(), ReadTimeout: l.Read.Std(), MaxHeaderBytes: l.Header, IdleTimeout: time.Minute}
	return s
}

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
		return fmt.Errorf("shut down with %d calls in flight: %w", s.Calls(), err)
	}
	return nil
}

// SetReady sets what the platform's balancer is told.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Ready says what the platform's balancer is told.
func (s *Server) Ready() bool { return s.ready.Load() }

// Calls is the number of requests in flight.
func (s *Server) Calls() int64 { return s.calls.Load() }

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
	q, f, fail := s.open(r)
	if fail != nil {
		fail.write(w, "", q.id)
		return
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		Owner   string `json:"owned_by"`
	}
	list := []model{}
	for _, name := range slices.Sorted(maps.Keys(f.Services)) {
		for _, m := range f.Services[name].Models {
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
func (s *Server) open(r *http.Request) (*request, *loader.Folder, *failure) {
	q := &request{id: newID(), started: time.Now()}
	f, _ := s.config.Folder()
	if f == nil {
		return q, nil, &failure{status: http.StatusServiceUnavailable, code: "no_configuration", message: "no configuration is in force yet", run: RunNo, after: comeBack}
	}
	name, ok := organisationOf(f, r)
	if !ok {
		return q, f, &failure{status: http.StatusUnauthorized, code: "invalid_api_key", message: "the API key is missing or unknown", run: RunNo}
	}
	q.organisation = name
	return q, f, nil
}

func (s *Server) completion(w http.ResponseWriter, r *http.Request) {
	q, f, fail := s.open(r)
	if fail == nil {
		fail = s.takeEngineCall(w, r, q, f)
	}
	s.finish(w, r, q, fail, forwarder.Call{Method: r.Method, Path: r.URL.RequestURI(), Header: passed(r.Header)})
}

func (s *Server) takeEngineCall(w http.ResponseWriter, r *http.Request, q *request, f *loader.Folder) *failure {
	body, fail := readBody(w, r, s.limits.Body)
	if fail != nil {
		return fail
	}
	route, fail := q.takeCompletion(f, body)
	if fail != nil {
		return fail
	}
	if fail := q.chooseClass(f, route, r.Header.Get(HeaderClass)); fail != nil {
		return fail
	}
	return q.takeDeadline(r.Header.Get(HeaderDeadline))
}

func (s *Server) plain(w http.ResponseWriter, r *http.Request) {
	q, f, fail := s.open(r)
	q.service = mux.Vars(r)["service"]
	path := r.URL.EscapedPath()[len("/services/"+q.service):]
	if fail == nil {
		fail = s.takePlainCall(w, r, q, f, path)
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	s.finish(w, r, q, fail, forwarder.Call{Method: r.Method, Path: path, Header: passed(r.Header)})
}

func (s *Server) takePlainCall(w http.ResponseWriter, r *http.Request, q *request, f *loader.Folder, path string) *failure {
	service, ok := f.Services[q.service]
	if !ok || service.Kind != loader.KindPlain {
		return &failure{status: http.StatusNotFound, code: "service_not_found", message: fmt.Sprintf("no service %q", q.service), run: RunNo}
	}
	route, ok := routeOf(service, r.Method, path)
	if !ok {
		return &failure{status: http.StatusNotFound, code: "route_not_found", message: "no route of this service matches", run: RunNo}
	}
	if fail := q.chooseClass(f, route, r.Header.Get(HeaderClass)); fail != nil {
		return fail
	}
	if fail := q.takeDeadline(r.Header.Get(HeaderDeadline)); fail != nil {
		return fail
	}
	body, fail := readBody(w, r, s.limits.Body)
	q.body, q.prompt = body, 1
	return fail
}

// finish runs a checked request, answers a refused one, and logs either.
func (s *Server) finish(w http.ResponseWriter, r *http.Request, q *request, fail *failure, c forwarder.Call) {
	s.calls.Add(1)
	defer s.calls.Add(-1)
	if fail == nil && s.calls.Load() > int64(s.limits.Calls) {
		fail = &failure{status: http.StatusServiceUnavailable, code: "host_full", message: "this host has too many requests in flight", run: RunNo, after: comeBack}
	}
	if fail == nil {
		c.Body, c.Request, c.Tier = q.body, q.id, q.tier
		if q.once && s.once != nil {
			fail = s.serveOnce(r.Context(), w, q, c)
		} else {
			fail = s.serve(r.Context(), w, q, c)
		}
	}
	outcome := "answered"
	if fail != nil {
		outcome = fail.code
		fail.write(w, q.class, q.id)
	}
	s.metrics.request(q.class, outcome, time.Since(q.started))
	s.log.Info("request", zap.String("request", q.id), zap.String("org", q.organisation), zap.String("service", q.service),
		zap.String("class", q.class), zap.String("outcome", outcome), zap.Duration("took", time.Since(q.started)))
}

// serve gets the request a place and forwards it.
func (s *Server) serve(ctx context.Context, w http.ResponseWriter, q *request, c forwarder.Call) *failure {
	ctx, cancel := context.WithTimeout(ctx, q.deadline)
	defer cancel()
	p, err := s.places.Acquire(ctx, q.service, q.ask())
	if err != nil {
		return refused(err)
	}
	granted := time.Now()
	c.Fence = p.Fence
	use := Use{Failed: true}
	defer func() { s.places.Release(p, use) }()
	answer, err := s.forwarder.Do(ctx, p.Worker.Address, c)
	if err != nil {
		return broken(err)
	}
	defer answer.Body.Close()
	use.First = time.Since(granted)
	s.metrics.first(q.class, time.Since(q.started))
	n, fail := s.reply(w, q, answer)
	use.Tokens, use.Failed = int(n/bytesPerToken), fail != nil
	return fail
}

func refused(err error) *failure {
	var r Refusal
	if errors.As(err, &r) {
		return &failure{status: http.StatusServiceUnavailable, code: r.Reason, message: "the request was not run: " + r.Reason, run: RunNo, after: r.After}
	}
	return &failure{status: http.StatusServiceUnavailable, code: "deadline", message: "the request was not run before its deadline", run: RunNo, after: comeBack}
}

func broken(err error) *failure {
	if errors.Is(err, forwarder.ErrNotRun) {
		return &failure{status: http.StatusServiceUnavailable, code: "worker_unreachable", message: "the request was not run", run: RunNo, after: comeBack}
	}
	return &failure{status: http.StatusBadGateway, code: "answer_lost", message: "the answer was lost; the request may have run", run: RunUnknown, after: comeBack}
}
