package messenger_test

import (
	"cmp"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/prover"
)

// addresses counts the addresses handed out.
var addresses atomic.Int32

// unusedAddress returns an address on which no process listens, below the ports
// that the kernel assigns. While no process listens on one of those, the kernel
// may assign it to the very connection that dials it, which then connects to
// itself.
func unusedAddress() string {
	return fmt.Sprintf("127.%d.%d.1:%d", 80+os.Getpid()/250%20, 1+os.Getpid()%250, 10000+addresses.Add(1))
}

// recorder records the requests that arrive, in order.
type recorder struct {
	mu       sync.Mutex
	requests []string
}

func (t *recorder) handle(_ messenger.Envelope, m messenger.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests = append(t.requests, m.(messenger.Cancel).Request)
}

func (t *recorder) all() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string{}, t.requests...)
}

func open(name string, incarnation uint64, address string, h messenger.Handler) *messenger.Messenger {
	return openWith(messenger.Config{Name: name, Incarnation: incarnation, Address: address}, h)
}

func openWith(c messenger.Config, h messenger.Handler) *messenger.Messenger {
	c.AckTimeout, c.AckDelay, c.Hold = cmp.Or(c.AckTimeout, 150*time.Millisecond), 5*time.Millisecond, time.Minute
	m, clean, err := messenger.Open(c, h)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(clean)
	return m
}

func ignore(messenger.Envelope, messenger.Message) {}

func numbered(from, to int) []string {
	var out []string
	for i := from; i < to; i++ {
		out = append(out, fmt.Sprint(i))
	}
	return out
}

func sendAll(m *messenger.Messenger, address string, requests []string) {
	for _, r := range requests {
		Expect(m.Send(address, messenger.Cancel{Request: r})).To(Succeed())
	}
}

