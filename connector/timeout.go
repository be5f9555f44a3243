package connector

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT option, which package syscall lacks.
const tcpUserTimeout = 0x12

// UserTimeoutControl returns a Control function for net.Dialer. It makes the system
// close a connection if sent data stays unacknowledged for timeout. A request sent on an
// idle connection that a middlebox has dropped then fails after timeout; by default,
// Linux would retransmit it for about 15 minutes.
func UserTimeoutControl(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var sockoptErr error
		err := c.Control(func(fd uintptr) {
			sockoptErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
		})
		return errors.Join(err, sockoptErr)
	}
}

// SetUserTimeout sets the time-out of UserTimeoutControl on an open connection.
func SetUserTimeout(c *net.TCPConn, timeout time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return UserTimeoutControl(timeout)("", "", raw)
}
