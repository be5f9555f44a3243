package server_test

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/forwarder"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/reserver"
	"github.com/cicadawood/cicadawood/server"
)

const (
	tokens  = 12                     // in every answer
	silence = 400 * time.Millisecond // maximum silence of a connection
	key     = "quay"
)

// fakeAllocator is a server.Allocator that hands out a list of workers in turn.
type fakeAllocator struct {
	mu       sync.Mutex
	workers  []loader.Worker
	next     int
	asks     []messenger.Ask
	released []server.Usage
	preempt  chan struct{} // of the latest place
	fence    uint64

	gate    chan struct{}         // if not nil, Acquire waits for it
	refusal func(n int) error     // by number of the request, from 0
	granted func(p *server.Place) // called with each place before it is handed out
}

func (p *fakeAllocator) Acquire(ctx context.Context, _ string, a messenger.Ask) (server.Place, error) {
	p.mu.Lock()
	n, gate := len(p.asks), p.gate
	p.asks = append(p.asks, a)
	p.mu.Unlock()
	if gate != nil {
		select {
		case <-ctx.Done():
			return server.Place{}, server.ErrCallerGone
		case <-gate:
		}
	}
	if p.refusal != nil {
		if err := p.refusal(n); err != nil {
			return server.Place{}, err
		}
	}
	if ctx.Err() != nil {
		return server.Place{}, server.ErrCallerGone
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for range p.workers {
		if !slices.Contains(a.Exclude, p.workers[p.next%len(p.workers)].Name) {
			break
		}
		p.next++
	}
	w := p.workers[p.next%len(p.workers)]
	p.next++
	p.fence++
	p.preempt = make(chan struct{})
	place := server.Place{Request: a.Request, Cell: "lm/0", Worker: w, Fence: p.fence, Preempted: p.preempt}
	if p.granted != nil {
		p.granted(&place)
	}
	return place, nil
}

func (p *fakeAllocator) Progress(server.Place, int) {}

func (p *fakeAllocator) Release(_ server.Place, u server.Usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released = append(p.released, u)
}

// counts returns how many places were requested and released.
func (p *fakeAllocator) counts() (asked, released int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.asks), len(p.released)
}

func (p *fakeAllocator) preemptLast() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.preempt)
}

type configuration struct{ folder *loader.Folder }

func (c configuration) Folder() (*loader.Folder, uint64) { return c.folder, 1 }

// workerSet is three workers, each behind a link that can fail. Sets are reused between
// tests, which would otherwise exhaust the machine's ports.
type workerSet struct {
	faults  *faker.FaultInjector // shared by all workers
	calls   *faker.Counter
	links   map[string]*faker.Link
	engine  []*faker.Engine
	workers []loader.Worker
}

var (
	freeWorkerSetsMu sync.Mutex
	freeWorkerSets   []*workerSet
)

func acquireWorkers() *workerSet {
	freeWorkerSetsMu.Lock()
	defer freeWorkerSetsMu.Unlock()
	if n := len(freeWorkerSets); n > 0 {
		y := freeWorkerSets[n-1]
		freeWorkerSets = freeWorkerSets[:n-1]
		return y
	}
	return newWorkerSet()
}

// releaseWorkers resets a set for the next test.
func releaseWorkers(y *workerSet) {
	for _, k := range y.links {
		k.Set(faker.Pass, 0)
	}
	for _, e := range y.engine {
		e.SetResume(true)
		e.SetSoftware("")
		e.SetFencing(false)
	}
	y.faults.Set()
	y.faults.Plan()
	y.calls.Reset()
	freeWorkerSetsMu.Lock()
	defer freeWorkerSetsMu.Unlock()
	freeWorkerSets = append(freeWorkerSets, y)
}

