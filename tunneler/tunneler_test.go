package tunneler_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/reacher"
	"github.com/cicadawood/cicadawood/tunneler"
)

func TestTunneler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tunneler")
}

// worker accepts connections and hands them to the test.
type worker struct {
	address string
	conns   chan net.Conn
}

func newWorker() worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	w := worker{address: l.Addr().String(), conns: make(chan net.Conn, 100)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.conns <- c
		}
	}()
	return w
}

// links is a connector.Dialer that a test can cut.
type links struct {
	connector.Direct
	cut     atomic.Bool
	closing atomic.Bool // connections are accepted, and closed at once
	dials   atomic.Int32
}

var errCut = fmt.Errorf("cut: %w", syscall.ECONNREFUSED)

func (l *links) Dial(ctx context.Context, t connector.Target) (net.Conn, error) {
	l.dials.Add(1)
	if l.cut.Load() {
		return nil, errCut
	}
	if l.closing.Load() {
		near, far := net.Pipe()
		return near, far.Close()
	}
	return l.Direct.Dial(ctx, t)
}

// host is a host with its listener for other hosts.
type host struct {
	*tunneler.Dialer
	reacher.Host
	links *links
	lost  chan struct{}
}

func newHost(name string, maxServed int) *host {
	h := &host{links: &links{}, lost: make(chan struct{}, 100)}
	h.Dialer = tunneler.New(tunneler.Config{
		Self: name, Zone: "a", Direct: h.links, MaxServed: maxServed, Log: zap.NewNop(), Metrics: tunneler.NewMetrics(prometheus.NewRegistry()),
	})
	h.OnLost(func() { h.lost <- struct{}{} })
	m, closeMessenger, err := messenger.Open(messenger.Config{Name: name, Incarnation: 1, Address: "127.0.0.1:0", OnTunnel: h.Serve}, func(messenger.Envelope, messenger.Message) {})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(closeMessenger)
	h.Host = reacher.Host{Name: name, Zone: "a", Address: m.Address(), Incarnation: 1}
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	go h.Run(ctx)
	return h
}

// meet makes hosts know the workers and each other.
func meet(workers []worker, hosts ...*host) {
	var list []reacher.Worker
	for _, w := range workers {
		list = append(list, reacher.Worker{Address: w.address})
	}
	for _, h := range hosts {
		h.SetWorkers(list)
		var others []reacher.Host
		for _, o := range hosts {
			if o != h {
				others = append(others, o.Host)
			}
		}
		h.SetHosts(others)
	}
}

func (h *host) dial(w worker) (net.Conn, error) {
	return h.Dial(context.Background(), connector.Target{Address: w.address, Request: "r-1"})
}

func via(c net.Conn) string {
	if v, ok := c.(interface{ Via() string }); ok {
		return v.Via()
	}
	return ""
}

