package server_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/prover"
)

// countingLimiter is a server.Limiter that admits a fixed number of requests.
type countingLimiter struct {
	mu        sync.Mutex
	remaining int
	settled   []int
}

func (l *countingLimiter) Admit(string, int, int) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remaining--
	return 10 * time.Second, l.remaining >= 0
}

func (l *countingLimiter) Settle(_ string, _, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settled = append(l.settled, tokens)
}

var _ = Describe("a request that is not accepted", func() {
	DescribeTable("is refused with an error code, and not run",
		func(change func(r *http.Request), status int, code string) {
			s := startFixture(options{resume: true, limits: func(l *loader.Limits) { l.MaxBody = 4096 }})
			r := s.request(context.Background(), "/v1/chat/completions", completionBody(true))
			change(r)
			g := s.send(r)
			Expect(g.status).To(Equal(status))
			Expect(g.code).To(Equal(code))
			Expect(g.run).To(Equal("no"))
			Expect(g.header.Get("Cicadawood-Run")).To(Equal("no"))
			Expect(g.id).NotTo(BeEmpty())
			Expect(s.allocator.asks).To(BeEmpty())
		},
		Entry("without a key", func(r *http.Request) { r.Header.Del("Authorization") }, 401, "invalid_api_key"),
		Entry("with a wrong key", func(r *http.Request) { r.Header.Set("Authorization", "Bearer x") }, 401, "invalid_api_key"),
		Entry("of an unknown class", func(r *http.Request) { r.Header.Set("Cicadawood-Class", "vip") }, 403, "class_not_allowed"),
		Entry("with an invalid deadline", func(r *http.Request) { r.Header.Set("Cicadawood-Deadline", "-1") }, 400, "bad_deadline"),
		Entry("that is not JSON", body(`{"model":`), 400, "bad_json"),
		Entry("without a prompt", body(`{"model":"lm"}`), 400, "no_prompt"),
		Entry("of an unknown model", body(`{"model":"x","prompt":"y"}`), 404, "model_not_found"),
		Entry("with a resume field of the caller's own", body(`{"model":"lm","prompt":"y","resume":3}`), 400, "resume"),
		Entry("that is too large", body(strings.Repeat(" ", 5000)), 413, "body_too_large"),
	)

	It("is refused over its limit, with a time to retry", func() {
		l := &countingLimiter{remaining: 1}
		s := startFixture(options{limiter: l})
		Expect(s.stream().checkComplete()).To(Succeed())
		g := s.stream()
		Expect(g.status).To(Equal(429))
		Expect(g.code).To(Equal("rate_limited"))
		Expect(g.run).To(Equal("no"))
		Expect(g.header.Get("Cicadawood-Class")).To(Equal("chat"))
		Expect(g.after).To(And(BeNumerically(">=", 10*time.Second), BeNumerically("<=", 15*time.Second)))
		Expect(l.settled).To(HaveLen(1))
		Expect(l.settled[0]).To(BeZero(), "the answer reached the caller's maximum, so the estimate was exact")
	})
})

func body(text string) func(r *http.Request) {
	return func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(text)), int64(len(text))
	}
}