func newWorkerSet() *workerSet {
	y := &workerSet{faults: &faker.FaultInjector{}, calls: &faker.Counter{}, links: map[string]*faker.Link{}}
	for i := range 3 {
		name := fmt.Sprintf("w%d", i)
		e := faker.NewEngine(name, faker.Model{Step: time.Millisecond, Slots: 16}, y.calls)
		e.ShareInjector(y.faults)
		y.engine = append(y.engine, e)
		p := faker.NewService(name, 0, y.calls)
		p.ShareInjector(y.faults)
		m := http.NewServeMux()
		m.Handle("/v1/", e.Handler())
		m.Handle("/", p.Handler())
		link, _, err := faker.NewLink("127.0.0.1:0", httptest.NewServer(m).Listener.Addr().String())
		if err != nil {
			panic(err)
		}
		y.links[name] = link
		y.workers = append(y.workers, loader.Worker{Name: name, Address: link.Address(), Slots: 16})
	}
	return y
}

// fixture is an entry in front of a set of workers.
type fixture struct {
	*workerSet
	allocator *fakeAllocator
	server    *server.Server
	memory    *reserver.Memory
	url       string
	client    *http.Client
	clean     []func()
}

// options configure a fixture.
type options struct {
	resume  bool
	limits  func(*loader.Limits)
	limiter server.Limiter
	silence time.Duration // 0 is the default
	target  time.Duration // for the first byte of class hold; 0 is the default
}

func newFixture(o options) *fixture {
	s := &fixture{workerSet: acquireWorkers(), allocator: &fakeAllocator{}}
	s.allocator.workers = s.workers
	f := s.folder(o)
	limits := loader.Limits{
		MaxBody: 1 << 20, MaxHeader: 64 << 10, MaxAnswer: 1 << 20, MaxBuffered: 64 << 20, MaxCalls: 100,
		ReadTimeout: loader.Duration(10 * time.Second), WriteTimeout: loader.Duration(10 * time.Second), SilenceTimeout: loader.Duration(silence),
	}
	if o.limits != nil {
		o.limits(&limits)
	}
	forward, closeForward := forwarder.New(connector.Direct{}, cmp.Or(o.silence, silence))
	s.clean = append(s.clean, closeForward)
	s.memory = reserver.New(limits.MaxBuffered)
	s.server = server.New(limits, s.memory, configuration{f}, s.allocator, forward, zap.NewNop(), server.NewMetrics(prometheus.NewRegistry()))
	s.server.SetLimiter(o.limiter)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = s.server.Serve(l) }()
	s.url = "http://" + l.Addr().String()
	s.client = &http.Client{Transport: &http.Transport{}}
	s.clean = append(s.clean, s.client.CloseIdleConnections, func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.server.Shutdown(ctx)
		_ = l.Close()
	})
	return s
}

// startFixture returns a fixture that is closed at the end of the spec.
func startFixture(o options) *fixture {
	s := newFixture(o)
	DeferCleanup(s.close)
	return s
}

func (s *fixture) folder(o options) *loader.Folder {
	f := &loader.Folder{
		Classes: map[string]loader.Class{
			"chat": {Tier: 1, FirstByteTarget: loader.Duration(100 * time.Millisecond), AnswerTarget: loader.Duration(20 * time.Second)},
			"hold": {Tier: 0, FirstByteTarget: loader.Duration(cmp.Or(o.target, 100*time.Millisecond)), AnswerTarget: loader.Duration(20 * time.Second)},
			"plan": {Tier: 2, AnswerTarget: loader.Duration(20 * time.Second)},
		},
		Organisations: map[string]loader.Organisation{"dock": {Keys: []string{loader.HashKey(key)}, Classes: []string{"chat", "hold", "plan"}}},
	}
	f.Services = map[string]loader.Service{
		"lm":   {Kind: loader.KindEngine, Models: []string{"lm"}, Routes: []loader.Route{{Class: "chat"}}, Resumable: o.resume, Workers: s.workers},
		"desk": {Kind: loader.KindPlain, Routes: []loader.Route{{Path: "/holds", Class: "hold", Once: true}, {Path: "/", Class: "hold"}}, Workers: s.workers},
	}
	return f
}

func (s *fixture) close() {
	for _, f := range slices.Backward(s.clean) {
		f()
	}
	releaseWorkers(s.workerSet)
}

