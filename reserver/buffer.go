package reserver

import (
	"errors"
	"fmt"
	"io"
	"sync"
)

// ErrTooLarge means that a source has more bytes than it may.
var ErrTooLarge = errors.New("too large")

// segmentBytes is the size of a segment.
const segmentBytes = 16 << 10

// segments are used again: a buffer that grew by copying would leave garbage of twice its size.
var segments = sync.Pool{New: func() any { return new([segmentBytes]byte) }}

// Buffer keeps bytes in segments. Its zero value is of no use; a Memory returns one.
type Buffer struct {
	reservation *Reservation
	segments    []*[segmentBytes]byte
	size        int
}

// Buffer returns an empty buffer.
func (m *Memory) Buffer(u Use) *Buffer { return &Buffer{reservation: m.Reserve(u)} }

// Len returns the number of bytes.
func (b *Buffer) Len() int { return b.size }

// ReadAll reads to the end of a source. The error wraps ErrTooLarge if it has more than limit bytes,
// or ErrFull if there is no memory for them.
func (b *Buffer) ReadAll(r io.Reader, limit int64) error {
	for {
		room, err := b.room()
		if err != nil {
			return err
		}
		n, err := r.Read(room)
		b.size += n
		switch {
		case int64(b.size) > limit:
			return fmt.Errorf("%w: over %d bytes", ErrTooLarge, limit)
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// room returns the unused part of the last segment, which it adds if there is none.
func (b *Buffer) room() ([]byte, error) {
	at := b.size % segmentBytes
	if b.size == len(b.segments)*segmentBytes {
		if err := b.reservation.Grow(segmentBytes); err != nil {
			return nil, err
		}
		b.segments = append(b.segments, segments.Get().(*[segmentBytes]byte))
	}
	return b.segments[len(b.segments)-1][at:], nil
}

// Pieces calls f with the bytes, piece by piece, until it returns an error.
func (b *Buffer) Pieces(f func([]byte) error) error {
	left := b.size
	for _, s := range b.segments {
		n := min(left, segmentBytes)
		if n == 0 {
			return nil
		}
		if err := f(s[:n]); err != nil {
			return err
		}
		left -= n
	}
	return nil
}

// Release gives back the segments. The bytes must not be used any more.
func (b *Buffer) Release() {
	for _, s := range b.segments {
		segments.Put(s)
	}
	b.segments, b.size = nil, 0
	b.reservation.Release()
}

// Append appends to a buffer of which copies are kept, and reserves what these grow by.
func (r *Reservation) Append(buffer, part []byte, copies int) ([]byte, error) {
	if needed := len(buffer) + len(part); needed > cap(buffer) {
		size := max(needed, 2*cap(buffer))
		if err := r.Grow(int64(copies * (size - cap(buffer)))); err != nil {
			return buffer, err
		}
		buffer = append(make([]byte, 0, size), buffer...)
	}
	return append(buffer, part...), nil
}

const (
	// growBytes is the least number of bytes by which ReadAll's result grows.
	growBytes = 16 << 10
	// firstBytes is the size of ReadAll's result at first, if the length is not stated.
	firstBytes = 512
)

// ReadAll reads to the end of a source, whose length is stated, or -1. It reserves what it keeps
// before it reads it. On failure it also returns what it has read.
func (r *Reservation) ReadAll(source io.Reader, length, limit int64) ([]byte, error) {
	// One byte more than is stated shows the end without a larger buffer.
	size := max(min(length, limit)+1, firstBytes)
	if err := r.Grow(size); err != nil {
		return nil, err
	}
	out := make([]byte, 0, size)
	for {
		if len(out) == cap(out) {
			step := max(growBytes, cap(out)/2)
			if err := r.Grow(int64(step)); err != nil {
				return out, err
			}
			out = append(make([]byte, 0, cap(out)+step), out...)
		}
		n, err := source.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		switch {
		case int64(len(out)) > limit:
			return out, fmt.Errorf("%w: over %d bytes", ErrTooLarge, limit)
		case errors.Is(err, io.EOF):
			return out, nil
		case err != nil:
			return out, err
		}
	}
}