// Guards against low tiers filling a host: urgent requests must still be admitted, and
// the lowest tier is refused first.
var _ = Describe("a host that is nearly full", func() {
	It("refuses the lowest tier first, and reserves places for the most urgent", func() {
		s := startFixture(options{limits: func(l *loader.Limits) { l.MaxCalls = 10 }})
		s.allocator.gate = make(chan struct{})
		ctx, leave := context.WithCancel(context.Background())
		var callers sync.WaitGroup
		begin := func(class string) {
			r := s.request(ctx, "/v1/chat/completions", completionBody(true))
			r.Header.Set("Cicadawood-Class", class)
			callers.Go(func() { s.send(r) })
		}
		fill := func(class string, to int) {
			for n := int(s.server.InFlight()); n < to; n++ {
				begin(class)
				Eventually(s.server.InFlight).Should(BeEquivalentTo(n + 1))
			}
		}
		refused := func(class string) string {
			r := s.request(ctx, "/v1/chat/completions", completionBody(true))
			r.Header.Set("Cicadawood-Class", class)
			return s.send(r).code
		}
		fill("plan", 8)
		Expect(refused("plan")).To(Equal("host_full"))
		fill("chat", 9)
		Expect(refused("chat")).To(Equal("host_full"))
		fill("hold", 10)
		Expect(refused("hold")).To(Equal("host_full"))
		leave()
		callers.Wait()
		Eventually(s.server.InFlight).Should(BeZero())
	})

	It("limits the bytes that it buffers", func() {
		s := startFixture(options{limits: func(l *loader.Limits) { l.MaxBuffered = 4 << 20 }})
		s.allocator.gate = make(chan struct{})
		ctx, leave := context.WithCancel(context.Background())
		big := func() *http.Request { return s.request(ctx, "/services/desk/log", strings.Repeat("x", 1000<<10)) }
		var caller sync.WaitGroup
		caller.Go(func() { s.send(big()) })
		Eventually(s.server.InFlight).Should(BeEquivalentTo(1))
		Expect(s.send(big()).code).To(Equal("host_full"))
		leave()
		caller.Wait()
		Eventually(s.server.InFlight).Should(BeZero())
		close(s.allocator.gate)
		ctx = context.Background()
		Expect(s.send(big()).status).To(Equal(http.StatusOK), "the memory was released")
	})

	It("limits the connections of callers", func() {
		s := startFixture(options{limits: func(l *loader.Limits) { l.MaxCalls, l.ReadTimeout = 4, loader.Duration(time.Minute) }})
		address := strings.TrimPrefix(s.url, "http://")
		var open []net.Conn
		for range 8 {
			conn, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			open = append(open, conn)
		}
		for _, c := range open { // connections are accepted in order: each is established before the next
			fmt.Fprint(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
			_, err := c.Read(make([]byte, 1))
			Expect(err).NotTo(HaveOccurred())
		}
		last, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer last.Close()
		_ = last.SetReadDeadline(time.Now().Add(20 * time.Second))
		_, err = last.Read(make([]byte, 1))
		Expect(err).To(Or(MatchError(io.EOF), MatchError(syscall.ECONNRESET)), "a connection over the limit is closed")
		_ = open[0].Close()
		Eventually(func() bool { return s.stream().checkComplete() == nil }).Should(BeTrue())
	})

	// A caller sends its head and half of its body, and then nothing: disconnected,
	// frozen, or slow on purpose.
	It("gives up a caller that does not finish sending its request", Label(prover.Cell(prover.Received, prover.Blackhole), prover.Cell(prover.Received, prover.Slow), prover.Cell(prover.Received, prover.Freeze), prover.Cell(prover.Received, prover.CutOneWay)), func() {
		s := startFixture(options{limits: func(l *loader.Limits) { l.ReadTimeout = loader.Duration(silence) }})
		conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", key)
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		answer, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred(), "the host closes the connection")
		Expect(string(answer)).To(ContainSubstring("body_unreadable"))
		Expect(string(answer)).To(ContainSubstring(`"run":"no"`))
		Expect(s.allocator.asks).To(BeEmpty())
	})
})

