package connector

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// Answer is a backend server's answer. Its body has not been read yet.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // of the body; -1 if the server did not state it
	Framed bool  // a truncated body can be detected; if false, the body ends with the connection

	conn       *conn
	body       io.ReadCloser
	ctx        context.Context
	stop       func() bool
	written    chan error
	closeAfter bool // the connection must not be reused
	readToEnd  bool // the body was read to its end
	finished   bool

	witness        *witness // nil unless WatchStart was called
	confirmedSince time.Time
	byWitness      bool // ConfirmEnd was answered over the witness
	watched        bool // the witness was there when the body began
}

// Reused reports whether the request was sent on a connection that had served another
// request.
func (a *Answer) Reused() bool { return a.conn.reused }

// OpenedAt returns when the answer's connection was made, at the latest: who answers runs at
// least since then.
func (a *Answer) OpenedAt() time.Time { return a.conn.openedAt }

// Read implements io.Reader. Its error reports whether the body was truncated. A body
// that ends with its connection is complete only if the connection was closed in order:
// a reset is returned as an error.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if errors.Is(err, io.EOF) {
		a.readToEnd = true
		return n, io.EOF
	}
	if err != nil {
		return n, a.conn.wrapError(a.ctx, err)
	}
	return n, nil
}

// Finish completes an answer. Its connection is kept if the answer was read to its end,
// the request was written to its end, and no further bytes were received.
func (a *Answer) Finish() {
	if a.finished {
		return
	}
	a.finished = true
	stopped := a.stop()
	if !stopped || !a.readToEnd || a.closeAfter || !a.Framed || !a.requestWritten() || a.conn.reader.Buffered() > 0 {
		a.conn.close()
		return
	}
	a.conn.readKeepAlive(a.Header)
	a.conn.idleSince = time.Now()
	a.conn.pool.put(a.conn)
}

// writtenTimeout is how long Finish waits for the end of the request's write after a
// complete answer. The bytes have normally been sent long before; on a busy host, the
// goroutine that wrote them may not have reported it yet.
const writtenTimeout = 5 * time.Millisecond

// requestWritten reports whether the whole request was written. If the answer arrives
// before that, the server would take the next request on the connection for the rest of
// this one.
func (a *Answer) requestWritten() bool {
	timer := time.NewTimer(writtenTimeout)
	defer timer.Stop()
	select {
	case err := <-a.written:
		return err == nil
	case <-timer.C:
		return false
	}
}

// maxDiscard is the size of an answer that is read to its end so that its connection can be used again.
const maxDiscard = 16 << 10

// Discard reads a short answer to its end and completes it.
func (a *Answer) Discard() {
	if _, err := io.CopyN(io.Discard, a, maxDiscard); errors.Is(err, io.EOF) {
		a.Finish()
	}
}

// Close aborts an answer and closes its connection. A server drops a request whose
// connection closes.
func (a *Answer) Close() {
	if a.finished {
		return
	}
	a.finished = true
	a.stop()
	a.conn.close()
}
