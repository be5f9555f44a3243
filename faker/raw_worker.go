package faker

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// RawWorker is a fake of a backend server that answers each connection's first request with fixed bytes.
type RawWorker struct {
	Answer    string
	ReadFirst bool          // reads the whole request before it answers; otherwise only its head
	End       ConnEnd       // of the connection
	Delay     time.Duration // between the answer and the end of the connection

	listener net.Listener
}

// Start serves on a loopback port. The function returned stops it.
func (k *RawWorker) Start() (stop func(), err error) {
	if k.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go k.accept()
	return func() { _ = k.listener.Close() }, nil
}

// Address returns the IP:port that the worker serves on.
func (k *RawWorker) Address() string { return k.listener.Addr().String() }

func (k *RawWorker) accept() {
	for {
		conn, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(conn)
	}
}

func (k *RawWorker) serve(conn net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		_ = conn.Close()
		return
	}
	if k.ReadFirst {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	_, _ = io.WriteString(conn, k.Answer)
	k.End.end(conn, k.Delay)
}
