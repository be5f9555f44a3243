package router_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/budgeter"
	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/prover"
	"github.com/cicadawood/cicadawood/reserver"
	"github.com/cicadawood/cicadawood/resumer"
	"github.com/cicadawood/cicadawood/router"
)

func TestRouter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "router")
}

// plainDialect uses the simplest header names.
type plainDialect struct{}

func (plainDialect) Key(h http.Header) (string, bool) { return h.Get("Key"), h.Get("Key") != "" }
func (plainDialect) ReadRequest(h http.Header) router.RequestHead {
	output, _ := strconv.Atoi(h.Get("Output")) // 0 if missing
	expected, _ := strconv.Atoi(h.Get("Hint"))
	return router.RequestHead{ID: h.Get("Id"), Deadline: 2 * time.Second, MaxOutput: output, ExpectedOutput: expected, LastEventID: h.Get("After")}
}

func (plainDialect) WriteRequest(h http.Header, o router.WorkerHead) {
	h.Set("Organisation", o.Organisation)
	h.Set("Rank", fmt.Sprintf("%d of %d", o.Rank, o.Ranks))
}

func (plainDialect) ReadAnswer(_ int, h http.Header) router.AnswerHead {
	delay, _ := time.ParseDuration(h.Get("Wait")) // 0 if missing
	return router.AnswerHead{ID: h.Get("Id"), Sealed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != "", OtherWorker: h.Get("Other") != "", Leaving: h.Get("Leaving") != "", RetryAfter: router.RetryAfter{Delay: delay}}
}

func (plainDialect) Probe(worker string, _ loader.Service) (string, http.Header) {
	return "/alive", http.Header{"Worker": {worker}}
}

func (plainDialect) WriteAnswer(h http.Header, _ string, retryAfter time.Duration) {
	if retryAfter > 0 {
		h.Set("Retry-After", fmt.Sprint(retryAfter.Seconds()))
	}
}

// listPlacer returns its workers in order, and limits repeats to its budget.
type listPlacer struct {
	mu       sync.Mutex
	workers  []placer.Worker
	pause    time.Duration
	budget   int // maximum number of repeats
	requests []placer.Request
	charges  []router.Charge
	outcomes []placer.Outcome
	leaving  []string // workers reported as leaving
	backoffs []string // workers and times reported

	repeatsEnded []router.RepeatsEnded

	declining string // first worker, which no longer accepts requests after their delay; "" is none
}

func (p *listPlacer) Place(_ context.Context, a placer.Request, c router.Charge) (router.Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, a)
	p.charges = append(p.charges, c)
	if c.Repeats() {
		if p.budget--; p.budget < 0 {
			return router.Placement{}, router.Refused{Reason: "retry_budget", RetryAfter: time.Second}
		}
	}
	for _, w := range p.workers {
		if !strings.Contains(strings.Join(a.Exclude, " "), w.Name) {
			placement := router.Placement{Worker: w, Delay: p.pause}
			if c.Repeats() {
				placement.Repeat = budgeter.Repeat(len(p.requests))
			}
			return placement, nil
		}
	}
	return router.Placement{}, router.Refused{Reason: "no_workers", RetryAfter: time.Second}
}

func (p *listPlacer) Started(router.Placement, time.Duration) {}

func (p *listPlacer) RateReported(router.Placement, float64) {}

func (p *listPlacer) BackoffReported(x router.Placement, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoffs = append(p.backoffs, fmt.Sprint(x.Worker.Name, " ", d))
}

func (p *listPlacer) Accepts(_ context.Context, x router.Placement, _ placer.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x.Worker.Name != p.declining {
		return true
	}
	p.workers = p.workers[1:]
	return false
}

func (p *listPlacer) HasOther(_ context.Context, x router.Placement, a placer.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.workers, func(w placer.Worker) bool { return w.Name != x.Worker.Name && !slices.Contains(a.Exclude, w.Name) })
}

func (p *listPlacer) BrittleReported(router.Placement, time.Time, int) {}

func (p *listPlacer) LeavingReported(x router.Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = append(p.leaving, x.Worker.Name)
}

func (p *listPlacer) RepeatsEnded(e router.RepeatsEnded) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.repeatsEnded = append(p.repeatsEnded, e)
}

func (p *listPlacer) Ended(_ router.Placement, o placer.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes = append(p.outcomes, o)
}

func (p *listPlacer) ended() []placer.Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]placer.Outcome(nil), p.outcomes...)
}

// restartedOrigins knows which worker began a stream. The worker that answers first is another start
// of its name.
type restartedOrigins struct{ asked atomic.Int64 }

func (*restartedOrigins) Resolve(context.Context, resumer.TakenUp) (resumer.Answer, error) {
	return resumer.Answer{Result: resumer.Known, Worker: resumer.Worker{Service: "x", Name: "w", Version: "v1"}}, nil
}
func (*restartedOrigins) Began([]resumer.Key, resumer.Worker, time.Time) {}
func (*restartedOrigins) Replaced(context.Context, resumer.Worker, router.Confirmation) bool {
	return false
}

func (o *restartedOrigins) Certain(context.Context, resumer.Worker, time.Time) bool {
	return o.asked.Add(1) > 1
}
func (*restartedOrigins) Finished([]resumer.Key) {}

