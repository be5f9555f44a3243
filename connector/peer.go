package connector

import (
	"errors"
	"io"
	"syscall"
)

// ClosedByPeer reports whether err means that the other end closed or reset the
// connection.
func ClosedByPeer(err error) bool {
	for _, e := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