var _ = Describe("an answer that is not streamed", func() {
	// Guards against passing on part of an answer with a clean end, which a caller would
	// take for the whole one: the application fails within its answer.
	DescribeTable("is requested from another worker if it breaks",
		func(fault faker.Fault) {
			s := startFixture(options{})
			s.faults.Plan([]faker.Fault{fault})
			g := s.send(s.request(context.Background(), "/services/desk/quotes", "{}"))
			Expect(g.status).To(Equal(http.StatusOK))
			Expect(g.body).To(ContainSubstring(g.id))
			Expect(g.body).To(HaveSuffix("}"))
			Expect(s.allocator.asks).To(HaveLen(2))
		},
		Entry("before its head", faker.Fault{Kind: faker.Crash, At: faker.AtHead}),
		Entry("inside its body", faker.Fault{Kind: faker.Crash, At: faker.AtEnd}),
		Entry("short of its length", faker.Fault{Kind: faker.Truncated, At: faker.AtEnd}),
		Entry("crossed", faker.Fault{Kind: faker.Mismatched, At: faker.AtHead}),
		Entry("refused", faker.Fault{Kind: faker.Refuse}),
	)

	DescribeTable("of a call that must not be repeated is reported as it ended",
		func(fault faker.Fault, code, run string, ran, asks int) {
			s := startFixture(options{})
			s.faults.Plan([]faker.Fault{fault})
			g := s.send(s.request(context.Background(), "/services/desk/holds", "{}"))
			Expect(g.code).To(Equal(code))
			Expect(g.run).To(Equal(run))
			Expect(s.allocator.asks).To(HaveLen(asks))
			Expect(s.calls.Counts()).To(HaveLen(ran))
		},
		Entry("lost", faker.Fault{Kind: faker.Crash, At: faker.AtHead}, "answer_lost", "unknown", 1, 1),
		Entry("cut", faker.Fault{Kind: faker.Crash, At: faker.AtEnd}, "answer_lost", "unknown", 1, 1),
		Entry("crossed", faker.Fault{Kind: faker.Mismatched, At: faker.AtHead}, "answer_lost", "unknown", 1, 1),
		Entry("refused, so sent to another worker", faker.Fault{Kind: faker.Refuse}, "", "", 1, 2),
	)

	It("that is too large to buffer is passed on, and reset if it breaks", func() {
		s := startFixture(options{limits: func(l *loader.Limits) { l.MaxAnswer = 64 << 10 }})
		large := func() response {
			return s.send(s.request(context.Background(), "/services/desk/log?size=1000000", ""))
		}
		g := large()
		Expect(g.broken).To(BeFalse())
		Expect(len(g.body)).To(BeNumerically(">", 1000000))
		s.faults.Plan([]faker.Fault{{Kind: faker.Crash, At: faker.AtEnd}})
		g = large()
		Expect(g.broken).To(BeTrue(), "it must not end cleanly")
		Expect(s.allocator.asks).To(HaveLen(2), "it must not be sent again from its start")
	})

	It("of unknown length that is too large to buffer is reset if it breaks", func() {
		s := startFixture(options{limits: func(l *loader.Limits) { l.MaxAnswer = 16 }})
		address, _ := rawWorker("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n64\r\n" + strings.Repeat("x", 100) + "\r\n")
		s.allocator.workers = []loader.Worker{{Name: "raw", Address: address, Slots: 1}}
		g := s.send(s.request(context.Background(), "/services/desk/log", ""))
		Expect(g.broken).To(BeTrue(), "after a clean end, half an answer would look complete")
	})

	DescribeTable("is checked for its framing",
		func(method, answer string, status int) {
			s := startFixture(options{})
			address, heads := rawWorker(answer)
			s.allocator.workers = []loader.Worker{{Name: "old", Address: address, Slots: 1}}
			r := s.request(context.Background(), "/services/desk/holds", "")
			r.Method = method
			Expect(s.send(r).status).To(Equal(status))
			Expect(<-heads).NotTo(ContainSubstring(key), "the caller's API key must not reach the backend server")
		},
		Entry("an answer without framing is not passed on", "POST", "HTTP/1.0 200 OK\r\n\r\n{\"fare\":1", http.StatusBadGateway),
		Entry("a head without a body is complete", "HEAD", "HTTP/1.1 200 OK\r\n\r\n", http.StatusOK),
		Entry("no content is complete", "POST", "HTTP/1.1 204 No Content\r\n\r\n", http.StatusNoContent),
		Entry("terminated chunks are complete", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", http.StatusOK),
		Entry("unterminated chunks are incomplete", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", http.StatusBadGateway),
	)

	It("of an engine is not requested in a compressed form", func() {
		s := startFixture(options{})
		address, heads := rawWorker("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		s.allocator.workers = []loader.Worker{{Name: "raw", Address: address, Slots: 1}}
		r := s.request(context.Background(), "/v1/chat/completions", completionBody(false))
		r.Header.Set("Accept-Encoding", "gzip")
		Expect(s.send(r).status).To(Equal(http.StatusOK))
		Expect(<-heads).NotTo(ContainSubstring("gzip"))
	})
})

// rawWorker answers every call with the same bytes and closes the connection. The
// channel receives the request heads.
func rawWorker(answer string) (string, <-chan string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	heads := make(chan string, 16)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			head := make([]byte, 64<<10)
			n, _ := conn.Read(head)
			heads <- string(head[:n])
			fmt.Fprint(conn, answer)
			_ = conn.Close()
		}
	}()
	return l.Addr().String(), heads
}

var _ = Describe("a stream", func() {
	It("that lacks only its end marker is completed with it", Label(prover.Cell(prover.Acked, prover.CutBothWays)), func() {
		s := startFixture(options{})
		s.faults.Plan([]faker.Fault{{Kind: faker.Crash, At: faker.AtDone}})
		Expect(s.stream().checkComplete()).To(Succeed(), "the engine sent a finish reason: nothing is missing")
		Expect(s.allocator.asks).To(HaveLen(1))
	})

	It("that ends cleanly but too early is not whole", func() {
		s := startFixture(options{})
		s.faults.Plan([]faker.Fault{{Kind: faker.Truncated, At: 5}})
		g := s.stream()
		Expect(g.checkMarkedBroken()).To(Succeed())
		Expect(g.checkTokens(5)).To(Succeed())
		Expect(g.code).To(Equal("answer_lost"))
		Expect(g.run).To(Equal("unknown"))
	})

	// Guards against a caller receiving tokens twice: the engine is configured as able
	// to resume, but starts its answer from the beginning.
	It("of an engine that can't resume contains no token twice", func() {
		s := startFixture(options{resume: true})
		s.engine[1].SetResume(false)
		s.faults.Plan([]faker.Fault{{Kind: faker.Crash, At: 5}})
		Expect(s.stream().checkComplete()).To(Succeed())
		Expect(s.allocator.released).To(HaveLen(3), "the second engine started again and was given up")
		Expect(s.allocator.released[1].Failed).To(BeTrue())
	})

	// Guards against an answer of two parts that don't fit: the engine that could resume runs
	// another software than the one that began.
	It("goes on only at an engine that states the same software", func() {
		s := startFixture(options{resume: true})
		for i, software := range []string{"a 1", "a 2", "a 1"} {
			s.engine[i].SetSoftware(software)
		}
		s.faults.Plan([]faker.Fault{{Kind: faker.Crash, At: 5}})
		Expect(s.stream().checkComplete()).To(Succeed())
		Expect(s.allocator.released).To(HaveLen(3), "the second engine was given up")
		Expect(s.allocator.released[1].Failed).To(BeTrue())
	})

	// Guards against retries multiplying the load when all engines are down: each
	// request may be tried a few times, but all together only within the retry budgets.
	It("is not retried beyond the budgets", func() {
		s := startFixture(options{resume: true})
		s.faults.Set(faker.Fault{Kind: faker.Refuse})
		for range 40 {
			g := s.stream()
			Expect(g.code).To(Equal("worker_unreachable"))
			Expect(g.run).To(Equal("no"))
			Expect(g.after).To(BeNumerically(">=", time.Second))
		}
		Expect(len(s.allocator.asks)-40).To(BeNumerically("<=", 30+8+10), "burst, a fifth of the first tries, and the minimum")
	})
})