var _ = Describe("Messenger", func() {
	// An ask and its grant cross a link that fails: frames flow, the link
	// fails, more frames are sent, the link heals. Bytes written to a dead
	// connection vanish without an error. A lost frame would leave a request
	// hanging until its deadline; a duplicate would use a place twice.
	DescribeTable("delivers once and in order over a faulty link",
		func(modes ...faker.LinkMode) {
			got := &recorder{}
			receiver := open("b", 1, "127.0.0.1:0", got.handle)
			link, clean, err := faker.NewLink("127.0.0.1:0", receiver.Address())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(clean)
			var failed atomic.Uint64
			sender := openWith(messenger.Config{Name: "a", Incarnation: 1, Address: "127.0.0.1:0", OnReachability: func(_ string, reachable bool) {
				if !reachable {
					failed.Add(1)
				}
			}}, ignore)
			noticed := func() uint64 { return sender.Counts().Replaced + failed.Load() }
			sendAll(sender, link.Address(), numbered(0, 50))
			Eventually(got.all).Should(HaveLen(50))
			sent := 50
			for _, mode := range modes {
				before := noticed()
				link.Set(mode, 0)
				sendAll(sender, link.Address(), numbered(sent, sent+50))
				sent += 50
				Eventually(noticed).WithTimeout(5 * time.Second).Should(BeNumerically(">", before))
				link.Set(faker.Pass, 0)
				Eventually(got.all).WithTimeout(10 * time.Second).Should(Equal(numbered(0, sent)))
			}
			sendAll(sender, link.Address(), numbered(sent, sent+1))
			Eventually(got.all).Should(Equal(numbered(0, sent+1)))
		},
		Entry("cut both ways", Label(prover.Cell(prover.Asked, prover.CutBothWays), prover.Cell(prover.Granted, prover.CutBothWays)), faker.Cut),
		Entry("silent open connections", Label(prover.Cell(prover.Asked, prover.Blackhole), prover.Cell(prover.Granted, prover.Blackhole)), faker.SilenceOpen),
		Entry("one way: acknowledgements lost", Label(prover.Cell(prover.Asked, prover.CutOneWay)), faker.ForwardOnly),
		Entry("other way: frames lost", Label(prover.Cell(prover.Granted, prover.CutOneWay)), faker.BackwardOnly),
		Entry("silent, then cut", Label(prover.Pair(prover.Asked, prover.Blackhole, prover.Asked, prover.CutBothWays)), faker.SilenceOpen, faker.Cut),
		Entry("silent twice", Label(prover.Pair(prover.Asked, prover.Blackhole, prover.Asked, prover.Blackhole)), faker.SilenceOpen, faker.SilenceOpen),
		Entry("cut, then one way", Label(prover.Pair(prover.Asked, prover.CutBothWays, prover.Asked, prover.CutOneWay)), faker.Cut, faker.ForwardOnly),
	)

	It("sends one message to many peers and reports those that it could not", func() {
		var peers []string
		var received atomic.Int32
		for _, name := range []string{"b", "c"} {
			m := open(name, 1, unusedAddress(), func(messenger.Envelope, messenger.Message) { received.Add(1) })
			peers = append(peers, m.Address())
		}
		a := openWith(messenger.Config{Name: "a", Incarnation: 1, Address: unusedAddress(), MaxQueue: 1}, ignore)
		Expect(a.SendAll(peers, messenger.Sync{})).To(Succeed())
		Eventually(received.Load, 5*time.Second).Should(BeEquivalentTo(2))
		a.Flush(context.Background()) // unacknowledged messages take up the queue
		unused := unusedAddress()
		Expect(a.Send(unused, messenger.Sync{})).To(Succeed())
		err := a.SendAll([]string{unused, peers[0]}, messenger.Sync{})
		Expect(err).To(MatchError(messenger.ErrFull))
		Expect(err).To(MatchError(ContainSubstring(unused)))
		Eventually(received.Load, 5*time.Second).Should(BeEquivalentTo(3))
	})

	// A slow link is not a dead one: requests take longer, and no frame may be
	// lost or duplicated even if connections are replaced meanwhile.
	It("delivers once and in order over a slow link", Label(prover.Cell(prover.Asked, prover.Slow)), func() {
		got := &recorder{}
		receiver := open("b", 1, "127.0.0.1:0", got.handle)
		link, clean, err := faker.NewLink("127.0.0.1:0", receiver.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(clean)
		link.Set(faker.Pass, 20*time.Millisecond)
		sender := open("a", 1, "127.0.0.1:0", ignore)
		sendAll(sender, link.Address(), numbered(0, 200))
		Eventually(got.all).WithTimeout(10 * time.Second).Should(Equal(numbered(0, 200)))
	})

	// A receiver restarts. Messages that its predecessor may have received must
	// not reach it, or a grant would be given back that it never had. Later
	// messages must reach it.
	It("does not send a restarted receiver what its predecessor may have received", Label(prover.Cell(prover.Granted, prover.Kill)), func() {
		held := make(chan struct{})
		first, clean, err := messenger.Open(messenger.Config{Name: "b", Incarnation: 1, Address: unusedAddress(), AckDelay: time.Hour},
			func(messenger.Envelope, messenger.Message) { held <- struct{}{} })
		Expect(err).NotTo(HaveOccurred())
		// On a second connection the first receiver would report what it has received.
		outcomes := make(chan bool, 100)
		sender := openWith(messenger.Config{
			Name: "a", Incarnation: 1, Address: "127.0.0.1:0", AckTimeout: time.Minute,
			OnReachability: func(_ string, reachable bool) { outcomes <- reachable },
		}, ignore)
		address := first.Address()
		sendAll(sender, address, []string{"old"})
		Eventually(held).Should(Receive())
		Eventually(outcomes).Should(Receive(BeTrue()))
		clean()
		Eventually(outcomes).Should(Receive(BeFalse()), "what is sent from now on is sent to the second only")
		got := &recorder{}
		open("b", 2, address, got.handle)
		sendAll(sender, address, []string{"new"})
		Eventually(got.all).WithTimeout(5 * time.Second).Should(Equal([]string{"new"}))
		Expect(sender.Counts().Dropped).To(BeEquivalentTo(1))
	})

	// A host is replaced under its name, and its old process, which was frozen,
	// continues. Frames of the old process must not count as those of the new
	// one.
	It("refuses an older incarnation of a sender", Label(prover.Cell(prover.Asked, prover.Freeze)), func() {
		got := &recorder{}
		receiver := open("b", 1, "127.0.0.1:0", got.handle)
		newer := open("a", 2, "127.0.0.1:0", ignore)
		sendAll(newer, receiver.Address(), []string{"young"})
		Eventually(got.all).Should(HaveLen(1))
		conn, err := net.Dial("tcp", receiver.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		writeRaw(conn, []any{"a", uint64(1)})
		_, err = conn.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred(), "the connection is closed without a welcome")
		Expect(got.all()).To(Equal([]string{"young"}))
	})

	// Frames arrive twice or in the wrong order, as after a resend. A request
	// would be cancelled or granted twice.
	It("drops duplicated and reordered frames", Label(
		prover.Cell(prover.Asked, prover.Reorder), prover.Cell(prover.Granted, prover.Reorder)), func() {
		got := &recorder{}
		receiver := open("b", 1, "127.0.0.1:0", got.handle)
		conn, err := net.Dial("tcp", receiver.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		writeRaw(conn, []any{"a", uint64(1)})
		for _, n := range []uint64{1, 2, 2, 1, 3, 3} {
			body, err := msgpack.Marshal(messenger.Cancel{Request: fmt.Sprint(n)})
			Expect(err).NotTo(HaveOccurred())
			writeRaw(conn, []any{n, uint64(0), "cancel", body})
		}
		Eventually(func() uint64 { return receiver.Counts().Duplicates }).Should(BeEquivalentTo(3))
		Expect(got.all()).To(Equal([]string{"1", "2", "3"}))
	})

	It("bounds the queue of a peer, counts dropped messages and reports reachability", func() {
		outcomes := make(chan bool, 16)
		m, clean, err := messenger.Open(messenger.Config{
			Name: "a", Address: "127.0.0.1:0", MaxQueue: 3, Hold: 50 * time.Millisecond,
			OnReachability: func(_ string, reachable bool) { outcomes <- reachable },
		}, ignore)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(clean)
		nowhere := unusedAddress()
		sendAll(m, nowhere, numbered(0, 3))
		Expect(m.Send(nowhere, messenger.Cancel{})).To(MatchError(messenger.ErrFull))
		Eventually(outcomes).Should(Receive(BeFalse()))
		Eventually(func() uint64 { return m.Counts().Dropped }).Should(BeEquivalentTo(4))
		receiver := open("b", 1, nowhere, ignore)
		Eventually(func() error { return m.Send(receiver.Address(), messenger.Cancel{}) }).Should(Succeed())
		Eventually(outcomes).Should(Receive(BeTrue()))
	})
})

func writeRaw(conn net.Conn, v any) {
	body, err := msgpack.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	_, err = conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...))
	Expect(err).NotTo(HaveOccurred())
}
