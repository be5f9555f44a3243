package faker

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// fillTimeout is how long a handshake is waited for until the queue counts as full.
	fillTimeout = 20 * time.Millisecond
	// maxFillers is the maximum number of connections that fill the queue.
	maxFillers = 16
)

// setListener has the listener accept, refuse or ignore new connections, as the mode says.
func (k *Link) setListener() {
	switch k.mode {
	case RefuseAll, RefuseNew:
		k.stopListening()
	case Unreachable:
		k.stopListening()
		k.fillQueue()
	default:
		k.listen()
	}
}

func (k *Link) stopListening() {
	if k.listener != nil {
		_ = k.listener.Close()
		k.listener = nil
	}
	for _, c := range k.fillers {
		_ = c.Close()
	}
	k.fillers = nil
}

// listen accepts connections again.
func (k *Link) listen() {
	if k.listener != nil && len(k.fillers) == 0 {
		return
	}
	k.stopListening()
	l, err := net.Listen("tcp", k.address)
	if err != nil {
		k.report(err)
		return
	}
	k.listener = l
	go k.accept(l)
}

// fillQueue listens without accepting, with a queue that is full: the system then drops the
// handshakes of new connections.
func (k *Link) fillQueue() {
	l, err := net.Listen("tcp", k.address)
	if err != nil {
		k.report(err)
		return
	}
	k.listener = l
	if err := shortenQueue(l.(*net.TCPListener)); err != nil {
		k.report(err)
		return
	}
	for range maxFillers {
		c, err := net.DialTimeout("tcp", k.address, fillTimeout)
		if err != nil {
			return
		}
		k.fillers = append(k.fillers, c)
	}
}

// shortenQueue makes the system queue one connection that was not accepted yet.
func shortenQueue(l *net.TCPListener) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) })
	return errors.Join(err, listenErr)
}

// report prints an error because of which the link refuses connections.
func (k *Link) report(err error) { fmt.Fprintf(os.Stderr, "link %s: %v\n", k.address, err) }
