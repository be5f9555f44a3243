package faker

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cicadawood/cicadawood/checker"
)

// Link is a TCP link that can fail: it listens on an address and forwards bytes to a
// target.
type Link struct {
	address string
	target  string

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	mode     LinkMode
	delay    time.Duration
	conns    map[*conn]bool
	fillers  []net.Conn // fill the queue of handshakes while the link is Unreachable
}

// LinkMode is what a Link does with bytes.
type LinkMode string

// Modes of a Link.
const (
	Pass         LinkMode = "pass"        // forwards all bytes as they arrive
	Cut          LinkMode = "cut"         // closes every connection, and new ones immediately
	Reset        LinkMode = "reset"       // resets every connection, and new ones immediately
	SilenceOpen  LinkMode = "silent-open" // drops the bytes of the connections open now; new ones work
	ForwardOnly  LinkMode = "forward"     // forwards bytes towards the target only
	BackwardOnly LinkMode = "backward"    // forwards bytes from the target only
	// Unreachable holds back all bytes, and handshakes of new connections get no answer.
	Unreachable LinkMode = "unreachable"
	// RefuseAll closes every connection, and new ones are refused.
	RefuseAll LinkMode = "refuse"
	// RefuseNew leaves the connections open now as they are, and new ones are refused.
	RefuseNew LinkMode = "refuse-new"
)

// conn is one connection through a Link.
type conn struct {
	client, server net.Conn
	silenced       bool
}

// NewLink listens on address and forwards bytes to target; the function returned stops the
// link.
func NewLink(address, target string) (*Link, func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("link: %w", err)
	}
	k := &Link{address: l.Addr().String(), listener: l, target: target, mode: Pass, conns: map[*conn]bool{}}
	go k.accept(l)
	return k, k.close, nil
}

// close stops the link.
func (k *Link) close() {
	k.Set(Cut, 0)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopListening()
}

// SetTarget makes new connections lead to another target.
func (k *Link) SetTarget(target string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.target = target
}

// Address returns the address on which the link listens.
func (k *Link) Address() string { return k.address }

// Set changes the mode and the delay with immediate effect.
func (k *Link) Set(m LinkMode, delay time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode, k.delay = m, delay
	k.setListener()
	for c := range k.conns {
		switch m {
		case Cut, RefuseAll:
			_ = c.client.Close()
			_ = c.server.Close()
		case Reset:
			reset(c.client)
			reset(c.server)
		case SilenceOpen:
			c.silenced = true
		}
	}
	if m == SilenceOpen {
		k.mode = Pass
	}
}

func (k *Link) accept(l net.Listener) {
	for {
		near, err := l.Accept()
		if err != nil {
			return
		}
		go k.connect(near)
	}
}

func (k *Link) connect(near net.Conn) {
	k.mu.Lock()
	mode, target := k.mode, k.target
	k.mu.Unlock()
	switch mode {
	case Cut:
		_ = near.Close()
		return
	case Reset:
		reset(near)
		return
	}
	far, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		_ = near.Close()
		return
	}
	c := &conn{client: near, server: far}
	k.mu.Lock()
	k.conns[c] = true
	k.mu.Unlock()
	client, server := checker.NewConn(near), checker.NewConn(far)
	var ends sync.WaitGroup
	ends.Go(func() { k.pump(c, server, client, BackwardOnly) })
	ends.Go(func() { k.pump(c, client, server, ForwardOnly) })
	ends.Wait()
	_ = near.Close()
	_ = far.Close()
	k.mu.Lock()
	delete(k.conns, c)
	k.mu.Unlock()
}

// pump copies until either end closes, and passes the end of src on; the pump of the other direction passes
// that of dst on. A silenced connection drops bytes without an error, like a middlebox that has lost the
// state of the connection.
func (k *Link) pump(c *conn, dst, src *checker.Conn, blocked LinkMode) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		k.waitReachable()
		k.mu.Lock()
		drop, delay := c.silenced || k.mode == blocked, k.delay
		k.mu.Unlock()
		if n > 0 && !drop {
			time.Sleep(delay)
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil && !errors.Is(err, io.EOF) {
			reset(dst.NetConn()) // closed in order, it would end an answer without a length
		}
		if err != nil {
			_ = dst.Close()
			_ = src.Close()
			return
		}
	}
}

// holdInterval is the interval at which bytes that are held back are tried again.
const holdInterval = 5 * time.Millisecond

// waitReachable waits while the link is Unreachable. The system at the sender's end would
// send the bytes again until then.
func (k *Link) waitReachable() {
	for {
		k.mu.Lock()
		held := k.mode == Unreachable
		k.mu.Unlock()
		if !held {
			return
		}
		time.Sleep(holdInterval)
	}
}
