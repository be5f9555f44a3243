package server

import (
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/cicadawood/cicadawood/forwarder"
)

// firstReport is how many tokens a stream brings before the dispatcher is told
// of it; after that it is told at each doubling, so that a long answer costs
// few messages.
const firstReport = 128

var doneEvent = []byte("data: [DONE]\n\n")

// stream passes a completion on event by event. It returns nil only when the
// caller has the whole answer: an event stream has no length, so a cut one ends
// just like a whole one, but for its end mark.
func (t *try) stream() error {
	d := t.delivery
	if at := t.answer.Header.Get(forwarder.HeaderResumed); d.begun && at != strconv.Itoa(d.tokens) {
		// An engine that can't resume would begin again and double what the
		// caller has.
		return fmt.Errorf("%w: at %q, not %d", errNoResume, at, d.tokens)
	}
	events, clean := t.answer.Events()
	defer clean()
	resumed := d.begun
	for {
		v, err := events.Next()
		if err != nil {
			return t.cut(err)
		}
		if v.Failed {
			return errEngine
		}
		if resumed && t.repeats(v) {
			continue
		}
		if err := t.pass(v, events.Buffered()); err != nil || v.Done {
			return err
		}
	}
}

// repeats says that a resumed stream's event tells the caller nothing new: the
// opening ones, and a second reason for the end.
func (t *try) repeats(v forwarder.Event) bool {
	if v.Done || v.Tokens > 0 || v.Usage > 0 {
		return false
	}
	return t.tokens == 0 && !v.Finished || t.delivery.finished
}

// cut is what became of a stream that ended without its end mark. Where only
// the mark is missing, the answer is whole, and the caller gets the mark.
func (t *try) cut(err error) error {
	d := t.delivery
	if d.finished && (d.usage > 0 || !t.q.usage) {
		if err := d.write(doneEvent); err != nil {
			return err
		}
		return d.flush()
	}
	if errors.Is(err, io.EOF) {
		return errShort
	}
	return err
}

// pass gives the caller one event.
func (t *try) pass(v forwarder.Event, more bool) error {
	d := t.delivery
	if !d.begun {
		if err := t.commit(); err != nil {
			return err
		}
		d.stream = true
		d.head(t.answer, -1)
	}
	if err := d.write(v.Raw); err != nil {
		return err
	}
	t.count(v)
	if more && !v.Done {
		return nil // the next event is here already: both go in one write
	}
	return d.flush()
}

// count takes in what an event that was passed brought.
func (t *try) count(v forwarder.Event) {
	d := t.delivery
	t.tokens += v.Tokens
	d.tokens += v.Tokens
	d.finished = d.finished || v.Finished
	if v.Usage > 0 {
		d.usage = v.Usage
	}
	if t.tokens > 0 && t.tokens >= t.report {
		t.report = 2 * max(t.report, firstReport/2)
		if t.tokens >= firstReport {
			t.server.places.Progress(t.place, t.tokens)
		}
	}
}