var _ = Describe("Dialer", func() {
	var w worker
	var a, b *host
	BeforeEach(func() {
		w = newWorker()
		a, b = newHost("a", 10), newHost("b", 10)
		meet([]worker{w}, a, b)
	})
	// tunnel returns the two ends of a connection of host a that leads through host b.
	tunnel := func() (opener, atWorker net.Conn) {
		a.links.cut.Store(true)
		c, err := a.dial(w)
		ExpectWithOffset(1, err).NotTo(HaveOccurred())
		ExpectWithOffset(1, via(c)).To(Equal("b"))
		atWorker = <-w.conns
		// The garbage collector closes connections that nobody holds.
		DeferCleanup(func() { _ = atWorker.Close() })
		return c, atWorker
	}

	It("connects directly while it can", func() {
		c, err := a.dial(w)
		Expect(err).NotTo(HaveOccurred())
		Expect(via(c)).To(BeEmpty())
		Expect(b.links.dials.Load()).To(BeZero())
	})

	It("passes bytes on in both directions, and the worker's end", func() {
		c, worker := tunnel()
		Expect(a.lost).To(Receive())
		_, err := io.WriteString(c, "hello\n")
		Expect(err).NotTo(HaveOccurred())
		line, err := bufio.NewReader(worker).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(Equal("hello\n"))
		large := strings.Repeat("x", 100_000)
		_, err = io.WriteString(worker, large)
		Expect(err).NotTo(HaveOccurred())
		Expect(worker.Close()).To(Succeed())
		text, err := io.ReadAll(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(Equal(large))
	})

	It("stays open while the worker is silent for longer than a helper may be", func() {
		c, worker := tunnel()
		time.Sleep(1500 * time.Millisecond)
		_, err := io.WriteString(worker, "late")
		Expect(err).NotTo(HaveOccurred())
		text := make([]byte, 4)
		_, err = io.ReadFull(c, text)
		Expect(err).NotTo(HaveOccurred())
	})

	It("closes the worker's connection at once when the opener closes", func() {
		c, worker := tunnel()
		Expect(c.Close()).To(Succeed())
		Expect(worker.SetReadDeadline(time.Now().Add(500 * time.Millisecond))).To(Succeed())
		_, err := worker.Read(make([]byte, 1))
		Expect(errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
	})

	// Guards against an answer without a length that is cut short and passes for whole.
	It("tells the reset of a worker from its end", func() {
		c, worker := tunnel()
		Expect(worker.(*net.TCPConn).SetLinger(0)).To(Succeed())
		Expect(worker.Close()).To(Succeed())
		_, err := io.ReadAll(c)
		Expect(err).To(MatchError(syscall.ECONNRESET))
		Expect(connector.ClosedByPeer(err)).To(BeTrue())
		Expect(err).NotTo(MatchError(connector.ErrDetour))
	})

	// connectThrough connects host a through a stand-in for a helper, which ends as afterReply
	// does.
	connectThrough := func(afterReply func(net.Conn)) net.Conn {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		ExpectWithOffset(1, err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			defer GinkgoRecover()
			helper, err := l.Accept()
			Expect(err).NotTo(HaveOccurred())
			// With bytes left unread, its end would be a reset.
			_, err = io.ReadFull(helper, make([]byte, len(messenger.TunnelPreface)))
			Expect(err).NotTo(HaveOccurred())
			var open any
			_, err = messenger.ReadFrame(helper, &open)
			Expect(err).NotTo(HaveOccurred())
			_, err = messenger.WriteFrame(helper, []any{"", 0, false})
			Expect(err).NotTo(HaveOccurred())
			afterReply(helper)
		}()
		a.SetHosts([]reacher.Host{{Name: "helper", Address: l.Addr().String()}})
		a.links.cut.Store(true)
		c, err := a.dial(w)
		ExpectWithOffset(1, err).NotTo(HaveOccurred())
		return c
	}

	// Guards against a helper's end that passes for the end of the worker.
	It("tells the end of a helper from that of the worker", func() {
		c := connectThrough(func(helper net.Conn) {
			time.Sleep(50 * time.Millisecond)
			_ = helper.Close()
		})
		_, err := io.ReadAll(c)
		Expect(err).To(MatchError(connector.ErrDetour))
	})

	It("finds a frozen helper after a second", func() {
		c := connectThrough(func(net.Conn) {})
		started := time.Now()
		_, err := c.Read(make([]byte, 1))
		Expect(err).To(MatchError(connector.ErrDetour))
		Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
	})

	It("ends a read at the deadline that its user sets", func() {
		c, _ := tunnel()
		time.AfterFunc(50*time.Millisecond, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
		started := time.Now()
		_, err := c.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(connector.ErrDetour))
		Expect(time.Since(started)).To(BeNumerically("<", 500*time.Millisecond))
	})

	It("says that there is no path, not that the worker is down, if two hosts lost their links", func() {
		a.links.cut.Store(true)
		b.links.cut.Store(true)
		_, err := b.dial(w)
		Expect(err).To(MatchError(connector.ErrNoPath))
		_, err = a.dial(w)
		Expect(err).To(MatchError(connector.ErrNoPath))
		Expect(a.Blocked(time.Now(), w.address)).To(BeNumerically(">", 0))
	})

	It("says that a worker is down that a host without losses can't connect to either", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		gone := worker{address: l.Addr().String()}
		Expect(l.Close()).To(Succeed())
		meet([]worker{w, gone}, a, b)
		_, err = b.dial(w)
		Expect(err).NotTo(HaveOccurred())
		started := time.Now()
		_, err = a.dial(gone)
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(connector.ErrNoPath))
		Expect(time.Since(started)).To(BeNumerically("<", 200*time.Millisecond))
		Expect(a.Lost(gone.address)).To(BeFalse())
	})

	// Guards against a host that ends as it probes a worker while it knows no other host.
	It("probes a worker that it can't connect to while it is alone", func() {
		a.SetHosts(nil)
		a.links.cut.Store(true)
		a.Suspect(w.address)
		Eventually(func() int32 { return a.links.dials.Load() }).Should(BeNumerically(">", 0))
		time.Sleep(100 * time.Millisecond)
		_, err := a.dial(w)
		Expect(err).To(MatchError(errCut))
	})

	// Guards against a worker that is down and is not taken for down, as no host connected to
	// another one just now: dispatchers would go on granting it.
	It("says that a worker is down, also if no host connected to any worker before", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		gone := worker{address: l.Addr().String()}
		Expect(l.Close()).To(Succeed())
		meet([]worker{w, gone}, a, b)
		_, err = a.dial(gone)
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(connector.ErrNoPath))
		Expect(a.Blocked(time.Now(), gone.address)).To(BeZero())
	})

	// Guards against a worker that answers no handshake and is not taken for down, as the
	// helper's word comes too late.
	It("says that a worker is down that answers no handshake", func() {
		dark, closeDark, err := faker.NewLink("127.0.0.1:0", w.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(closeDark)
		dark.Set(faker.Unreachable, 0)
		silent := worker{address: dark.Address()}
		meet([]worker{w, silent}, a, b)
		_, err = a.dial(silent)
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(connector.ErrNoPath))
	})

	// Guards against a worker that is down behind something that accepts connections and closes
	// them, and counts as lost, as helpers connect to the same.
	It("does not find a worker lost whose connections are closed at once for the helper too", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_ = c.Close()
			}
		}()
		closing := worker{address: l.Addr().String()}
		meet([]worker{w, closing}, a, b)
		a.Suspect(closing.address)
		Consistently(func() bool { return a.Lost(closing.address) }, time.Second, 20*time.Millisecond).Should(BeFalse())
	})

	// Guards against requests that are sent again and again to a worker that no host connects to, as
	// the other hosts are not asked for a while.
	It("avoids a worker that no host connects to while its probes find no host to ask", func() {
		a.links.cut.Store(true)
		b.links.cut.Store(true)
		other := newWorker()
		meet([]worker{w, other}, a, b)
		a.Suspect(w.address)
		Eventually(func() time.Duration { return a.Blocked(time.Now(), w.address) }, time.Second, 10*time.Millisecond).Should(BeNumerically(">", 0))
		Consistently(func() time.Duration { return a.Blocked(time.Now(), w.address) }, 1500*time.Millisecond, 10*time.Millisecond).Should(BeNumerically(">", 0))
	})

	// Guards against a cut host that asks the same helper again and again, which is cut itself.
	DescribeTable("finds a worker lost whose connections are closed at once for another host too, if a third one reaches it", func(reaches int) {
		c := newHost("c", 10)
		meet([]worker{w}, a, b, c)
		a.links.closing.Store(true)
		for i, h := range []*host{b, c} {
			h.links.closing.Store(i != reaches)
		}
		a.Suspect(w.address)
		Eventually(func() bool { return a.Lost(w.address) }, time.Second, 10*time.Millisecond).Should(BeTrue())
	},
		Entry("the first", 0), Entry("the second", 1),
	)

	It("never opens a tunnel for a tunnel", func() {
		c := newHost("c", 10)
		meet([]worker{w}, a, b, c)
		a.links.cut.Store(true)
		b.links.cut.Store(true)
		a.SetHosts([]reacher.Host{b.Host})
		_, err := a.dial(w)
		Expect(err).To(HaveOccurred())
		Expect(c.links.dials.Load()).To(BeZero())
	})

	It("goes back to direct connections when they work again", func() {
		tunnel()
		Expect(a.Lost(w.address)).To(BeTrue())
		a.links.cut.Store(false)
		Eventually(func() bool { return a.Lost(w.address) }, 2*time.Second).Should(BeFalse())
		c, err := a.dial(w)
		Expect(err).NotTo(HaveOccurred())
		Expect(via(c)).To(BeEmpty())
	})

	It("helps only up to its limit, and not with workers that it does not know or that want no requests", func() {
		small := newHost("small", 1)
		meet([]worker{w}, a, small)
		a.links.cut.Store(true)
		c, err := a.dial(w)
		Expect(err).NotTo(HaveOccurred())
		_, err = a.dial(w)
		Expect(err).To(MatchError(tunneler.ErrDeclined))
		Expect(c.Close()).To(Succeed())
		Eventually(func() int64 { return small.State().Serving }).Should(BeZero())

		small.Rest(w.address, time.Now().Add(time.Minute))
		meet([]worker{w}, a, small)
		_, err = a.dial(w)
		Expect(err).To(HaveOccurred())
		small.SetWorkers(nil)
		_, err = a.dial(w)
		Expect(err).To(HaveOccurred())
		Expect(small.links.dials.Load()).To(Equal(int32(1)))
	})

	It("declines new tunnels when it stops, and waits for the open ones", func() {
		c, _ := tunnel()
		b.Stop()
		_, err := a.dial(w)
		Expect(err).To(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		Expect(b.WaitIdle(ctx)).To(Equal(int64(1)))
		Expect(c.Close()).To(Succeed())
		Expect(b.WaitIdle(context.Background())).To(BeZero())
	})

	It("does not ask a host again that does not know tunnels", func() {
		m, closeMessenger, err := messenger.Open(messenger.Config{Name: "old", Incarnation: 1, Address: "127.0.0.1:0"}, func(messenger.Envelope, messenger.Message) {})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(closeMessenger)
		a.SetHosts([]reacher.Host{{Name: "old", Address: m.Address(), Incarnation: 1}, b.Host})
		a.links.cut.Store(true)
		for range 5 {
			c, err := a.dial(w)
			Expect(err).NotTo(HaveOccurred())
			Expect(via(c)).To(Equal("b"))
		}
	})
})