// response is what a caller received.
type response struct {
	status int
	header http.Header
	id     string
	tokens []string // in order
	done   bool
	code   string // of the error
	run    string
	after  time.Duration
	broken bool // the connection broke
	body   string
}

// checkComplete checks that the caller received the whole answer to its own request,
// each token once.
func (g response) checkComplete() error {
	if !g.done || g.code != "" || g.broken {
		return fmt.Errorf("status %d, done %t, code %q, broken %t, %d tokens", g.status, g.done, g.code, g.broken, len(g.tokens))
	}
	return g.checkTokens(tokens)
}

// checkTokens checks that the caller received exactly the first n tokens, in order, each
// once.
func (g response) checkTokens(n int) error {
	if len(g.tokens) != n {
		return fmt.Errorf("%d tokens, not %d: %q", len(g.tokens), n, g.tokens)
	}
	for i, t := range g.tokens {
		if t != faker.Token(g.id, i) {
			return fmt.Errorf("token %d of %s is %q", i, g.id, t)
		}
	}
	return nil
}

// checkMarkedBroken checks that the caller received a correct part from the start of its
// answer, and an indication that the rest is missing.
func (g response) checkMarkedBroken() error {
	if g.done || (g.code == "" && !g.broken) {
		return fmt.Errorf("broken, but not marked as such: done %t, %d tokens", g.done, len(g.tokens))
	}
	return g.checkTokens(len(g.tokens))
}

func completionBody(stream bool) string {
	return fmt.Sprintf(`{"model":"lm","stream":%t,"max_tokens":%d,"min_tokens":%d,"messages":[{"role":"user","content":"trip"}]}`, stream, tokens, tokens)
}

// request returns a caller's request.
func (s *fixture) request(ctx context.Context, path, body string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Header.Set("Authorization", "Bearer "+key)
	return r
}

func (s *fixture) stream() response {
	return s.send(s.request(context.Background(), "/v1/chat/completions", completionBody(true)))
}

func (s *fixture) json() response {
	return s.send(s.request(context.Background(), "/v1/chat/completions", completionBody(false)))
}

func (s *fixture) send(r *http.Request) response {
	resp, err := s.client.Do(r)
	if err != nil {
		return response{broken: true}
	}
	defer resp.Body.Close()
	return read(resp)
}

// read reads an answer as a client library would.
func read(resp *http.Response) response {
	g := response{status: resp.StatusCode, header: resp.Header, id: resp.Header.Get("X-Request-Id")}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		body, err := io.ReadAll(resp.Body)
		g.broken, g.body = err != nil, string(body)
		g.parse(body)
		g.done = err == nil && resp.StatusCode == http.StatusOK
		return g
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			g.done = true
		default:
			g.parse([]byte(data))
		}
	}
	g.broken = lines.Err() != nil
	return g
}

// parse reads one event, or the body of an answer that is not streamed.
func (g *response) parse(data []byte) {
	var v struct {
		Choices []struct {
			Delta, Message struct{ Content string }
		}
		Error struct {
			Code, Run string
			After     int64 `json:"retry_after_ms"`
		}
	}
	if err := json.Unmarshal(data, &v); err != nil {
		return
	}
	for _, c := range v.Choices {
		for _, t := range strings.SplitAfter(c.Delta.Content+c.Message.Content, " ") {
			if t != "" {
				g.tokens = append(g.tokens, t)
			}
		}
	}
	if v.Error.Code != "" {
		g.code, g.run, g.after = v.Error.Code, v.Error.Run, time.Duration(v.Error.After)*time.Millisecond
	}
}

// inParallel runs n tasks, at most 64 at a time, and joins their errors.
func inParallel(n int, task func(i int) error) error {
	var tasks sync.WaitGroup
	errs := make([]error, n)
	slots := make(chan struct{}, 64)
	for i := range n {
		tasks.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			errs[i] = task(i)
		})
	}
	tasks.Wait()
	return errors.Join(errs...)
}
