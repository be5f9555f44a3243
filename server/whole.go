package server

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/cicadawood/cicadawood/forwarder"
)

const copyBuffer = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// isEvents says that an answer is an event stream.
func isEvents(a *forwarder.Answer) bool {
	return strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
}

// reply passes the answer to the caller. It returns nil only when the caller
// has it whole.
func (t *try) reply() error {
	switch {
	case isEvents(t.answer) && t.q.engine:
		return t.stream()
	case t.delivery.begun:
		return errNoResume
	case isEvents(t.answer):
		return t.through(nil)
	default:
		return t.whole()
	}
}

// whole reads an answer to its end before it passes any of it, so that a broken
// one never reaches the caller as if it were whole, and can be tried again. An
// answer too large to be held is passed on as it comes.
func (t *try) whole() error {
	if !t.answer.Framed {
		return fmt.Errorf("%w: %w", forwarder.ErrUnknown, errUnframed)
	}
	h := hold{memory: &t.server.memory}
	defer h.release()
	length := t.answer.Length
	if t.call.Method == http.MethodHead {
		length = 0
	}
	body, err := h.readAll(t.answer.Body, length, t.server.limits.Answer)
	if errors.Is(err, errTooLarge) || errors.Is(err, errFull) {
		return t.through(body)
	}
	if err == nil {
		err = t.check(body)
	}
	if err != nil {
		return err
	}
	if isBusy(t.answer.Status) && !t.q.once {
		t.keep(t.answer, body)
		return errBusy
	}
	return t.give(t.answer, body)
}

// give passes an answer that is whole.
func (t *try) give(a *forwarder.Answer, body []byte) error {
	if err := t.commit(); err != nil {
		return err
	}
	return giveWhole(t.delivery, a, body)
}

func giveWhole(d *delivery, a *forwarder.Answer, body []byte) error {
	length := int64(len(body))
	switch {
	case a.Status == http.StatusNoContent || a.Status == http.StatusNotModified:
		length = -1
	case length == 0:
		length = a.Length // of a HEAD
	}
	d.head(a, length)
	if len(body) == 0 {
		return nil
	}
	return d.write(body)
}

// check looks whether an engine's answer is one, and of this request.
func (t *try) check(body []byte) error {
	if !t.q.engine || t.answer.Status != http.StatusOK {
		return nil
	}
	tokens, err := t.answer.Completion(body)
	t.tokens, t.delivery.usage = tokens, tokens
	return err
}

// isBusy says that a backend server's status speaks of itself rather than of
// the request: another may do better.
func isBusy(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// through passes an answer on as it comes, after the part that was read. One
// that breaks is aborted by its caller: see delivery.fail.
func (t *try) through(read []byte) error {
	if err := t.commit(); err != nil {
		return err
	}
	d := t.delivery
	d.head(t.answer, t.answer.Length)
	if err := d.write(read); err != nil {
		return err
	}
	buf := copyBuffers.Get().(*[copyBuffer]byte)
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
