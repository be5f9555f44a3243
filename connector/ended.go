package connector

import (
	"errors"
	"io"
	"syscall"
)

// ClosedByPeer says that an error of a connection comes of the other end, which has closed or
// reset it.
func ClosedByPeer(err error) bool {
	for _, e := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
