package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// ErrFull says that a peer takes messages more slowly than they are sent: the
// message was dropped, so that a slow peer can't hold this host's memory.
var ErrFull = errors.New("peer's queue is full")

// ErrClosed says that the messenger has ended.
var ErrClosed = errors.New("messenger is closed")

// Handler gets every message that arrives, in order for each sender.
type Handler func(e Envelope, m Message)

// Messenger sends messages to other hosts and receives theirs. While both ends
// live and reach each other within Config.Hold, each message arrives once and
// in order, whatever happens to connections.
type Messenger struct {
	config     Config
	generation atomic.Uint64
	sequence   atomic.Uint64 // of the last message to any peer, so that a peer can be forgotten
	sent       atomic.Uint64
	received   atomic.Uint64
	resent     atomic.Uint64
	replaced   atomic.Uint64
	dropped    atomic.Uint64
	duplicates atomic.Uint64
	handler    Handler
	listener   net.Listener
	ctx        context.Context
	stop       context.CancelFunc
	tasks      sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	peers   map[string]*peer  // by address
	inboxes map[string]*inbox // by sender's name
	conns   map[net.Conn]bool
}

// New listens on address with default settings and returns the messenger and
// its clean-up.
func New(self string, incarnation uint64, address string, h Handler) (*Messenger, func(), error) {
	return Open(Config{Name: self, Incarnation: incarnation, Address: address}, h)
}

// Open listens and returns the messenger and its clean-up. The handler runs on
// a reader's goroutine and must not block for long.
func Open(c Config, h Handler) (*Messenger, func(), error) {
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for hosts: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	m := &Messenger{
		config: c.withDefaults(), handler: h, listener: l, ctx: ctx, stop: stop,
		peers: map[string]*peer{}, inboxes: map[string]*inbox{}, conns: map[net.Conn]bool{},
	}
	m.tasks.Add(1)
	go m.accept()
	return m, m.close, nil
}

// Address is where the messenger listens.
func (m *Messenger) Address() string { return m.listener.Addr().String() }

// SetGeneration sets the configuration generation that every frame carries.
func (m *Messenger) SetGeneration(g uint64) { m.generation.Store(g) }

// Traffic is the bytes sent and received so far.
func (m *Messenger) Traffic() (sent, received uint64) { return m.sent.Load(), m.received.Load() }

// Counts is what the messenger has done so far.
func (m *Messenger) Counts() Counts {
	return Counts{
		Sent: m.sent.Load(), Received: m.received.Load(), Resent: m.resent.Load(),
		Replaced: m.replaced.Load(), Dropped: m.dropped.Load(), Duplicates: m.duplicates.Load(),
	}
}

// Send queues a message for the host at address. It never blocks.
func (m *Messenger) Send(address string, msg Message) error {
	return m.SendAll([]string{address}, msg)
}

// SendAll queues a message for the hosts at the addresses, encoded once. It never
// blocks. An error is of those hosts only that it names.
func (m *Messenger) SendAll(addresses []string, msg Message) error {
	body, err := encode(msg)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrFrame, err)
	}
	var errs []error
	for _, address := range addresses {
		errs = append(errs, m.queue(address, msg.kind(), body))
	}
	return errors.Join(errs...)
}

// queue queues an encoded message for one host.
func (m *Messenger) queue(address, kind string, body []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return fmt.Errorf("send to %s: %w", address, ErrClosed)
	}
	p := m.peers[address]
	if p == nil {
		p = newPeer(m, address)
		m.peers[address] = p
		m.tasks.Add(1)
		defer func() { go p.run() }()
	}
	return p.add(kind, body)
}

// Reconnect replaces the connection to address, so that what is sent next is tried
// on a new one.
func (m *Messenger) Reconnect(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[address]; p != nil {
		poke(p.renew)
	}
}

// Flush waits until every peer that can be reached has acknowledged what was
// sent to it, or ctx ends.
func (m *Messenger) Flush(ctx context.Context) {
	ticker := time.NewTicker(m.config.AckDelay)
	defer ticker.Stop()
	for m.pending() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Messenger) pending() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		p.mu.Lock()
		waiting := len(p.outbox.items) > 0 && (p.reachable || !p.known)
		p.mu.Unlock()
		if waiting {
			return true
		}
	}
	return false
}

// forget removes a peer that nothing is waiting for, and says whether it did.
// Its goroutine then ends: hosts are replaced for months under new addresses.
func (m *Messenger) forget(p *peer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.outbox.items) > 0 {
		return false
	}
	delete(m.peers, p.address)
	return true
}

func (m *Messenger) accept() {
	defer m.tasks.Done()
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		if m.keep(conn) {
			m.tasks.Add(1)
			go m.read(conn)
		}
	}
}

// keep remembers an open connection for close; false where that has begun.
func (m *Messenger) keep(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		_ = conn.Close()
		return false
	}
	m.conns[conn] = true
	return true
}

func (m *Messenger) drop(conn net.Conn) {
	m.mu.Lock()
	delete(m.conns, conn)
	m.mu.Unlock()
	_ = conn.Close()
}

func (m *Messenger) close() {
	m.stop()
	_ = m.listener.Close()
	m.mu.Lock()
	m.closed = true
	for c := range m.conns {
		_ = c.Close()
	}
	m.mu.Unlock()
	m.tasks.Wait()
}
