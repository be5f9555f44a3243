package router

import (
	"bytes"
	"fmt"

	"github.com/cicadawood/cicadawood/reserver"
)

// maxEventBytes is the maximum size of one event.
const maxEventBytes = 1 << 20

var eventEnd = []byte("\n\n")

// partialEvent is the part of an event that has arrived.
type partialEvent struct {
	reserved *reserver.Reservation
	bytes    []byte
}

// add adds what was read, and returns the whole events that are now there. They are valid until
// drop is called.
func (e *partialEvent) add(read []byte) ([]byte, error) {
	// The end of an event may be split between two reads.
	searched := max(0, len(e.bytes)-len(eventEnd)+1)
	var err error
	if e.bytes, err = e.reserved.Append(e.bytes, read, 1); err != nil {
		return nil, err
	}
	end := bytes.LastIndex(e.bytes[searched:], eventEnd)
	if end >= 0 {
		return e.bytes[:searched+end+len(eventEnd)], nil
	}
	if len(e.bytes) > maxEventBytes {
		return nil, fmt.Errorf("%w: an event of over %d bytes", reserver.ErrTooLarge, maxEventBytes)
	}
	return nil, nil
}

// drop removes the first n bytes.
func (e *partialEvent) drop(n int) {
	e.bytes = append(e.bytes[:0], e.bytes[n:]...)
}
