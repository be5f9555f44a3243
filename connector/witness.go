package connector

import (
	"context"
	"sync"
	"time"
)

// WatchStart makes a connection to the backend server of an answer that ends with its connection, for
// ConfirmEnd: who answers over it runs since the beginning of the answer, and not only since its end.
// The function returned closes it, unless it was used.
func (a *Answer) WatchStart() (stop func()) {
	if a.Framed {
		return func() {}
	}
	ctx, cancel := context.WithTimeout(a.ctx, DialTimeout)
	w := &witness{}
	a.witness = w
	go func() {
		defer cancel()
		raw, err := a.conn.pool.dialer.Dial(ctx, Target{Address: a.conn.address})
		if err == nil {
			w.put(newConn(a.conn.pool, a.conn.address, raw))
		}
	}()
	return func() {
		cancel()
		if c := w.take(); c != nil {
			c.close()
		}
	}
}

// witness is a connection made at the beginning of an answer.
type witness struct {
	mu    sync.Mutex
	conn  *conn
	taken bool
}

func (w *witness) put(c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.taken {
		c.close()
		return
	}
	w.conn = c
}

// take returns the connection, or nil if there is none. There is none from then on.
func (w *witness) take() *conn {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.conn
	w.conn, w.taken = nil, true
	return c
}

// Begin notes that the answer's body has begun: a connection of WatchStart that is made later may lead to
// a later start of the server.
func (a *Answer) Begin() { a.watched = a.witness.isMade() }

// isMade reports whether there is a connection.
func (w *witness) isMade() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.conn != nil
}

// ConfirmedSince returns since when, at least, the process runs that ConfirmEnd was answered by, and
// whether that is since the answer began.
func (a *Answer) ConfirmedSince() (since time.Time, fromStart bool) {
	return a.confirmedSince, a.byWitness && a.watched || !a.confirmedSince.After(a.OpenedAt())
}
