package router

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cicadawood/cicadawood/connector"
)

const (
	streamBuffer = 4 << 10
	// eventMost is the most bytes of one event.
	eventMost = 1 << 20
)

var eventEnd = []byte("\n\n")

// stream passes events on as they come, whole ones only: a worker may stop inside
// one, and the rest of it would come from another.
func (t *trip) stream(p Placement, a *connector.Answer) error {
	resumed := t.delivery.begun
	var pending []byte
	buffer := make([]byte, streamBuffer)
	for first := true; ; {
		n, err := a.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if end := bytes.LastIndex(pending, eventEnd); end >= 0 {
			events := pending[:end+len(eventEnd)]
			if first {
				first = false
				t.heard()
				t.seen = time.Since(t.sent)
				t.router.Placer.Started(p, t.seen)
			}
			if err := t.passEvents(a, events, resumed); err != nil {
				return t.lost(err)
			}
			pending = append(pending[:0], pending[end+len(eventEnd):]...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(pending) > 0, len(pending) > eventMost:
			return t.lost(errShort)
		case errors.Is(err, io.EOF):
			return t.endStream(a)
		case err != nil:
			return t.lost(err)
		}
	}
}

// endStream ends an answer whose last event came. One without any event is passed
// as it is.
func (t *trip) endStream(a *connector.Answer) error {
	a.Finish()
	if !t.delivery.begun {
		t.delivery.head(a.Status, a.Header, -1)
	}
	return t.delivery.flush()
}

// passEvents gives the caller whole events. Of a resumed stream it leaves out what
// the caller has.
func (t *trip) passEvents(a *connector.Answer, events []byte, resumed bool) error {
	if !t.delivery.begun {
		t.delivery.head(a.Status, a.Header, -1)
	}
	had := t.last
	for rest := events; len(rest) > 0; {
		end := bytes.Index(rest, eventEnd) + len(eventEnd)
		event := rest[:end]
		rest = rest[end:]
		id := eventID(event)
		if resumed && id != "" && !later(id, had) {
			continue
		}
		if err := t.delivery.write(event); err != nil {
			return err
		}
		if id != "" {
			t.last = id
		}
	}
	return t.delivery.flush()
}

// eventID is the id line of an event; "" where it has none.
func eventID(event []byte) string {
	for _, line := range strings.Split(string(event), "\n") {
		if id, ok := strings.CutPrefix(line, "id:"); ok {
			return strings.TrimSpace(id)
		}
	}
	return ""
}

// later says whether an event's id comes after another. Ids grow.
func later(id, than string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(than, 10, 64)
	if errA != nil || errB != nil {
		return id != than
	}
	return a > b
}