// fixedConfiguration is a configuration that does not change.
type fixedConfiguration struct{ folder *loader.Folder }

func (f fixedConfiguration) Folder() (*loader.Folder, uint64) { return f.folder, 1 }

func folder() *loader.Folder {
	route := func(prefix string, change func(*loader.HostRoute)) loader.HostRoute {
		r := loader.HostRoute{
			Host: "h.example", Prefix: prefix, Tier: 3, MaxAttempts: 2, Timeout: loader.Duration(2 * time.Second),
			Services: []loader.Split{{Service: strings.Trim(prefix, "/"), Weight: 1}},
		}
		if change != nil {
			change(&r)
		}
		return r
	}
	urgent := 0
	return &loader.Folder{
		Routes: map[string]loader.HostRoute{
			"a": route("/a/", nil), "ab": route("/a/b/", nil),
			"quick": route("/quick/", func(r *loader.HostRoute) { r.LatencyTarget = loader.Duration(50 * time.Millisecond) }),
			"late":  route("/late/", func(r *loader.HostRoute) { r.Tier = 5 }),
			"flow":  route("/flow/", func(r *loader.HostRoute) { r.Stream, r.Resumable = true, true }),
			"once":  route("/once/", func(r *loader.HostRoute) { r.Once, r.MaxAttempts = true, 1 }),
			"split": route("/split/", func(r *loader.HostRoute) {
				r.Services = []loader.Split{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}, {Service: "z", Weight: 0}}
			}),
		},
		Organisations: map[string]loader.Organisation{
			"small": {Keys: []string{loader.HashKey("s")}}, "large": {Keys: []string{loader.HashKey("l")}, Tier: &urgent},
		},
	}
}

