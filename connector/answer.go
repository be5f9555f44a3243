package connector

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// Answer is a backend server's answer, with its body still to be read.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // of the body; -1 where the server did not say
	Framed bool  // the end of the body can be told from a cut; else it ends with the connection

	conn    *conn
	body    io.ReadCloser
	ctx     context.Context
	stop    func() bool
	written chan error
	closing bool // the connection is not to be used again
	ended   bool // the body was read to its end
	over    bool
}

// Reused says that the request went over a connection that had served another.
func (a *Answer) Reused() bool { return a.conn.kept }

// Read implements io.Reader. Its error says whether the body was cut: a body that
// ends with its connection is whole only where the connection was closed in order,
// and a reset shows as an error.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if errors.Is(err, io.EOF) {
		a.ended = true
		return n, io.EOF
	}
	if err != nil {
		return n, a.conn.failure(a.ctx, err)
	}
	return n, nil
}

// Finish ends an answer. Its connection is kept if the answer was read to its
// end, the request was written to its end, and nothing else lies on it.
func (a *Answer) Finish() {
	if a.over {
		return
	}
	a.over = true
	alive := a.stop()
	if !alive || !a.ended || a.closing || !a.Framed || !a.wrote() || a.conn.reader.Buffered() > 0 {
		a.conn.close()
		return
	}
	a.conn.learn(a.Header)
	a.conn.since = time.Now()
	a.conn.pool.put(a.conn)
}

// writtenWait is how long the end of a request's writing is waited for once its
// answer is whole. The bytes have long left, as a rule; on a busy host the
// goroutine that wrote them may only not have said so yet.
const writtenWait = 5 * time.Millisecond

// wrote says that the request went out whole. An early answer may come before
// that: the server would take the next request for the rest of this one.
func (a *Answer) wrote() bool {
	timer := time.NewTimer(writtenWait)
	defer timer.Stop()
	select {
	case err := <-a.written:
		return err == nil
	case <-timer.C:
		return false
	}
}

// Close ends an answer and its connection. A server drops a request whose
// connection closes.
func (a *Answer) Close() {
	if a.over {
		return
	}
	a.over = true
	a.stop()
	a.conn.close()
}
