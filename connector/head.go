package connector

import (
	"errors"
	"io"
	"math"

	"github.com/cicadawood/cicadawood/reserver"
)

const (
	// DefaultMaxHead is the default limit on the bytes of an answer's head.
	DefaultMaxHead = 64 << 10
	// maxInformational is the maximum number of informational answers before the answer.
	maxInformational = 8
)

// Errors of an answer that a server may not send.
var (
	errHeadTooLarge  = errors.New("the head of the answer is too large")
	errInformational = errors.New("too many informational answers")
)

// headLimiter limits what is read while a head is: net/http takes a line of any length, and would
// keep all of it. It reserves the memory that the head takes.
type headLimiter struct {
	reader   io.Reader
	reserved *reserver.Reservation
	left     int64 // bytes that may be read; math.MaxInt64 outside of heads
}

// begin limits what is read from now on. Bytes that were read ahead don't count.
func (l *headLimiter) begin(limit int64) {
	l.reserved.Release()
	l.left = limit
}

// end lifts the limit.
func (l *headLimiter) end() { l.left = math.MaxInt64 }

// Read implements io.Reader.
func (l *headLimiter) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	if int64(len(b)) > l.left {
		b = b[:l.left]
	}
	n, err := l.reader.Read(b)
	if l.left == math.MaxInt64 {
		return n, err
	}
	l.left -= int64(n)
	if full := l.reserved.Grow(reserver.HeadBytes(b[:n])); full != nil {
		return 0, full
	}
	return n, err
}
