package forwarder

import (
	"context"
	"errors"
	"io"
	"time"
)

// drainTimeout is how long to read on after a complete answer for the end of its body,
// so that its connection can be reused.
const drainTimeout = 20 * time.Millisecond

// timedBody is an answer's body that is given up after a period without data. A
// connection that is lost silently reports no error: without the time-out, its reader
// would wait forever. The timer runs only inside Read, so a caller that accepts its
// answer slowly isn't mistaken for a silent backend server.
type timedBody struct {
	body             io.ReadCloser
	silenceTimeout   time.Duration
	firstByteTimeout time.Duration // until the first byte; 0 after it was received
	timer            *time.Timer
	ctx              context.Context
	cancel           context.CancelCauseFunc
	backend          *backend
}

// Read implements io.Reader.
func (w *timedBody) Read(p []byte) (int, error) {
	w.timer.Reset(max(w.silenceTimeout, w.firstByteTimeout))
	n, err := w.body.Read(p)
	w.timer.Stop()
	if n > 0 {
		w.firstByteTimeout = 0
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = w.backend.wrapError(w.ctx, err)
	}
	return n, err
}

// Close implements io.Closer. It closes the connection unless the body was read to its
// end.
func (w *timedBody) Close() error {
	w.timer.Stop()
	err := w.body.Close()
	w.cancel(nil)
	return err
}

// Drain reads for a short time to the end of the body, so that the connection of a
// complete answer can be reused.
func (w *timedBody) Drain() {
	w.silenceTimeout, w.firstByteTimeout = drainTimeout, 0
	var rest [64]byte
	for {
		w.timer.Reset(drainTimeout)
		_, err := w.body.Read(rest[:])
		w.timer.Stop()
		if err != nil {
			return
		}
	}
}
