package messenger_test

import (
	"cmp"
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

// ownAddress is an address where nobody else listens, below the ports that the
// kernel hands out: one of those, while nobody listens there, may be given to
// the very connection that dials it, which then meets itself.
func ownAddress() string {
	return fmt.Sprintf("127.%d.%d.1:%d", 80+os.Getpid()/250%20, 1+os.Getpid()%250, 10000+addresses.Add(1))
}

// taken records the requests that arrive, in order.
type taken struct {
	mu       sync.Mutex
	requests []string
}

func (t *taken) handle(_ messenger.Envelope, m messenger.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests = append(t.requests, m.(messenger.Cancel).Request)
}

func (t *taken) all() []string {
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
	// Story: an ask and its grant cross a link that breaks. A user would see a
	// request that hangs to its deadline (a frame lost), or a place taken twice (a
	// frame doubled). Order: frames flow, the link fails, more frames are sent, the
	// link heals. Cause: bytes written to a dead connection vanish without an error.
	DescribeTable("delivers once and in order over a link with faults",
		func(modes ...faker.Mode) {
			got := &taken{}
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
		Entry("cut both ways", Label(prover.Cell(prover.Asked, prover.CutBoth), prover.Cell(prover.Granted, prover.CutBoth)), faker.Cut),
		Entry("silent open connections", Label(prover.Cell(prover.Asked, prover.Silence), prover.Cell(prover.Granted, prover.Silence)), faker.SilentOpen),
		Entry("one way: acknowledgements lost", Label(prover.Cell(prover.Asked, prover.CutOne)), faker.Forward),
		Entry("other way: frames lost", Label(prover.Cell(prover.Granted, prover.CutOne)), faker.Backward),
		Entry("silent, then cut", Label(prover.Pair(prover.Asked, prover.Silence, prover.Asked, prover.CutBoth)), faker.SilentOpen, faker.Cut),
		Entry("silent twice", Label(prover.Pair(prover.Asked, prover.Silence, prover.Asked, prover.Silence)), faker.SilentOpen, faker.SilentOpen),
		Entry("cut, then one way", Label(prover.Pair(prover.Asked, prover.CutBoth, prover.Asked, prover.CutOne)), faker.Cut, faker.Forward),
	)

	// Story: a link is slow, not dead. A user would see requests take longer; no
	// frame may be lost or doubled although connections are replaced meanwhile.
	It("sends one message to many, and says whom it could not", func() {
		var peers []string
		var heard atomic.Int32
		for _, name := range []string{"b", "c"} {
			m := open(name, 1, ownAddress(), func(messenger.Envelope, messenger.Message) { heard.Add(1) })
			peers = append(peers, m.Address())
		}
		a := openWith(messenger.Config{Name: "a", Incarnation: 1, Address: ownAddress(), MaxQueue: 1}, ignore)
		Expect(a.SendAll(peers, messenger.Sync{})).To(Succeed())
		Eventually(heard.Load, 5*time.Second).Should(BeEquivalentTo(2))
		nobody := ownAddress()
		Expect(a.Send(nobody, messenger.Sync{})).To(Succeed())
		err := a.SendAll([]string{nobody, peers[0]}, messenger.Sync{})
		Expect(err).To(MatchError(messenger.ErrFull))
		Expect(err).To(MatchError(ContainSubstring(nobody)))
		Eventually(heard.Load, 5*time.Second).Should(BeEquivalentTo(3))
	})

	It("delivers once and in order over a slow link", Label(prover.Cell(prover.Asked, prover.Slow)), func() {
		got := &taken{}
		receiver := open("b", 1, "127.0.0.1:0", got.handle)
		link, clean, err := faker.NewLink("127.0.0.1:0", receiver.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(clean)
		link.Set(faker.Pass, 20*time.Millisecond)
		sender := open("a", 1, "127.0.0.1:0", ignore)
		sendAll(sender, link.Address(), numbered(0, 200))
		Eventually(got.all).WithTimeout(10 * time.Second).Should(Equal(numbered(0, 200)))
	})

	// Story: a receiver restarts. What its predecessor may have taken must not
	// reach it, or a grant would be given back that it never had; what comes after does.
	It("does not give a restarted receiver what its predecessor may have taken", Label(prover.Cell(prover.Granted, prover.Kill)), func() {
		held := make(chan struct{})
		first, clean, err := messenger.Open(messenger.Config{Name: "b", Incarnation: 1, Address: ownAddress(), AckDelay: time.Hour},
			func(messenger.Envelope, messenger.Message) { held <- struct{}{} })
		Expect(err).NotTo(HaveOccurred())
		// Were the first receiver tried on a second connection, it would say what it has.
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
		got := &taken{}
		open("b", 2, address, got.handle)
		sendAll(sender, address, []string{"new"})
		Eventually(got.all).WithTimeout(5 * time.Second).Should(Equal([]string{"new"}))
		Expect(sender.Counts().Dropped).To(BeEquivalentTo(1))
	})

	// Story: a host is replaced under its name while its old process, frozen, comes
	// back. The old one's frames must not be taken as the new one's.
	It("refuses an older incarnation of a sender", Label(prover.Cell(prover.Asked, prover.Freeze)), func() {
		got := &taken{}
		receiver := open("b", 1, "127.0.0.1:0", got.handle)
		young := open("a", 2, "127.0.0.1:0", ignore)
		sendAll(young, receiver.Address(), []string{"young"})
		Eventually(got.all).Should(HaveLen(1))
		conn, err := net.Dial("tcp", receiver.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		writeRaw(conn, []any{"a", uint64(1)})
		_, err = conn.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred(), "the connection is closed without a welcome")
		Expect(got.all()).To(Equal([]string{"young"}))
	})

	// Story: frames come doubled or in the wrong order, as after a resend. A user
	// would see a request that is cancelled or granted twice.
	It("drops doubled and reordered frames", Label(
		prover.Cell(prover.Asked, prover.Reorder), prover.Cell(prover.Granted, prover.Reorder)), func() {
		got := &taken{}
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

	It("bounds what waits for a peer, counts drops, and tells the outcome", func() {
		outcomes := make(chan bool, 16)
		m, clean, err := messenger.Open(messenger.Config{
			Name: "a", Address: "127.0.0.1:0", MaxQueue: 3, Hold: 50 * time.Millisecond,
			OnReachability: func(_ string, reachable bool) { outcomes <- reachable },
		}, ignore)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(clean)
		nowhere := ownAddress()
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