var _ = Describe("Router", func() {
	var (
		fakePlacer *listPlacer
		url        string
		seen       chan *http.Request
		registry   *prometheus.Registry
		memory     *reserver.Memory
		origins    router.Origins
	)
	worker := func(name string, h http.HandlerFunc) {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			seen <- r
			w.Header().Set("Id", r.Header.Get("Id"))
			h(w, r)
		}))
		DeferCleanup(s.Close)
		fakePlacer.workers = append(fakePlacer.workers, placer.Worker{Name: name, Address: strings.TrimPrefix(s.URL, "http://")})
	}
	status := func(code int, headers ...string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			for _, h := range headers {
				w.Header().Set(h, "1")
			}
			w.WriteHeader(code)
			_, _ = io.WriteString(w, "body")
		}
	}
	// serve starts a router with a memory.
	serve := func(m *reserver.Memory) {
		pool, clean := connector.New(connector.Direct{})
		DeferCleanup(clean)
		memory = m
		r := router.New(router.Config{
			Dialect: plainDialect{}, Configuration: fixedConfiguration{folder()}, Placer: fakePlacer, Pool: pool, Log: zap.NewNop(),
			Metrics: router.NewMetrics(registry), MaxAnswer: 1 << 20, WriteTimeout: time.Second, Memory: m, Origins: origins,
		})
		s := httptest.NewUnstartedServer(r)
		s.Config.ReadTimeout = 300 * time.Millisecond
		s.Start()
		DeferCleanup(s.Close)
		url = s.URL
	}
	BeforeEach(func() {
		origins = nil
		fakePlacer, seen, registry = &listPlacer{budget: 100}, make(chan *http.Request, 2000), prometheus.NewRegistry()
		serve(reserver.New(64 << 20))
	})
	call := func(ctx context.Context, path, key string, header ...string) (int, http.Header, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+path, nil)
		Expect(err).NotTo(HaveOccurred())
		req.Host = "H.example:80"
		req.Header.Set("Id", "1")
		req.Header.Set("Key", key)
		for i := 0; i+1 < len(header); i += 2 {
			req.Header.Set(header[i], header[i+1])
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, nil, err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, resp.Header, err
	}
	bg := context.Background()

	// Guards against a part of an answer that is passed on as a whole one.
	DescribeTable("passes on no answer as whole that its worker cut off, at any byte", Label(prover.Cell(prover.Sent, prover.CutShort), prover.Cell(prover.MidStream, prover.CutShort), prover.Cell(prover.Answered, prover.CutShort)), func(path, before, head, body string) {
		whole := before + "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: 1\r\n" + head + "\r\n" + body
		var cut atomic.Int64
		worker("w", func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/alive" {
				return
			}
			conn, _, err := http.NewResponseController(w).Hijack()
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, _ = io.WriteString(conn, whole[:cut.Load()])
		})
		for n := range len(whole) {
			cut.Store(int64(n))
			code, _, err := call(bg, path, "s")
			if n < len(whole)-len(body) {
				Expect(err).NotTo(HaveOccurred())
				Expect(code).To(Equal(http.StatusBadGateway), "%q", whole[:n])
				continue
			}
			Expect(code == http.StatusBadGateway || err != nil).To(BeTrue(), "%d %v after %q", code, err, whole[:n])
		}
		cut.Store(int64(len(whole)))
		code, _, err := call(bg, path, "s")
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(http.StatusOK))
	},
		Entry("with a length", "/once/x", "", "Content-Length: 12\r\n", "twelve bytes"),
		Entry("in chunks", "/once/x", "", "Transfer-Encoding: chunked\r\n", "c\r\ntwelve bytes\r\n10\r\nsixteen bytes ..\r\n0\r\n\r\n"),
		Entry("in chunks, with extensions and a trailer", "/once/x", "", "Transfer-Encoding: chunked\r\nTrailer: X\r\n", "c;a=b\r\ntwelve bytes\r\n0\r\nX: y\r\n\r\n"),
		Entry("a stream in chunks", "/flow/x", "", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", "f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"),
		Entry("a stream with a length", "/flow/x", "", "Content-Type: text/event-stream\r\nContent-Length: 30\r\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
		Entry("after an informational answer", "/once/x", "HTTP/1.1 103 Early Hints\r\nId: 1\r\nSeal: 1\r\nContent-Length: 3\r\n\r\n", "Content-Length: 12\r\n", "twelve bytes"),
		Entry("without a body", "/once/x", "", "Content-Length: 0\r\n", ""),
		Entry("with neither a length nor chunks", "/once/x", "", "", ""),
	)

	// Guards against half an answer that counts as whole by a late answer to another request.
	It("takes no late answer to another request for the one to a probe", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		fakePlacer.workers = append(fakePlacer.workers, placer.Worker{Name: "w", Address: l.Addr().String()})
		half, framed := make(chan struct{}), make(chan struct{})
		serve := func(c net.Conn) {
			reader := bufio.NewReader(c)
			for req, err := http.ReadRequest(reader); err == nil; req, err = http.ReadRequest(reader) {
				switch req.URL.Path {
				case "/once/half":
					close(half)
					<-framed
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: 1\r\n\r\nhalf")
					_ = c.Close()
				case "/alive":
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: another\r\nContent-Length: 4\r\n\r\nlate")
				default:
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: 1\r\nContent-Length: 5\r\n\r\nwhole")
				}
			}
		}
		go func() {
			for c, err := l.Accept(); err == nil; c, err = l.Accept() {
				go serve(c)
			}
		}()
		codes := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			code, _, _ := call(bg, "/once/half", "s")
			codes <- code
		}()
		Eventually(half).Should(BeClosed())
		code, _, err := call(bg, "/once/framed", "s")
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(http.StatusOK))
		close(framed)
		Eventually(codes, "5s").Should(Receive(Equal(http.StatusBadGateway)))
	})

	// Guards against a part of a request that a worker runs.
	DescribeTable("runs no request that its caller cut off, at any byte", Label(prover.Cell(prover.Received, prover.CutShort)), func(head, body string) {
		worker("w", func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			status(http.StatusOK, "Seal")(w, r)
		})
		whole := "POST /once/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nKey: s\r\n" + head + "\r\n" + body
		for n := range len(whole) + 1 {
			c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			Expect(err).NotTo(HaveOccurred())
			_, err = io.WriteString(c, whole[:n])
			Expect(err).NotTo(HaveOccurred())
			Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
			if n < len(whole) {
				Expect(seen).To(BeEmpty(), "%q", whole[:n])
			}
		}
	},
		Entry("with a length", "Content-Length: 12\r\n", "twelve bytes"),
		Entry("in chunks", "Transfer-Encoding: chunked\r\n", "c\r\ntwelve bytes\r\n0\r\n\r\n"),
		Entry("in chunks, with a trailer", "Transfer-Encoding: chunked\r\nTrailer: X\r\n", "c\r\ntwelve bytes\r\n0\r\nX: y\r\n\r\n"),
	)

	// Guards against a host that is killed by many large bodies that arrive at once.
	It("counts bodies that are still arriving, and refuses those that don't fit", func() {
		registry = prometheus.NewRegistry()
		serve(reserver.New(2200 << 10))
		worker("w", status(http.StatusOK, "Seal"))
		host := strings.TrimPrefix(url, "http://")
		begin := func(head string) net.Conn {
			c, err := net.Dial("tcp", host)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _ = c.Close() })
			_, err = io.WriteString(c, "POST /a/1 HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nKey: s\r\n"+head+"\r\n")
			Expect(err).NotTo(HaveOccurred())
			return c
		}
		answered := func(c net.Conn) func() int {
			return func() int {
				_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					return 0
				}
				defer resp.Body.Close()
				return resp.StatusCode
			}
		}
		chunk := fmt.Sprintf("%x\r\n%s\r\n", 700<<10, strings.Repeat("b", 700<<10))

		stated := begin(fmt.Sprintf("Content-Length: %d\r\n", 700<<10))
		Eventually(func() int { return answered(begin("Content-Length: 1\r\n\r\nb"))() }, "5s", "50ms").Should(Equal(http.StatusOK))
		second := begin(fmt.Sprintf("Content-Length: %d\r\n", 700<<10))
		Eventually(answered(second), "2s").Should(Equal(http.StatusServiceUnavailable), "stated, none of it arrived")
		chunked := begin("Transfer-Encoding: chunked\r\n")
		_, _ = io.WriteString(chunked, chunk)
		Eventually(answered(chunked), "2s").Should(Equal(http.StatusServiceUnavailable), "in chunks")

		Expect(stated.Close()).To(Succeed())
		Eventually(func() int {
			c := begin(fmt.Sprintf("Content-Length: %d\r\n", 700<<10))
			_, _ = io.WriteString(c, strings.Repeat("b", 700<<10))
			return answered(c)()
		}, "5s", "100ms").Should(Equal(http.StatusOK), "what is gone no longer counts")
	})

	// Guards against a host that is killed because workers fail requests with large bodies that it
	// keeps until another worker has answered.
	It("counts a worker's error response for as long as it is kept", func() {
		registry = prometheus.NewRegistry()
		serve(reserver.New(64 << 20))
		worker("w-1", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(w, strings.Repeat("e", 300<<10))
		})
		reached, leave := make(chan struct{}), make(chan struct{})
		var once sync.Once
		end := func() { once.Do(func() { close(leave) }) }
		worker("w-2", func(w http.ResponseWriter, _ *http.Request) {
			close(reached)
			<-leave
			w.Header().Set("Seal", "1")
		})
		DeferCleanup(end)
		done := make(chan int, 1)
		go func() {
			code, _, _ := call(bg, "/a/x", "s")
			done <- code
		}()
		Eventually(reached, "2s").Should(BeClosed())
		taken, _ := memory.Taken()
		Expect(taken).To(BeNumerically(">=", 300<<10))
		end()
		Eventually(done, "2s").Should(Receive(Equal(http.StatusOK)))
		Eventually(func() int64 { taken, _ := memory.Taken(); return taken }).Should(BeZero())
	})

	// Guards against sound workers that are avoided because this host is short of memory, and against ones
	// without an end that are not.
	DescribeTable("blames a worker for an answer that does not fit only if it is large",
		func(size int, limit int64, expected placer.Outcome) {
			registry = prometheus.NewRegistry()
			serve(reserver.New(limit))
			worker("w", func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Seal", "1")
				_, _ = io.WriteString(w, strings.Repeat("x", size))
			})
			code, _, err := call(bg, "/once/x", "s")
			Expect(err).NotTo(HaveOccurred())
			Expect(code).To(Equal(http.StatusBadGateway))
			Expect(fakePlacer.ended()).To(Equal([]placer.Outcome{expected}))
		},
		Entry("a usual one, at a host without memory", 100<<10, int64(256<<10), placer.Canceled),
		Entry("one without an end", 16<<20, int64(64<<20), placer.Broken),
	)

	// Guards against a host that is killed because workers send events without an end.
	It("counts the event of a stream that is still arriving", func() {
		registry = prometheus.NewRegistry()
		serve(reserver.New(8 << 20))
		leave := make(chan struct{})
		worker("w", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Seal", "1")
			_, _ = io.WriteString(w, "id: 1\ndata: ")
			for range 100 {
				if _, err := io.WriteString(w, strings.Repeat("x", 1<<10)); err != nil {
					return
				}
			}
			w.(http.Flusher).Flush()
			<-leave
		})
		DeferCleanup(func() { close(leave) })
		ctx, cancel := context.WithCancel(bg)
		defer cancel()
		for range 64 {
			go func() { _, _, _ = call(ctx, "/flow/x", "s") }()
		}
		Eventually(func() int64 { _, most := memory.Taken(); return most }, "5s").Should(BeNumerically(">", 1<<20))
		Eventually(func() int64 { return memory.Refused(reserver.Event) }, "5s").Should(BeNumerically(">", 0))
		_, most := memory.Taken()
		Expect(most).To(BeNumerically("<=", 8<<20))
	})

	// Guards against a host whose processor is taken by streams of events without an end.
	DescribeTable("ends a stream that has far more events than its request allows tokens",
		func(output string, events int, whole bool) {
			var written atomic.Int64
			worker("w", func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("Seal", "1")
				for i := range events {
					if r.Context().Err() != nil {
						return
					}
					_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
					written.Add(1)
				}
			})
			worker("w-2", status(http.StatusOK, "Seal"))
			ctx, cancel := context.WithTimeout(bg, 5*time.Second)
			defer cancel()
			code, _, err := call(ctx, "/flow/x", "s", "Output", output)
			if whole {
				Expect(err).NotTo(HaveOccurred())
				Expect(code).To(Equal(http.StatusOK))
				Expect(fakePlacer.ended()).To(Equal([]placer.Outcome{placer.Answered}))
				return
			}
			Eventually(fakePlacer.ended, "2s").Should(ContainElement(placer.Broken))
			Expect(written.Load()).To(BeNumerically("<", events))
		},
		Entry("an event a token is whole", "200", 200, true),
		Entry("without an end it is broken off, and its worker's failure", "200", 2_000_000, false),
		Entry("of a request that allows no number it is whole", "0", 20000, true),
	)

	// Guards against a request that takes a route which its bytes don't lead to.
	DescribeTable("matches the path of a request as it was sent",
		func(target string, expected int) {
			worker("w", status(http.StatusOK, "Seal"))
			c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _ = c.Close() })
			_, err = io.WriteString(c, "GET "+target+" HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nKey: s\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			Expect(c.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			Expect(err).NotTo(HaveOccurred())
			_ = resp.Body.Close()
			Expect(resp.StatusCode).To(Equal(expected))
		},
		Entry("with an encoded slash", "/a%2Fx", http.StatusNotFound),
		Entry("with an encoded slash and a raw brace", "/a%2F{x", http.StatusNotFound),
		Entry("with a raw brace", "/a/{x", http.StatusOK),
		Entry("with a query", "/a/x?b=/a%2F", http.StatusOK),
		Entry("with a query and no path of a route", "/?/a/x", http.StatusNotFound),
		Entry("in its absolute form", "http://h.example/a/x", http.StatusOK),
	)

	// Guards against a proper request that is answered 400 because its body takes longer than the host's
	// time-out for heads.
	It("reads a body for as long as the request has time, and then answers that it was not run", func() {
		worker("w", status(http.StatusOK, "Seal"))
		send := func(pieces int) int {
			c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _ = c.Close() })
			_, err = io.WriteString(c, "POST /a/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nKey: s\r\nContent-Length: 8\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			for range pieces {
				time.Sleep(100 * time.Millisecond)
				_, err = io.WriteString(c, "b")
				Expect(err).NotTo(HaveOccurred())
			}
			Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			Expect(err).NotTo(HaveOccurred())
			_ = resp.Body.Close()
			return resp.StatusCode
		}
		Expect(send(8)).To(Equal(http.StatusOK))
		Expect(send(2)).To(Equal(http.StatusRequestTimeout))
		Expect(seen).To(HaveLen(1))
	})

	// Guards against a stream that goes on with events of another software version, because its worker has
	// started again between being chosen and being connected to.
	It("passes no event of a worker that may have started again since the stream began", func() {
		origins = &restartedOrigins{}
		registry = prometheus.NewRegistry()
		serve(reserver.New(64 << 20))
		events := func(text string) http.HandlerFunc {
			return func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("Seal", "1")
				_, _ = io.WriteString(w, "id: 2\ndata: "+text+"\n\n")
			}
		}
		worker("w", events("other"))
		worker("w-2", events("same"))
		req, err := http.NewRequestWithContext(bg, http.MethodGet, url+"/flow/x", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Host = "h.example"
		req.Header = http.Header{"Id": {"1"}, "Key": {"s"}, "After": {"1"}}
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(io.ReadAll(resp.Body)).To(BeEquivalentTo("id: 2\ndata: same\n\n"))
		Expect(fakePlacer.ended()).To(Equal([]placer.Outcome{placer.Canceled, placer.Answered}))
	})

	// Guards against the same in one answer, whose first worker crashed.
	It("passes no event of a worker that may have started again since the first event of its answer", func() {
		o := &restartedOrigins{}
		origins = o
		registry = prometheus.NewRegistry()
		serve(reserver.New(64 << 20))
		events := func(number int, text string, then func()) http.HandlerFunc {
			return func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("Seal", "1")
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, text)
				_ = http.NewResponseController(w).Flush()
				then()
			}
		}
		worker("w", events(1, "same", func() { panic(http.ErrAbortHandler) })) // the connection is aborted
		worker("w-2", events(2, "other", func() {}))
		req, err := http.NewRequestWithContext(bg, http.MethodGet, url+"/flow/x", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Host = "h.example"
		req.Header = http.Header{"Id": {"1"}, "Key": {"s"}}
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(string(body)).To(Equal("id: 1\ndata: same\n\n"))
		Expect(o.asked.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a stream that ends as complete before its last event, as another start of its worker, whose
	// answer has no event after the caller's last, is believed without asking which start it is.
	DescribeTable("takes no answer without an event for the end of a stream that goes on while its worker may have started again", func(contentType string, midStream bool) {
		o := &restartedOrigins{}
		origins = o
		registry = prometheus.NewRegistry()
		serve(reserver.New(64 << 20))
		header := http.Header{"Id": {"1"}, "Key": {"s"}}
		if midStream {
			worker("first", func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("Seal", "1")
				_, _ = io.WriteString(w, "id: 1\ndata: same\n\n")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler) // the connection is aborted
			})
		} else {
			header.Set("After", "1")
		}
		worker("other", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", contentType)
			w.Header().Set("Seal", "1")
		})
		worker("same", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Seal", "1")
			_, _ = io.WriteString(w, "id: 2\ndata: same\n\n")
		})
		req, err := http.NewRequestWithContext(bg, http.MethodGet, url+"/flow/x", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Host, req.Header = "h.example", header
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		whole := err == nil && resp.StatusCode == http.StatusOK
		Expect(whole && !strings.HasSuffix(string(body), "id: 2\ndata: same\n\n")).To(BeFalse(), "%d %q", resp.StatusCode, body)
		Expect(o.asked.Load()).To(BeNumerically(">", 0))
	},
		Entry("an event stream that a caller took up", "text/event-stream", false),
		Entry("another kind of answer to a caller that took a stream up", "application/json", false),
		Entry("an event stream in place of one that broke", "text/event-stream", true),
	)

	// Guards against events that a caller gets twice, as a worker begins before the one after its last.
	DescribeTable("passes on only what follows the last event of the caller that takes a stream up", func(last, want string, answers ...string) {
		for i, events := range answers {
			worker(fmt.Sprint("w", i), func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("Seal", "1")
				for _, e := range strings.SplitAfter(events, "\n\n") {
					_, _ = io.WriteString(w, e)
					_ = http.NewResponseController(w).Flush()
				}
				if i < len(answers)-1 {
					panic(http.ErrAbortHandler) // the connection is aborted
				}
			})
		}
		req, err := http.NewRequestWithContext(bg, http.MethodGet, url+"/flow/x", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Host = "h.example"
		req.Header = http.Header{"Id": {"1"}, "Key": {"s"}, "After": {last}}
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(io.ReadAll(resp.Body)).To(BeEquivalentTo(want))
	},
		Entry("from a worker that begins with the last one", "2", "id: 3\ndata: c\n\n", "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"),
		Entry("from one that begins anew", "2", "id: 3\ndata: c\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"),
		Entry("from one that has nothing new", "3", "", "id: 3\ndata: c\n\n"),
		Entry("from one that fails before it has something new", "2", "id: 3\ndata: c\n\n", "id: 1\ndata: a\n\n", "id: 3\ndata: c\n\n"),
		Entry("from one that fails after that", "1", "id: 2\ndata: b\n\nid: 3\ndata: c\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"),
		Entry("events without numbers", "2", "data: c\n\n", "data: c\n\n"),
		Entry("after a gap, as numbers need only increase", "2", "id: 9\ndata: c\n\n", "id: 9\ndata: c\n\n"),
	)

	// Guards against losing what an answer states of its worker because the answer itself is
	// of no use to the caller.
	DescribeTable("reports a worker that states that it is leaving", func(path string, h http.HandlerFunc) {
		worker("w", h)
		_, _, _ = call(bg, path, "s") // how it ends differs
		Expect(fakePlacer.leaving).NotTo(BeEmpty())
		Expect(fakePlacer.leaving).To(HaveEach("w"))
	},
		Entry("in a whole answer", "/a/x", status(http.StatusOK, "Seal", "Leaving")),
		Entry("in an error", "/a/x", status(http.StatusInternalServerError, "Seal", "Leaving")),
		Entry("in a refusal", Label(prover.Cell(prover.Sent, prover.LeavingAnswer)), "/a/x", status(http.StatusServiceUnavailable, "Not-Run", "Leaving")),
		Entry("in a refusal that does not say that it was not run", "/once/x", status(http.StatusServiceUnavailable, "Leaving")),
		Entry("in an unsealed answer", "/once/x", status(http.StatusOK, "Leaving")),
		Entry("in an encoded answer", "/once/x", status(http.StatusOK, "Seal", "Leaving", "Content-Encoding")),
		Entry("in the head of a stream that breaks off", "/flow/x", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Seal", "1")
			w.Header().Set("Leaving", "1")
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 2\nda")
			_ = http.NewResponseController(w).Flush() // the connection is aborted next
			panic(http.ErrAbortHandler)
		}),
		Entry("in a late answer to another request", "/once/x", func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 0\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n")
		}),
	)

	It("reports how long a worker that refused wants no requests", func() {
		refuse := func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.Header().Set("Wait", "3s")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		worker("w", refuse)
		worker("x", status(http.StatusOK, "Seal"))
		code, _, err := call(bg, "/once/x", "s")
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(http.StatusOK))
		Expect(fakePlacer.backoffs).To(Equal([]string{"w 3s"}))
	})

	// Guards against a request that waits for its delay and is then sent to a worker that no
	// longer accepts any.
	It("places a request again whose worker no longer accepts it after its delay", Label(prover.Cell(prover.Granted, prover.RetryAfter), prover.Cell(prover.Granted, prover.LeavingAnswer)), func() {
		worker("w", status(http.StatusOK, "Seal"))
		worker("x", status(http.StatusOK, "Seal"))
		fakePlacer.pause, fakePlacer.declining = 10*time.Millisecond, "w"
		code, _, err := call(bg, "/once/x", "s")
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(http.StatusOK))
		Expect(seen).To(HaveLen(1))
		Expect(fakePlacer.ended()).To(Equal([]placer.Outcome{placer.Canceled, placer.Answered}))
	})

	It("reports no worker for an answer by which the address is another worker's", func() {
		worker("w", status(http.StatusMisdirectedRequest, "Not-Run", "Other", "Leaving"))
		code, _, err := call(bg, "/a/x", "s")
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(http.StatusServiceUnavailable))
		Expect(fakePlacer.leaving).To(BeEmpty())
	})

	It("routes by the longest path prefix, and by the weights of the services", func() {
		worker("w", status(http.StatusOK, "Seal"))
		for path, service := range map[string]string{"/a/x": "a", "/a/b/x": "a/b", "/a/bc": "a"} {
			code, _, err := call(bg, path, "s")
			Expect(err).NotTo(HaveOccurred())
			Expect(code).To(Equal(http.StatusOK))
			Expect(fakePlacer.requests[len(fakePlacer.requests)-1].Service).To(Equal(service))
		}
		count := map[string]int{}
		for range 400 {
			_, _, err := call(bg, "/split/x", "s")
			Expect(err).NotTo(HaveOccurred())
			count[fakePlacer.requests[len(fakePlacer.requests)-1].Service]++
		}
		Expect(count["x"]).To(BeNumerically("~", 360, 35))
		Expect(count).NotTo(HaveKey("z"))
	})

	It("counts refused requests by the route's tier and by cause", func() {
		for path, key := range map[string]string{"/a/x": "l", "/late/x": "s"} {
			code, _, err := call(bg, path, key)
			Expect(err).NotTo(HaveOccurred())
			Expect(code).To(Equal(http.StatusServiceUnavailable))
		}
		Expect(testutil.GatherAndCompare(registry, strings.NewReader(`
			# HELP cicadawood_routed_refused_total Requests that no worker got, by the tier of their route and by cause.
			# TYPE cicadawood_routed_refused_total counter
			cicadawood_routed_refused_total{cause="no_workers",tier="3"} 1
			cicadawood_routed_refused_total{cause="no_workers",tier="5"} 1
		`), "cicadawood_routed_refused_total")).To(Succeed())
	})

	// Guards against an engine with more requests than slots preempting the more urgent
	// of two requests: both organisations have the same tier, so the route's tier must
	// decide.
	It("ranks a request by its organisation's tier, and within that by its route's", func() {
		worker("w", status(http.StatusOK, "Seal"))
		for _, c := range []struct{ path, key, rank string }{
			{"/a/x", "l", "0 of 6"}, {"/late/x", "l", "1 of 6"}, {"/a/x", "s", "2 of 6"},
		} {
			_, _, err := call(bg, c.path, c.key)
			Expect(err).NotTo(HaveOccurred())
			Expect((<-seen).Header.Get("Rank")).To(Equal(c.rank))
		}
	})

	// Guards against passing on a status that callers take to mean "not run" from a
	// worker that does not state this itself.
	DescribeTable("does not pass on a status that implies not run unless the worker confirms it", func(code int) {
		worker("w", status(code, "Seal"))
		got, h, err := call(bg, "/once/x", "s")
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(http.StatusBadGateway))
		Expect(h).NotTo(HaveKey("Retry-After"))
		Expect(h).NotTo(HaveKey("Seal"))
		Expect(seen).To(HaveLen(1))
	}, Entry(nil, 429), Entry(nil, 503), Entry(nil, 408))

	It("passes a worker's error response on unchanged if no other worker may be tried", func() {
		worker("w", status(http.StatusInternalServerError, "Seal"))
		code, h, err := call(bg, "/once/x", "s")
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(http.StatusInternalServerError))
		Expect(h.Get("Seal")).To(Equal("1"))
		code, _, err = call(bg, "/a/x", "s") // repeatable, but there is no other worker
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(http.StatusInternalServerError))
		Expect(fakePlacer.ended()).To(Equal([]placer.Outcome{placer.Errored, placer.Errored}))
	})

	It("repeats only within the budget, and then passes on the stored error response", func() {
		worker("w-1", status(http.StatusInternalServerError, "Seal"))
		worker("w-2", status(http.StatusOK, "Seal"))
		fakePlacer.budget = 1
		code, _, err := call(bg, "/a/x", "s")
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(http.StatusOK))
		code, _, err = call(bg, "/a/x", "s")
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(http.StatusInternalServerError))
	})

	// Guards against more repeats than the budget allows while many workers can't be connected to.
	It("charges the retry budget once for a request, however many workers can't be connected to", func() {
		for _, name := range []string{"gone-1", "gone-2"} {
			fakePlacer.workers = append(fakePlacer.workers, placer.Worker{Name: name, Address: "127.0.0.1:1"})
		}
		worker("w", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		worker("x", status(http.StatusOK, "Seal"))
		code, _, _ := call(bg, "/a/x", "s")
		Expect(code).To(Equal(http.StatusOK))
		Expect(fakePlacer.charges).To(Equal([]router.Charge{router.ChargeFirst, router.ChargeNone, router.ChargeNone, router.ChargeRepeat}))
	})

	// Guards against an answer that is given up as late though no further worker may be tried.
	It("waits for the last worker that a request may be sent to", func() {
		for _, name := range []string{"w-1", "w-2", "w-3"} {
			worker(name, status(http.StatusServiceUnavailable, "Not-Run"))
		}
		worker("late", func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(300 * time.Millisecond) // three times as long as a worker may be silent otherwise
			status(http.StatusOK, "Seal")(w, r)
		})
		code, _, err := call(bg, "/quick/x", "s")
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(http.StatusOK))
	})

	// Guards against an answer that is given up as late though there is no other worker.
	It("waits for the only worker that there is, and gives it up once there is another one", func() {
		delay := 300 * time.Millisecond // three times as long as a worker may be silent otherwise
		var got atomic.Int64
		worker("only", func(w http.ResponseWriter, r *http.Request) {
			if got.Add(1) > 1 {
				<-r.Context().Done()
				return
			}
			time.Sleep(delay)
			status(http.StatusOK, "Seal")(w, r)
		})
		code, _, err := call(bg, "/quick/x", "s")
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(http.StatusOK))

		other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			status(http.StatusOK, "Seal")(w, r)
		}))
		DeferCleanup(other.Close)
		time.AfterFunc(delay, func() {
			fakePlacer.mu.Lock()
			defer fakePlacer.mu.Unlock()
			fakePlacer.workers = append(fakePlacer.workers, placer.Worker{Name: "joined", Address: strings.TrimPrefix(other.URL, "http://")})
		})
		code, _, err = call(bg, "/quick/x", "s")
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(http.StatusOK))
	})

	// Guards against repeats that count before they arrive: a silent worker may read a send later.
	It("reports a repeat as open while a worker may still read a send of its request", func() {
		worker("silent", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		worker("w", status(http.StatusOK, "Seal"))
		code, _, _ := call(bg, "/quick/x", "s")
		Expect(code).To(Equal(http.StatusOK))
		Expect(fakePlacer.repeatsEnded).NotTo(BeEmpty())
		Expect(fakePlacer.repeatsEnded).To(HaveEach(HaveField("Workers", []string{"silent"})))
		Expect(fakePlacer.repeatsEnded[len(fakePlacer.repeatsEnded)-1].Unanswered).To(Equal([]budgeter.Repeat{2}))
	})

	It("reports when a repeat has arrived, and which one was not sent", func() {
		worker("w-1", status(http.StatusServiceUnavailable, "Not-Run"))
		fakePlacer.workers = append(fakePlacer.workers, placer.Worker{Name: "gone", Address: "127.0.0.1:1"})
		worker("w-2", status(http.StatusOK, "Seal"))
		code, _, _ := call(bg, "/a/x", "s")
		Expect(code).To(Equal(http.StatusOK))
		Expect(fakePlacer.repeatsEnded).To(HaveLen(2))
		Expect(fakePlacer.repeatsEnded[0].NotSent).To(Equal([]budgeter.Repeat{2}))
		Expect(fakePlacer.repeatsEnded[1].Arrived).To(Equal([]budgeter.Repeat{3}))
	})

	It("counts failed sends by cause and by whether another send followed", func() {
		worker("w-1", status(http.StatusServiceUnavailable, "Not-Run"))
		worker("w-2", status(http.StatusInternalServerError, "Seal"))
		_, _, err := call(bg, "/once/x", "s")
		Expect(err).NotTo(HaveOccurred())
		families, err := registry.Gather()
		Expect(err).NotTo(HaveOccurred())
		counted := map[string]float64{}
		for _, f := range families {
			if f.GetName() != "cicadawood_routed_failed_sends_total" {
				continue
			}
			for _, m := range f.GetMetric() {
				counted[m.GetLabel()[1].GetValue()+" "+m.GetLabel()[0].GetValue()] = m.GetCounter().GetValue()
			}
		}
		Expect(counted).To(Equal(map[string]float64{"not_run true": 1, "failed false": 1}))
	})

	It("reports a request as not run only if all workers did", func() {
		worker("w-1", status(http.StatusServiceUnavailable, "Not-Run"))
		code, h, err := call(bg, "/once/x", "s")
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(http.StatusServiceUnavailable))
		Expect(h.Get("Retry-After")).To(Equal("1"))
		worker("w-2", status(http.StatusServiceUnavailable)) // does not state whether it ran the request
		code, h, err = call(bg, "/once/x", "s")
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(http.StatusBadGateway))
		Expect(h).NotTo(HaveKey("Retry-After"))
	})

	// Guards against sending a request whose caller disconnected while the send was
	// delayed.
	It("does not send a request whose caller disconnected during its delay", func() {
		worker("w", status(http.StatusOK, "Seal"))
		fakePlacer.pause = 300 * time.Millisecond
		ctx, leave := context.WithTimeout(bg, 50*time.Millisecond)
		defer leave()
		_, _, err := call(ctx, "/a/x", "s")
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Eventually(fakePlacer.ended, time.Second).Should(Equal([]placer.Outcome{placer.Canceled}))
		Expect(seen).To(BeEmpty())
	})

	// A long stream breaks after most of its events and resumes at another worker.
	// If its original expected length were assumed, it would be refused there for lack of
	// time, and the caller would have only part of the answer.
	It("passes the expected output to the placer, except for resumed streams", func() {
		var broken atomic.Bool
		broken.Store(true)
		events := func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Seal", "1")
			_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
			w.(http.Flusher).Flush()
			if broken.Swap(false) {
				panic(http.ErrAbortHandler)
			}
		}
		worker("w", events)
		worker("w-2", events)
		expected := func(header ...string) []int {
			fakePlacer.requests = nil
			code, _, err := call(bg, "/flow/x", "s", header...)
			Expect(err).NotTo(HaveOccurred())
			Expect(code).To(Equal(http.StatusOK))
			var out []int
			for _, a := range fakePlacer.requests {
				out = append(out, a.Expected)
			}
			return out
		}
		Expect(expected("Output", "400", "Hint", "120")).To(Equal([]int{120, 0}))
		Expect(expected("Output", "400", "Hint", "120")).To(Equal([]int{120}))
		Expect(expected("Output", "400", "Hint", "900")).To(Equal([]int{400}), "no more than the maximum")
		Expect(expected("Output", "400")).To(Equal([]int{0}), "not stated")
		Expect(expected("Output", "400", "Hint", "120", "After", "7")).To(Equal([]int{0}))
	})
})
