package faker

import (
	"net"
	"syscall"
	"time"
)

// ConnEnd is how a backend server ends the connection of an answer.
type ConnEnd string

// Ends of a connection. The zero value closes it.
const (
	EndReset  ConnEnd = "reset"  // resets it
	EndUnread ConnEnd = "unread" // closes it with bytes unread, so that the kernel resets it
	EndHalf   ConnEnd = "half"   // closes its own direction, and after a delay reads on until the other end closes
)

// unreadTimeout bounds the wait for bytes that are left unread.
const unreadTimeout = 5 * time.Second

// end ends a connection after a delay.
func (e ConnEnd) end(conn net.Conn, delay time.Duration) {
	tcp, ok := conn.(*net.TCPConn)
	if ok && e == EndHalf {
		_ = tcp.CloseWrite() // fails only where the other end has reset the connection
	}
	time.Sleep(delay)
	switch {
	case e == EndReset:
		reset(conn)
		return
	case e == EndHalf:
		holdOpen(conn)
		return
	case ok && e == EndUnread:
		waitForUnread(tcp)
	}
	_ = conn.Close()
}

// reset closes a connection so that the other end sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = conn.Close()
}

// waitForUnread waits until bytes have arrived that nobody has read: without any, a close is no reset.
func waitForUnread(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(unreadTimeout)) // fails only on a closed connection, whose read fails, too
	_ = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err != syscall.EAGAIN
	})
}
