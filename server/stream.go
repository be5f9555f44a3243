package server

import (
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/cicadawood/cicadawood/forwarder"
	"github.com/cicadawood/cicadawood/reserver"
)

// firstReportTokens is the number of tokens after which a stream's progress is first
// reported to the dispatcher. Later reports follow each time the number doubles, so that
// a long answer costs few messages.
const firstReportTokens = 128

var doneEvent = []byte("data: [DONE]\n\n")

// passStream passes a completion on event by event. It returns nil only if the caller
// has the whole answer: an event stream has no length, so a truncated one differs from a
// whole one only by its missing end marker.
func (t *try) passStream() error {
	d := t.delivery
	if at := t.answer.Header.Get(forwarder.HeaderResumed); d.headSent && at != strconv.Itoa(d.tokens) {
		// An engine that can't resume starts again, which would repeat the tokens that
		// the caller has.
		return fmt.Errorf("%w: at %q, not %d", errNotResumed, at, d.tokens)
	}
	if s := t.answer.Header.Get(forwarder.HeaderSoftware); d.headSent && s != d.software {
		return fmt.Errorf("%w: it runs %q, not %q", errNotResumed, s, d.software)
	}
	events, clean := t.answer.Events(t.server.memory.Reserve(reserver.Event))
	defer clean()
	resumed := d.headSent
	left := reserver.MaxEvents(t.q.maxOutput * t.q.choices)
	for {
		v, err := events.Next()
		if err != nil {
			return t.finishCutStream(err)
		}
		if left--; left < 0 {
			return reserver.ErrTooManyEvents
		}
		if v.Failed {
			return errEngineFailed
		}
		if resumed && t.isRepeat(v) {
			continue
		}
		if err := t.passEvent(v, events.Buffered()); err != nil || v.Done {
			return err
		}
	}
}

// isRepeat reports whether an event of a resumed stream repeats a part that the caller
// has: the opening events, or the finish reason.
func (t *try) isRepeat(v forwarder.Event) bool {
	if v.Done || v.Tokens > 0 || v.Usage > 0 {
		return false
	}
	return t.tokens == 0 && !v.Finished || t.delivery.finished
}

// finishCutStream handles a stream that ended without its end marker. If only the marker
// is missing, the answer is whole, and the caller is sent the marker.
func (t *try) finishCutStream(err error) error {
	d := t.delivery
	if d.finished && (d.usage > 0 || !t.q.usage) {
		if err := d.write(doneEvent); err != nil {
			return err
		}
		return d.flush()
	}
	if errors.Is(err, io.EOF) {
		return errTruncated
	}
	return err
}

// passEvent writes one event to the caller.
func (t *try) passEvent(v forwarder.Event, nextBuffered bool) error {
	d := t.delivery
	if !d.headSent {
		if err := t.commit(); err != nil {
			return err
		}
		d.stream = true
		d.writeHead(t.answer, -1)
	}
	if err := d.write(v.Raw); err != nil {
		return err
	}
	t.countEvent(v)
	if nextBuffered && !v.Done {
		return nil // the next event is already buffered: both are sent in one write
	}
	return d.flush()
}

// countEvent records the content of an event that was passed on.
func (t *try) countEvent(v forwarder.Event) {
	d := t.delivery
	t.tokens += v.Tokens
	d.tokens += v.Tokens
	d.finished = d.finished || v.Finished
	if v.Usage > 0 {
		d.usage = v.Usage
	}
	if t.tokens > 0 && t.tokens >= t.nextReport {
		t.nextReport = 2 * max(t.nextReport, firstReportTokens/2)
		if t.tokens >= firstReportTokens {
			t.server.allocator.Progress(t.place, t.tokens)
		}
	}
}
