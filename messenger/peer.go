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
	dialTimeout   = time.Second
	minRetryPause = 50 * time.Millisecond // after a failed dial; doubles up to maxRetryPause
	maxRetryPause = time.Second
)

// peer is the sending side for one address. Its run goroutine owns the
// connection; the fields below mu are shared.
type peer struct {
	m         *Messenger
	address   string
	wake      chan struct{} // a message was queued
	reconnect chan struct{} // replace the connection

	mu                sync.Mutex
	outbox            outbox
	reachable         bool
	reachabilityKnown bool // reachable was set
}

func newPeer(m *Messenger, address string) *peer {
	return &peer{m: m, address: address, wake: make(chan struct{}, 1), reconnect: make(chan struct{}, 1)}
}

func (p *peer) add(kind string, body []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.outbox.items) >= p.m.config.MaxQueue {
		p.m.dropped.Add(1)
		return fmt.Errorf("send to %s: %w", p.address, ErrFull)
	}
	p.outbox.add(queuedMessage{sequence: p.m.sequence.Add(1), kind: kind, body: body, queued: time.Now()})
	notify(p.wake)
	return nil
}

// notify signals c unless a signal is already pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run connects while there are messages to send, and ends when there are none.
func (p *peer) run() {
	defer p.m.tasks.Done()
	pause := minRetryPause
	for p.m.ctx.Err() == nil && !p.m.removeIfIdle(p) {
		conn, err := p.connect()
		if err != nil {
			p.setReachable(false)
			p.sleep(pause/2 + rand.N(pause))
			pause = min(2*pause, maxRetryPause)
			continue
		}
		pause = minRetryPause
		p.setReachable(true)
		p.serve(conn)
		p.m.closeConnection(conn)
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

// setReachable records the outcome of a connection attempt and reports changes.
func (p *peer) setReachable(reachable bool) {
	p.mu.Lock()
	changed := !p.reachabilityKnown || p.reachable != reachable
	p.reachabilityKnown, p.reachable = true, reachable
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
	address, ok := p.m.config.Translate[p.address]
	if !ok {
		address = p.address
	}
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(p.m.ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if !p.m.trackConnection(conn) {
		return nil, net.ErrClosed
	}
	w, err := p.handshake(conn)
	if err != nil {
		p.m.closeConnection(conn)
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.m.dropped.Add(uint64(p.outbox.startConnection(time.Now(), w)))
	return conn, nil
}

func (p *peer) handshake(conn net.Conn) (welcome, error) {
	var w welcome
	_ = conn.SetDeadline(time.Now().Add(p.m.config.AckTimeout))
	n, err := WriteFrame(conn, hello{Name: p.m.config.Name, Incarnation: p.m.config.Incarnation})
	p.m.sent.Add(uint64(n))
	if err != nil {
		return w, err
	}
	n, err = ReadFrame(conn, &w)
	p.m.received.Add(uint64(n))
	_ = conn.SetDeadline(time.Time{})
	return w, err
}

// serve writes frames until the connection breaks, stalls or is idle.
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
		timer.Reset(p.checkAfter())
		select {
		case <-p.m.ctx.Done():
			return
		case <-broken:
			return
		case <-p.reconnect:
			return
		case <-p.wake:
		case <-timer.C:
			if p.shouldClose() {
				return
			}
		}
	}
}

// write writes all waiting frames and flushes them together.
func (p *peer) write(conn net.Conn, w *bufio.Writer) error {
	_ = conn.SetWriteDeadline(time.Now().Add(p.m.config.AckTimeout))
	for {
		p.mu.Lock()
		i, resent, ok := p.outbox.nextUnsent(time.Now())
		p.mu.Unlock()
		if !ok {
			return w.Flush()
		}
		if resent {
			p.m.resent.Add(1)
		}
		n, err := WriteFrame(w, messageFrame{Sequence: i.sequence, Generation: p.m.generation.Load(), Kind: i.kind, Body: i.body})
		p.m.sent.Add(uint64(n))
		if err != nil {
			return err
		}
	}
}

// checkAfter returns the time after which shouldClose must be checked.
func (p *peer) checkAfter() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.outbox.unacknowledged() {
		return max(p.m.config.AckTimeout-time.Since(p.outbox.lastProgress), time.Millisecond)
	}
	return p.m.config.IdleTimeout
}

// shouldClose reports whether the connection has stalled or is idle.
func (p *peer) shouldClose() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.outbox.stalled(time.Now(), p.m.config.AckTimeout) {
		p.m.replaced.Add(1)
		return true
	}
	return len(p.outbox.items) == 0 && time.Since(p.outbox.lastProgress) >= p.m.config.IdleTimeout
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
