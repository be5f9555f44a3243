package messenger

import (
	"bufio"
	"encoding/binary"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/cicadawood/cicadawood/reserver"
)

const (
	maxUnacked = 64   // frames; at this number an acknowledgement is sent without delay
	maxSenders = 4096 // inboxes that are kept
)

// inbox is the receiving side for one sender, by its name. Its lock is held
// while the handler runs, so that frames of an old and a new connection can't
// overtake each other.
type inbox struct {
	mu          sync.Mutex
	incarnation uint64
	last        uint64 // sequence of the last new frame
	conn        net.Conn
}

// isNew reports whether a frame has not been received before. A frame is resent
// on a new connection even if the old one had delivered it; its sequence is
// then not above the last one from that incarnation.
func (i *inbox) isNew(sequence uint64) bool { return sequence > i.last }

// attach makes conn the sender's only connection. It refuses an incarnation
// older than the known one: that process has been replaced.
func (i *inbox) attach(h hello, conn net.Conn) (received uint64, ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if h.Incarnation < i.incarnation {
		return 0, false
	}
	if h.Incarnation > i.incarnation {
		i.incarnation, i.last = h.Incarnation, 0
	}
	if i.conn != nil {
		_ = i.conn.Close()
	}
	i.conn = conn
	return i.last, true
}

func (i *inbox) detach(conn net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.conn == conn {
		i.conn = nil
	}
}

// inbox returns the sender's inbox. Above maxSenders, one without a connection
// is dropped first: over months, hosts are replaced under new names.
func (m *Messenger) inbox(name string) *inbox {
	m.mu.Lock()
	defer m.mu.Unlock()
	if i := m.inboxes[name]; i != nil {
		return i
	}
	if len(m.inboxes) >= maxSenders {
		for n, i := range m.inboxes {
			if i.mu.TryLock() {
				idle := i.conn == nil
				i.mu.Unlock()
				if idle {
					delete(m.inboxes, n)
					break
				}
			}
		}
	}
	i := &inbox{}
	m.inboxes[name] = i
	return i
}

// readConnection receives one connection's frames until it breaks.
func (m *Messenger) readConnection(conn net.Conn) {
	defer m.tasks.Done()
	defer m.closeConnection(conn)
	r := bufio.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(2 * m.config.AckTimeout))
	if start, err := r.Peek(len(TunnelPreface)); err == nil && string(start) == TunnelPreface {
		m.serveTunnel(conn, r)
		return
	}
	var h hello
	n, err := ReadFrame(r, &h)
	m.received.Add(uint64(n))
	if err != nil {
		return
	}
	i := m.inbox(h.Name)
	received, ok := i.attach(h, conn)
	if !ok {
		return
	}
	defer i.detach(conn)
	n, err = WriteFrame(conn, welcome{Incarnation: m.config.Incarnation, Received: received})
	m.sent.Add(uint64(n))
	if err != nil {
		return
	}
	_ = conn.SetDeadline(time.Time{})
	a := &acker{m: m, conn: conn}
	defer a.stop()
	for m.receive(i, h, conn, r, a) {
	}
}

// serveTunnel hands a tunnel over.
func (m *Messenger) serveTunnel(conn net.Conn, r *bufio.Reader) {
	if m.config.OnTunnel == nil {
		return
	}
	if _, err := r.Discard(len(TunnelPreface)); err != nil {
		return
	}
	m.config.OnTunnel(conn, r)
}

// receive reads one frame and passes its message to the handler. It returns
// false if the connection must end.
func (m *Messenger) receive(i *inbox, h hello, conn net.Conn, r *bufio.Reader, a *acker) bool {
	var p messageFrame
	_ = conn.SetReadDeadline(time.Now().Add(2 * m.config.IdleTimeout))
	n, err := readFrame(r, &p, MaxFrame, m.config.Memory.Reserve(reserver.Frame))
	m.received.Add(uint64(n))
	if err != nil {
		return false
	}
	e := Envelope{From: h.Name, Incarnation: h.Incarnation, Sequence: p.Sequence, Generation: p.Generation, Kind: p.Kind, Body: p.Body}
	msg, err := e.Message()
	unknown := errors.Is(err, ErrUnknownKind)
	if err != nil && !unknown {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.conn != conn {
		return false
	}
	if i.isNew(p.Sequence) {
		i.last = p.Sequence
		if unknown {
			m.unknown.Add(1)
		} else {
			m.handler(e, msg)
		}
	} else {
		m.duplicates.Add(1)
	}
	a.add(i.last)
	return true
}

// acker acknowledges a connection's frames. Acknowledgements are cumulative,
// and delayed so that one covers many frames.
type acker struct {
	m    *Messenger
	conn net.Conn

	mu    sync.Mutex
	last  uint64
	count int
	timer *time.Timer
}

func (a *acker) add(sequence uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last = sequence
	a.count++
	switch {
	case a.count >= maxUnacked:
		a.write()
	case a.count == 1 && a.timer == nil:
		a.timer = time.AfterFunc(a.m.config.AckDelay, a.flush)
	case a.count == 1:
		a.timer.Reset(a.m.config.AckDelay)
	}
}

func (a *acker) flush() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.count > 0 {
		a.write()
	}
}

func (a *acker) write() {
	a.count = 0
	b := binary.BigEndian.AppendUint64(nil, a.last)
	_ = a.conn.SetWriteDeadline(time.Now().Add(a.m.config.AckTimeout))
	n, _ := a.conn.Write(b)
	a.m.sent.Add(uint64(n))
}

func (a *acker) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.timer != nil {
		a.timer.Stop()
	}
}
