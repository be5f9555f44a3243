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
	if err := e.append(read); err != nil {
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

// append reserves what the buffer grows by.
func (e *partialEvent) append(read []byte) error {
	if needed := len(e.bytes) + len(read); needed > cap(e.bytes) {
		size := max(needed, 2*cap(e.bytes))
		if err := e.reserved.Grow(int64(size - cap(e.bytes))); err != nil {
			return err
		}
		e.bytes = append(make([]byte, 0, size), e.bytes...)
	}
	e.bytes = append(e.bytes, read...)
	return nil
}

// drop removes the first n bytes.
func (e *partialEvent) drop(n int) {
	e.bytes = append(e.bytes[:0], e.bytes[n:]...)
}
