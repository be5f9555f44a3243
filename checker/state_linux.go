package checker

import (
	"errors"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is TCP_CLOSE of the kernel's include/net/tcp_states.h: no direction of the connection is open.
const tcpClose = 7

// isClosed reports whether both directions of a connection are closed.
func isClosed(c net.Conn) (bool, error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false, errStateUnknown
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false, fmt.Errorf("%w: %v", errStateUnknown, err)
	}
	var info *unix.TCPInfo
	var optErr error
	err = raw.Control(func(fd uintptr) { info, optErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err := errors.Join(err, optErr); err != nil {
		return false, fmt.Errorf("%w: %v", errStateUnknown, err)
	}
	return info.State == tcpClose, nil
}
