package faker

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Link is a TCP link between two ends that can fail: it listens, and passes
// bytes to a target.
type Link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  LinkMode
	delay time.Duration
	conns map[*conn]bool
}

// LinkMode is what a Link does with bytes.
type LinkMode string

// Modes of a Link.
const (
	Pass         LinkMode = "pass"        // as they come
	Cut          LinkMode = "cut"         // every connection closed, none accepted
	SilenceOpen  LinkMode = "silent-open" // connections open now carry nothing more; new ones work
	ForwardOnly  LinkMode = "forward"     // towards the target only
	BackwardOnly LinkMode = "backward"    // from the target only
)

// conn is one connection through a Link, and the way it was silenced.
type conn struct {
	near, far net.Conn
	silent    bool
}

// NewLink listens on address and passes bytes to target; the second result is
// its clean-up.
func NewLink(address, target string) (*Link, func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("link: %w", err)
	}
	k := &Link{listener: l, target: target, mode: Pass, conns: map[*conn]bool{}}
	go k.accept()
	return k, func() {
		_ = l.Close()
		k.Set(Cut, 0)
	}, nil
}

// Address is where the link listens.
func (k *Link) Address() string { return k.listener.Addr().String() }

// Set changes what the link does, at once.
func (k *Link) Set(m LinkMode, delay time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode, k.delay = m, delay
	for c := range k.conns {
		switch m {
		case Cut:
			_ = c.near.Close()
			_ = c.far.Close()
		case SilenceOpen:
			c.silent = true
		}
	}
	if m == SilenceOpen {
		k.mode = Pass
	}
}

func (k *Link) accept() {
	for {
		near, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.join(near)
	}
}

func (k *Link) join(near net.Conn) {
	k.mu.Lock()
	cut := k.mode == Cut
	k.mu.Unlock()
	if cut {
		_ = near.Close()
		return
	}
	far, err := net.DialTimeout("tcp", k.target, time.Second)
	if err != nil {
		_ = near.Close()
		return
	}
	c := &conn{near: near, far: far}
	k.mu.Lock()
	k.conns[c] = true
	k.mu.Unlock()
	var ends sync.WaitGroup
	ends.Go(func() { k.pump(c, far, near, BackwardOnly) })
	ends.Go(func() { k.pump(c, near, far, ForwardOnly) })
	ends.Wait()
	k.mu.Lock()
	delete(k.conns, c)
	k.mu.Unlock()
}

// pump copies until either end closes. A silenced connection swallows bytes
// without an error, as a middlebox does that has forgotten it.
func (k *Link) pump(c *conn, dst, src net.Conn, blocked LinkMode) {
	defer dst.Close()
	defer src.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		k.mu.Lock()
		drop, delay := c.silent || k.mode == blocked, k.delay
		k.mu.Unlock()
		if n > 0 && !drop {
			time.Sleep(delay)
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
