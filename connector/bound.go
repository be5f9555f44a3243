package connector

import (
	"errors"
	"syscall"
	"time"
)

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 0x12

// UserTimeoutControl is a net.Dialer's Control that has the system break a
// connection whose other end has not acknowledged what was sent for bound. A
// connection that was forgotten while it lay idle shows so when a request is sent
// over it; without the bound the system would send it again for a quarter of an
// hour.
func UserTimeoutControl(bound time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(bound.Milliseconds()))
		})
		return errors.Join(err, failed)
	}
}
