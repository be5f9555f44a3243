package forwarder

import (
	"context"
	"errors"
	"io"
	"time"
)

// watched is a body that is given up after a bound of silence. A connection
// that goes silent for good shows no error of its own: without the bound its
// reader would wait for ever. The clock runs only inside Read, so a caller that
// takes its answer slowly isn't mistaken for a silent backend server.
type watched struct {
	body    io.ReadCloser
	silence time.Duration
	timer   *time.Timer
	ctx     context.Context
	cancel  context.CancelCauseFunc
}

func newWatched(ctx context.Context, body io.ReadCloser, silence time.Duration, cancel context.CancelCauseFunc) *watched {
	w := &watched{body: body, silence: silence, ctx: ctx, cancel: cancel}
	w.timer = time.AfterFunc(silence, func() { cancel(ErrSilent) })
	w.timer.Stop()
	return w
}

// Read implements io.Reader.
func (w *watched) Read(p []byte) (int, error) {
	w.timer.Reset(w.silence)
	n, err := w.body.Read(p)
	w.timer.Stop()
	if err != nil && !errors.Is(err, io.EOF) && errors.Is(context.Cause(w.ctx), ErrSilent) {
		err = ErrSilent
	}
	return n, err
}

// Close implements io.Closer.
func (w *watched) Close() error {
	w.timer.Stop()
	err := w.body.Close()
	w.cancel(nil)
	return err
}
