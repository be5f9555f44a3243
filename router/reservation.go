package router

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// readStep is the least number of bytes by which the buffer of a body grows.
	readStep = 16 << 10
	// answerFactor times the limit is the memory beyond which no answer is read either. Answers of
	// requests that have run go first: new requests are refused before that.
	answerFactor = 2
)

// errMemoryFull means that a body or an answer does not fit into the memory for them.
var errMemoryFull = errors.New("no memory for the body")

// reservation is what one request takes of the memory for bodies and answers. The zero value takes
// nothing.
type reservation struct {
	memory *atomic.Int64 // in use, of all requests
	limit  int64
	taken  int64
}

// reserve takes n more bytes, or none if they don't fit.
func (r *reservation) reserve(n int64) bool {
	if r.memory.Add(n) > r.limit {
		r.memory.Add(-n)
		return false
	}
	r.taken += n
	return true
}

// release gives back all that was taken.
func (r *reservation) release() {
	if r.memory != nil {
		r.memory.Add(-r.taken)
	}
	r.taken = 0
}

// readAll reads to the end of a source, whose length is stated or 0. It reserves what it keeps
// before it reads it.
func (r *reservation) readAll(source io.Reader, stated int64) ([]byte, error) {
	if !r.reserve(stated) {
		return nil, errMemoryFull
	}
	out := make([]byte, 0, stated)
	for {
		if len(out) == cap(out) {
			step := max(readStep, cap(out)/2)
			if !r.reserve(int64(step)) {
				return nil, errMemoryFull
			}
			larger := make([]byte, len(out), cap(out)+step)
			copy(larger, out)
			out = larger
		}
		n, err := source.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
