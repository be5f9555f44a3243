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
)

const (
	streamBufferBytes = 4 << 10
	// maxEventBytes is the maximum size of one event.
	maxEventBytes = 1 << 20
)

var eventEnd = []byte("\n\n")

// passStream passes events on as they arrive, whole events only: if the worker fails
// inside an event, another worker could not continue it.
func (t *transaction) passStream(ctx context.Context, p Placement, a *connector.Answer) error {
	resumed := t.delivery.headSent
	var pending []byte
	buffer := make([]byte, streamBufferBytes)
	for first := true; ; {
		n, err := a.Read(buffer)
		t.path.progress()
		pending = append(pending, buffer[:n]...)
		if end := bytes.LastIndex(pending, eventEnd); end >= 0 {
			events := pending[:end+len(eventEnd)]
			if first {
				first = false
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
			pending = append(pending[:0], pending[end+len(eventEnd):]...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(pending) > 0, len(pending) > maxEventBytes:
			return t.recordFailure(errTruncatedEvent)
		case errors.Is(err, io.EOF):
			return t.finishStream(a)
		case err != nil:
			return t.recordFailure(err)
		}
	}
}

// finishStream completes a stream after its last event. An answer without any event is
// passed on unchanged.
func (t *transaction) finishStream(a *connector.Answer) error {
	if err := a.ConfirmEnd(); err != nil {
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
	if !t.delivery.headSent {
		t.delivery.writeHead(a.Status, a.Header, -1)
	}
	previous := t.lastEventID
	for rest := events; len(rest) > 0; {
		end := bytes.Index(rest, eventEnd) + len(eventEnd)
		event := rest[:end]
		rest = rest[end:]
		id := eventID(event)
		if resumed && id != "" && !isLater(id, previous) {
			continue
		}
		if err := t.delivery.write(event); err != nil {
			return err
		}
		if id != "" {
			t.lastEventID = id
		}
	}
	return t.delivery.flush()
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
