package messenger

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	firstPause  = 50 * time.Millisecond // after a failed dial; doubles up to lastPause
	lastPause   = time.Second
)

// peer is the sending side towards one address. Its run goroutine owns the
// connection; the outbox is locked.
type peer struct {
	m       *Messenger
	address string
	wake    chan struct{} // something was added
	renew   chan struct{} // replace the connection

	mu        sync.Mutex
	outbox    outbox
	reachable bool
	known     bool // an outcome was seen
}

func newPeer(m *Messenger, address string) *peer {
	return &peer{m: m, address: address, wake: make(chan struct{}, 1), renew: make(chan struct{}, 1)}
}

func (p *peer) add(kind string, body []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.outbox.items) >= p.m.config.MaxQueue {
		p.m.dropped.Add(1)
		return fmt.Errorf("send to %s: %w", p.address, ErrFull)
	}
	p.outbox.add(item{sequence: p.m.sequence.Add(1), kind: kind, body: body, queued: time.Now()})
	poke(p.wake)
	return nil
}

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run connects while there is something to send, and ends when there is not.
func (p *peer) run() {
	defer p.m.tasks.Done()
	pause := firstPause
	for p.m.ctx.Err() == nil && !p.m.forget(p) {
		conn, err := p.connect()
		if err != nil {
			p.outcome(false)
			p.sleep(pause/2 + rand.N(pause))
			pause = min(2*pause, lastPause)
			continue
		}
		pause = firstPause
		p.outcome(true)
		p.serve(conn)
		p.m.drop(conn)
	}
}

func (p *peer) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-p.m.ctx.Done():
	case <-t.C:
	}
}

func (p *peer) outcome(reachable bool) {
	p.mu.Lock()
	changed := !p.known || p.reachable != reachable
	p.known, p.reachable = true, reachable
	p.mu.Unlock()
	if changed {
		p.m.config.OnReachability(p.address, reachable)
	}
}

// connect opens a connection and exchanges hello and welcome on it.
func (p *peer) connect() (net.Conn, error) {
	p.mu.Lock()
	p.m.dropped.Add(uint64(p.outbox.expire(time.Now(), p.m.config.Hold)))
	p.mu.Unlock()
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(p.m.ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	if !p.m.keep(conn) {
		return nil, net.ErrClosed
	}
	w, err := p.greet(conn)
	if err != nil {
		p.m.drop(conn)
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.m.dropped.Add(uint64(p.outbox.open(time.Now(), w)))
	return conn, nil
}

func (p *peer) greet(conn net.Conn) (welcome, error) {
	var w welcome
	_ = conn.SetDeadline(time.Now().Add(p.m.config.AckTimeout))
	n, err := writeFrame(conn, hello{Name: p.m.config.Name, Incarnation: p.m.config.Incarnation})
	p.m.sent.Add(uint64(n))
	if err != nil {
		return w, err
	}
	n, err = readFrame(conn, &w)
	p.m.received.Add(uint64(n))
	_ = conn.SetDeadline(time.Time{})
	return w, err
}

// serve writes frames until the connection breaks, goes silent or is idle.
func (p *peer) serve(conn net.Conn) {
	broken := make(chan struct{})
	p.m.tasks.Go(func() { defer close(broken); p.readAcks(conn) })
	w := bufio.NewWriter(conn)
	timer := time.NewTimer(p.m.config.IdleTimeout)
	defer timer.Stop()
	for {
		if err := p.write(conn, w); err != nil {
			return
		}
		timer.Reset(p.patience())
		select {
		case <-p.m.ctx.Done():
			return
		case <-broken:
			return
		case <-p.renew:
			return
		case <-p.wake:
		case <-timer.C:
			if p.expired() {
				return
			}
		}
	}
}

// write writes every waiting frame in one go.
func (p *peer) write(conn net.Conn, w *bufio.Writer) error {
	_ = conn.SetWriteDeadline(time.Now().Add(p.m.config.AckTimeout))
	for {
		p.mu.Lock()
		i, again, ok := p.outbox.take(time.Now())
		p.mu.Unlock()
		if !ok {
			return w.Flush()
		}
		if again {
			p.m.resent.Add(1)
		}
		n, err := writeFrame(w, parcel{Sequence: i.sequence, Generation: p.m.generation.Load(), Kind: i.kind, Body: i.body})
		p.m.sent.Add(uint64(n))
		if err != nil {
			return err
		}
	}
}

func (p *peer) patience() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.outbox.unacknowledged() {
		return max(p.m.config.AckTimeout-time.Since(p.outbox.progress), time.Millisecond)
	}
	return p.m.config.IdleTimeout
}

// expired says whether the connection is to be closed: silent, or idle.
func (p *peer) expired() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.outbox.silent(time.Now(), p.m.config.AckTimeout) {
		p.m.replaced.Add(1)
		return true
	}
	return len(p.outbox.items) == 0 && time.Since(p.outbox.progress) >= p.m.config.IdleTimeout
}

func (p *peer) readAcks(conn net.Conn) {
	var b [ackLength]byte
	for {
		if _, err := io.ReadFull(conn, b[:]); err != nil {
			return
		}
		p.m.received.Add(ackLength)
		p.mu.Lock()
		p.outbox.ack(time.Now(), binary.BigEndian.Uint64(b[:]))
		p.mu.Unlock()
	}
}
