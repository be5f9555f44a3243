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

// ErrFull is returned if a peer receives messages more slowly than they are
// sent. The message is dropped, so that a slow peer can't take up this host's
// memory.
var ErrFull = errors.New("peer's queue is full")

// ErrClosed is returned after the messenger was closed.
var ErrClosed = errors.New("messenger is closed")

// Handler is called with each message that arrives, in order for each sender.
type Handler func(e Envelope, m Message)

// Messenger sends messages to other hosts and receives theirs. While both ends
// run and reach each other within Config.Hold, each message arrives once and in
// order, even if connections fail.
type Messenger struct {
	config     Config
	generation atomic.Uint64
	sequence   atomic.Uint64 // of the last message to any peer: shared, so that peers can be removed
	sent       atomic.Uint64
	received   atomic.Uint64
	resent     atomic.Uint64
	replaced   atomic.Uint64
	dropped    atomic.Uint64
	duplicates atomic.Uint64
	unknown    atomic.Uint64
	unaccepted atomic.Uint64
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

// New listens on address with default settings. It returns the messenger and a
// function that closes it.
func New(self string, incarnation uint64, address string, h Handler) (*Messenger, func(), error) {
	return Open(Config{Name: self, Incarnation: incarnation, Address: address}, h)
}

// Open listens with the given settings. It returns the messenger and a function
// that closes it. The handler runs on a connection's goroutine and must not
// block for long.
func Open(c Config, h Handler) (*Messenger, func(), error) {
	l := c.Listener
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", c.Address); err != nil {
			return nil, nil, fmt.Errorf("listen for hosts: %w", err)
		}
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

// Address returns the address on which the messenger listens.
func (m *Messenger) Address() string { return m.listener.Addr().String() }

// SetGeneration sets the configuration generation that every frame carries.
func (m *Messenger) SetGeneration(g uint64) { m.generation.Store(g) }

// Traffic returns the numbers of bytes sent and received so far.
func (m *Messenger) Traffic() (sent, received uint64) { return m.sent.Load(), m.received.Load() }

// Counts returns the messenger's counters.
func (m *Messenger) Counts() Counts {
	return Counts{
		Sent: m.sent.Load(), Received: m.received.Load(), Resent: m.resent.Load(),
		Replaced: m.replaced.Load(), Dropped: m.dropped.Load(), Duplicates: m.duplicates.Load(), Unknown: m.unknown.Load(), Unaccepted: m.unaccepted.Load(),
	}
}

// Send queues a message for the host at address. It never blocks.
func (m *Messenger) Send(address string, msg Message) error {
	return m.SendAll([]string{address}, msg)
}

// SendAll queues a message for the hosts at the addresses, encoded once. It
// never blocks. An error names each host that the message was not queued for;
// the others get it.
func (m *Messenger) SendAll(addresses []string, msg Message) error {
	body, err := encode(msg)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrFrame, err)
	}
	if len(body) > MaxBody {
		m.dropped.Add(uint64(len(addresses)))
		return fmt.Errorf("%w: %s of %d bytes exceeds %d", ErrFrame, msg.kind(), len(body), MaxBody)
	}
	var errs []error
	for _, address := range addresses {
		errs = append(errs, m.enqueue(address, msg.kind(), body))
	}
	return errors.Join(errs...)
}

// enqueue queues an encoded message for one host.
func (m *Messenger) enqueue(address, kind string, body []byte) error {
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

// Reconnect replaces the connection to address, so that the next messages are
// tried on a new one.
func (m *Messenger) Reconnect(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[address]; p != nil {
		notify(p.reconnect)
	}
}

// Flush waits until all peers that can be reached have acknowledged the
// messages sent to them, or until ctx ends.
func (m *Messenger) Flush(ctx context.Context) {
	ticker := time.NewTicker(m.config.AckDelay)
	defer ticker.Stop()
	for m.hasUnacknowledged() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Messenger) hasUnacknowledged() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		p.mu.Lock()
		waiting := len(p.outbox.items) > 0 && (p.reachable || !p.reachabilityKnown)
		p.mu.Unlock()
		if waiting {
			return true
		}
	}
	return false
}

// removeIfIdle removes a peer without queued messages and reports whether it
// did. The peer's goroutine then ends: over months, hosts are replaced under
// new addresses.
func (m *Messenger) removeIfIdle(p *peer) bool {
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

const (
	// minAcceptPause is the pause after a failure to accept a connection, such as for want of descriptors; it
	// doubles each time, up to maxAcceptPause.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

func (m *Messenger) accept() {
	defer m.tasks.Done()
	pause := time.Duration(0)
	for m.ctx.Err() == nil {
		conn, err := m.listener.Accept()
		if err != nil {
			pause = min(max(2*pause, minAcceptPause), maxAcceptPause)
			m.acceptFailed(err, pause)
			continue
		}
		pause = 0
		if m.trackConnection(conn) {
			m.tasks.Add(1)
			go m.readConnection(conn)
		}
	}
}

// acceptFailed reports a failure to accept a connection, and pauses unless the messenger is closed.
func (m *Messenger) acceptFailed(err error, pause time.Duration) {
	if m.ctx.Err() != nil {
		return
	}
	m.unaccepted.Add(1)
	if m.config.OnAcceptFailure != nil {
		m.config.OnAcceptFailure(err)
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-m.ctx.Done():
	case <-timer.C:
	}
}

// trackConnection registers an open connection, which close will close. If the
// messenger is closed already, it closes the connection and returns false.
func (m *Messenger) trackConnection(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		_ = conn.Close()
		return false
	}
	m.conns[conn] = true
	return true
}

func (m *Messenger) closeConnection(conn net.Conn) {
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
