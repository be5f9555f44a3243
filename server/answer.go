package server

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/cicadawood/cicadawood/forwarder"
	"github.com/cicadawood/cicadawood/reserver"
)

const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// isEventStream reports whether an answer is an event stream.
func isEventStream(a *forwarder.Answer) bool {
	return strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
}

// passAnswer passes the answer on. It returns nil only if the caller has the whole
// answer.
func (t *try) passAnswer() error {
	switch {
	case isEventStream(t.answer) && t.q.engine:
		return t.passStream()
	case t.delivery.headSent:
		return errNotResumed
	case isEventStream(t.answer):
		return t.passThrough(nil)
	default:
		return t.passWhole()
	}
}

// passWhole reads an answer to its end before passing any of it on, so that the caller
// never receives a truncated answer as if it were complete, and the request can be tried
// again. An answer too large to buffer is passed on as it arrives.
func (t *try) passWhole() error {
	if !t.answer.Framed {
		return fmt.Errorf("%w: %w", forwarder.ErrUnknown, errUnframed)
	}
	h := t.server.memory.Reserve(reserver.Answer)
	defer h.Release()
	length := t.answer.Length
	if t.call.Method == http.MethodHead {
		length = 0
	}
	body, err := h.ReadAll(t.answer.Body, length, t.server.limits.MaxAnswer)
	if errors.Is(err, reserver.ErrTooLarge) || errors.Is(err, reserver.ErrFull) {
		return t.passThrough(body)
	}
	if err == nil {
		err = t.checkCompletion(body)
	}
	if err != nil {
		return err
	}
	if isBusy(t.answer.Status) && !t.q.once {
		t.store(t.answer, body)
		return errBusy
	}
	return t.commitWhole(t.answer, body)
}

// commitWhole commits the try and passes a complete answer on.
func (t *try) commitWhole(a *forwarder.Answer, body []byte) error {
	if err := t.commit(); err != nil {
		return err
	}
	return writeWhole(t.delivery, a, body)
}

func writeWhole(d *delivery, a *forwarder.Answer, body []byte) error {
	length := int64(len(body))
	switch {
	case a.Status == http.StatusNoContent || a.Status == http.StatusNotModified:
		length = -1
	case length == 0:
		length = a.Length // of a HEAD request
	}
	d.writeHead(a, length)
	if len(body) == 0 {
		return nil
	}
	return d.write(body)
}

// checkCompletion checks that an engine's answer is a completion, and belongs to this
// request.
func (t *try) checkCompletion(body []byte) error {
	if !t.q.engine || t.answer.Status != http.StatusOK {
		return nil
	}
	tokens, err := t.answer.Completion(body)
	t.tokens, t.delivery.usage = tokens, tokens
	return err
}

// isBusy reports whether a status describes the state of the backend server rather than
// the request: another server may succeed.
func isBusy(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// passThrough passes an answer on as it arrives, after the part already read. If it
// breaks, delivery.fail has it aborted.
func (t *try) passThrough(read []byte) error {
	if err := t.commit(); err != nil {
		return err
	}
	d := t.delivery
	d.writeHead(t.answer, t.answer.Length)
	if err := d.write(read); err != nil {
		return err
	}
	buf := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := t.answer.Body.Read(buf[:])
		if n > 0 {
			if err := d.write(buf[:n]); err != nil {
				return err
			}
			if err := d.flush(); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
