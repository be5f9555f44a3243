package forwarder

import (
	"context"
	"errors"
	"io"
	"time"
)

// drainTime is how long an answer that is whole may take to end by itself, so
// that its connection can be used again.
const drainTime = 20 * time.Millisecond

// watched is a body that is given up after a bound of silence. A connection
// that goes silent for good shows no error of its own: without the bound its
// reader would wait for ever. The clock runs only inside Read, so a caller that
// takes its answer slowly isn't mistaken for a silent backend server.
type watched struct {
	body    io.ReadCloser
	silence time.Duration
	first   time.Duration // bound for the first byte; 0 once it came
	timer   *time.Timer
	ctx     context.Context
	cancel  context.CancelCauseFunc
	lane    *lane
}

// Read implements io.Reader.
func (w *watched) Read(p []byte) (int, error) {
	w.timer.Reset(max(w.silence, w.first))
	n, err := w.body.Read(p)
	w.timer.Stop()
	if n > 0 {
		w.first = 0
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = w.lane.failure(w.ctx, err)
	}
	return n, err
}

// Close implements io.Closer. It drops the connection unless the body was read
// to its end.
func (w *watched) Close() error {
	w.timer.Stop()
	err := w.body.Close()
	w.cancel(nil)
	return err
}

// Drain reads on to the end for a moment: an answer that is whole may keep its
// connection.
func (w *watched) Drain() {
	w.silence, w.first = drainTime, 0
	var rest [64]byte
	for {
		w.timer.Reset(drainTime)
		_, err := w.body.Read(rest[:])
		w.timer.Stop()
		if err != nil {
			return
		}
	}
}
