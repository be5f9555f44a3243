package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout   = time.Second
	answerTimeout = 3 * time.Second // the deadline of a request
)

// request is what a caller sends, without the lines that state the length of its body.
type request struct {
	method, host, path, id, key string
}

// head returns the head of the request without its last line.
func (q request) head() string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, q.host, q.id, answerTimeout.Milliseconds())
	if q.key != "" {
		text += "Authorization: Token " + q.key + "\r\n"
	}
	return text
}

// callerConn is a caller's connection to a host.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

// dialHost opens a connection to a host.
func dialHost(h *host) (*callerConn, error) {
	conn, err := net.DialTimeout("tcp", h.front, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// answer is what a caller gets.
type answer struct {
	status int
	id     string // Attempt-Id
	body   string
	close  bool // the host closes the connection
}

// send sends bytes.
func (c *callerConn) send(text string) error {
	_ = c.SetDeadline(time.Now().Add(answerTimeout))
	_, err := io.WriteString(c, text)
	return err
}

// receive reads the next answer to a request with a method.
func (c *callerConn) receive(method string) (answer, error) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{}, err
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, id: resp.Header.Get("Attempt-Id"), body: string(body), close: resp.Close}, err
}
