package router

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/reserver"
)

const streamBufferBytes = 4 << 10

// passStream passes events on as they arrive, whole events only: if the worker fails
// inside an event, another worker could not continue it.
func (t *transaction) passStream(ctx context.Context, p Placement, a *connector.Answer) error {
	if p.Worker.Incarnation != "" { // another start may answer at its address
		defer a.WatchStart()()
	}
	resumed := t.delivery.headSent || t.received() != ""
	pending := partialEvent{reserved: t.router.Memory.Reserve(reserver.Event)}
	defer pending.reserved.Release()
	buffer := make([]byte, streamBufferBytes)
	left := reserver.MaxEvents(t.q.MaxOutput)
	for first := true; ; {
		n, err := a.Read(buffer)
		t.path.progress()
		events, full := pending.add(buffer[:n])
		if full != nil {
			return t.recordFailure(full)
		}
		if len(events) > 0 {
			if left -= bytes.Count(events, eventEnd); left < 0 {
				return t.recordFailure(reserver.ErrTooManyEvents)
			}
			if first {
				first = false
				a.Begin()
				t.stopSilenceTimer()
				if !t.mayPass(ctx, p, a.OpenedAt()) {
					return t.recordFailure(errOtherStart)
				}
				t.timeToFirst = time.Since(t.sentAt)
				t.router.Placer.Started(p, t.timeToFirst)
				t.begin(p, a.OpenedAt())
			}
			if err := t.passEvents(a, events, resumed); err != nil {
				return t.recordFailure(err)
			}
			pending.drop(len(events))
		}
		switch {
		case errors.Is(err, io.EOF) && len(pending.bytes) > 0:
			return t.recordFailure(errTruncatedEvent)
		case errors.Is(err, io.EOF):
			return t.finishStream(ctx, p, a, first)
		case err != nil:
			return t.recordFailure(err)
		}
	}
}

// finishStream completes a stream after its last event. An answer without any event is
// passed on unchanged; it ends a stream that goes on as its first event would go on with it.
func (t *transaction) finishStream(ctx context.Context, p Placement, a *connector.Answer, empty bool) error {
	if empty && !t.mayPass(ctx, p, a.OpenedAt()) {
		return t.recordFailure(errOtherStart)
	}
	if err := t.confirmEnd(ctx, p, a); err != nil {
		return t.recordFailure(err)
	}
	a.Finish()
	if !t.delivery.headSent {
		t.delivery.writeHead(a.Status, a.Header, -1)
	}
	return t.delivery.flush()
}

// passEvents writes whole events to the caller. Of a resumed stream, it skips the events
// that the caller already has.
func (t *transaction) passEvents(a *connector.Answer, events []byte, resumed bool) error {
	previous := t.received()
	for rest := events; len(rest) > 0; {
		end := bytes.Index(rest, eventEnd) + len(eventEnd)
		event := rest[:end]
		rest = rest[end:]
		id := eventID(event)
		if resumed && id != "" && !isLater(id, previous) {
			continue
		}
		if !t.delivery.headSent {
			t.delivery.writeHead(a.Status, a.Header, -1)
		}
		if err := t.delivery.write(event); err != nil {
			return err
		}
		if id != "" {
			t.lastEventID = id
		}
	}
	if !t.delivery.headSent {
		return nil
	}
	return t.delivery.flush()
}

// received returns the ID of the last event that the caller has, also of an earlier attempt; "" if
// none is known.
func (t *transaction) received() string {
	if t.lastEventID == "" && t.q.takenUp() && t.q.Repeatable() {
		return t.q.LastEventID
	}
	return t.lastEventID
}

// eventID returns the id of an event, or "" if it has none.
func eventID(event []byte) string {
	for _, line := range strings.Split(string(event), "\n") {
		if id, ok := strings.CutPrefix(line, "id:"); ok {
			return strings.TrimSpace(id)
		}
	}
	return ""
}

// isLater reports whether an event ID follows another. IDs increase within a stream.
func isLater(id, previous string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(previous, 10, 64)
	if errA != nil || errB != nil {
		return id != previous
	}
	return a > b
}
