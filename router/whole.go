package router

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/reserver"
)

// usualAnswerBytes is the size from which on an answer that does not fit is its worker's failure.
const usualAnswerBytes = 1 << 20

// passWhole reads an answer to its end before passing any of it on, so that the caller
// never receives a truncated answer as if it were complete.
func (t *transaction) passWhole(ctx context.Context, p Placement, a *connector.Answer, v AnswerHead) error {
	t.stopSilenceTimer()
	body := t.router.Memory.Buffer(reserver.Answer)
	stored := false
	defer func() {
		if !stored {
			body.Release()
		}
	}()
	if a.Length > t.router.MaxAnswer && t.q.method != http.MethodHead {
		return t.recordFailure(fmt.Errorf("%w: %d bytes", reserver.ErrTooLarge, a.Length))
	}
	if err := body.ReadAll(a, t.router.MaxAnswer); err != nil {
		if errors.Is(err, reserver.ErrFull) && body.Len() < usualAnswerBytes {
			err = fmt.Errorf("%w: %w", errHostFull, err)
		}
		return t.recordFailure(err)
	}
	if err := t.confirmEnd(ctx, p, a); err != nil {
		return t.recordFailure(err)
	}
	a.Finish()
	t.router.Placer.Started(p, time.Since(t.sentAt))
	if a.Status >= http.StatusInternalServerError || impliesNotRun(a.Status) {
		t.recordRun()
		if !impliesNotRun(a.Status) {
			stored = true
			t.storeWorkerError(a, body)
			return fmt.Errorf("%w: status %d", errWorkerFailed, a.Status)
		}
		return fmt.Errorf("%w: status %d, sealed=%t", errImpliesNotRun, a.Status, v.Sealed)
	}
	t.delivery.writeHead(a.Status, a.Header, body.Len())
	return body.Pieces(t.delivery.write)
}

// storedAnswer is a worker's error response, passed to the caller only if no other
// worker gives a better one.
type storedAnswer struct {
	status int
	header http.Header
	body   *reserver.Buffer
}

// passWorkerError passes on the stored error response of a worker, if there is one.
func (t *transaction) passWorkerError() bool {
	k := t.workerError
	if k == nil || t.delivery.headSent {
		return false
	}
	t.delivery.writeHead(k.status, k.header, k.body.Len())
	return k.body.Pieces(t.delivery.write) == nil
}

// storeWorkerError keeps the error response of a worker in place of an earlier one.
func (t *transaction) storeWorkerError(a *connector.Answer, body *reserver.Buffer) {
	if t.workerError != nil {
		t.workerError.body.Release()
	}
	t.workerError = &storedAnswer{status: a.Status, header: a.Header, body: body}
}
