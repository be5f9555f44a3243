package messenger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	queueLength  = 4096
	dialTimeout  = time.Second
	writeTimeout = 2 * time.Second
	retryPause   = 50 * time.Millisecond
)

// ErrFull says that a peer takes messages more slowly than they are sent: the
// message was dropped, so that a slow peer can't hold this host's memory.
var ErrFull = errors.New("peer's queue is full")

// Handler gets every message that arrives, in order for each sender.
type Handler func(e Envelope, m Message)

// Messenger sends messages to other hosts and receives theirs.
type Messenger struct {
	self        string
	incarnation uint64
	generation  atomic.Uint64
	sent        atomic.Uint64 // bytes
	received    atomic.Uint64 // bytes
	handler     Handler
	listener    net.Listener
	ctx         context.Context
	stop        context.CancelFunc
	tasks       sync.WaitGroup

	mu    sync.Mutex
	peers map[string]*peer // by address
	conns map[net.Conn]bool
}

// peer is the sending side towards one address.
type peer struct {
	address string
	queue   chan Message
}

// New listens on address and returns the messenger and its clean-up.
// The handler runs on a reader's goroutine and must not block for long.
func New(self string, incarnation uint64, address string, h Handler) (*Messenger, func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for hosts: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	m := &Messenger{
		self: self, incarnation: incarnation, handler: h, listener: l, ctx: ctx, stop: stop,
		peers: map[string]*peer{}, conns: map[net.Conn]bool{},
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

// Send queues a message for the host at address. It never blocks.
func (m *Messenger) Send(address string, msg Message) error {
	select {
	case m.peer(address).queue <- msg:
		return nil
	default:
		return fmt.Errorf("send to %s: %w", address, ErrFull)
	}
}

func (m *Messenger) peer(address string) *peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[address]
	if p == nil {
		p = &peer{address: address, queue: make(chan Message, queueLength)}
		m.peers[address] = p
		m.tasks.Add(1)
		go m.send(p)
	}
	return p
}

// send owns the outgoing connection of one peer.
func (m *Messenger) send(p *peer) {
	defer m.tasks.Done()
	var conn net.Conn
	var sequence uint64
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for {
		select {
		case <-m.ctx.Done():
			return
		case msg := <-p.queue:
			sequence++
			conn = m.deliver(p, conn, msg, sequence)
		}
	}
}

// deliver writes one message, on a new connection where the old one fails, and
// returns the connection to go on with.
func (m *Messenger) deliver(p *peer, conn net.Conn, msg Message, sequence uint64) net.Conn {
	body, err := msgpack.Marshal(msg)
	if err != nil {
		return conn
	}
	e := Envelope{From: m.self, Incarnation: m.incarnation, Sequence: sequence, Generation: m.generation.Load(), Kind: msg.kind(), Body: body}
	for m.ctx.Err() == nil {
		if conn == nil {
			if conn, err = m.dial(p.address); err != nil {
				return nil
			}
		}
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := writeFrame(conn, e)
		m.sent.Add(uint64(n))
		if err == nil {
			return conn
		}
		_ = conn.Close()
		conn = nil
	}
	return conn
}

func (m *Messenger) dial(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(m.ctx, "tcp", address)
	if err == nil {
		return conn, nil
	}
	select {
	case <-m.ctx.Done():
	case <-time.After(retryPause):
	}
	return nil, err
}

func (m *Messenger) accept() {
	defer m.tasks.Done()
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.mu.Lock()
		m.conns[conn] = true
		m.mu.Unlock()
		m.tasks.Add(1)
		go m.read(conn)
	}
}

func (m *Messenger) read(conn net.Conn) {
	defer m.tasks.Done()
	defer func() {
		m.mu.Lock()
		delete(m.conns, conn)
		m.mu.Unlock()
		_ = conn.Close()
	}()
	r := bufio.NewReader(conn)
	for {
		e, err := readFrame(r)
		if err != nil {
			return
		}
		m.received.Add(uint64(len(e.Body)))
		msg, err := e.Message()
		if err != nil {
			return
		}
		m.handler(e, msg)
	}
}

func (m *Messenger) close() {
	m.stop()
	_ = m.listener.Close()
	m.mu.Lock()
	for c := range m.conns {
		_ = c.Close()
	}
	m.mu.Unlock()
	m.tasks.Wait()
}
