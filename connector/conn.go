package connector

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	readBuffer = 4 << 10
	// foreignMost is how many answers of other requests are skipped.
	foreignMost = 2
	// drainMost is how many bytes of a foreign answer are read to skip it.
	drainMost = 1 << 20
)

// conn is one connection to a backend server.
type conn struct {
	pool    *Pool
	address string
	raw     net.Conn
	reader  *bufio.Reader
	idle    time.Duration // the server keeps it so long
	since   time.Time     // idle since
	kept    bool          // it served a request before
}

func newConn(p *Pool, address string, raw net.Conn) *conn {
	return &conn{pool: p, address: address, raw: raw, reader: bufio.NewReaderSize(raw, readBuffer), idle: idleDefault}
}

func (c *conn) close() { _ = c.raw.Close() }

// fresh says that the connection is well within the server's idle time.
func (c *conn) fresh(now time.Time, careful bool) bool {
	bound := time.Duration(idleShare * float64(c.idle))
	if careful {
		bound /= 2
	}
	return now.Sub(c.since) < bound
}

// usable says whether an idle connection can carry a request. Failure: the server
// has closed it meanwhile, or sent bytes that belong to no request; a request sent
// then would be lost, or get those bytes for its answer. A look at the socket
// shows both without taking anything from it.
func (c *conn) usable(now time.Time, careful bool) bool {
	return c.fresh(now, careful) && c.reader.Buffered() == 0 && c.quiet()
}

// quiet says that nothing has arrived on the connection, its end included.
func (c *conn) quiet() bool {
	s, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	r, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = r.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// exchange writes the request and reads the head of its answer. The request is
// written beside the reading: a server may answer before it has read it all.
func (c *conn) exchange(ctx context.Context, call Call) (*Answer, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(time.Unix(1, 0)) })
	written := make(chan error, 1)
	go func() {
		_, err := c.raw.Write(encode(call))
		written <- err
	}()
	resp, foreign, err := c.head(call) //nolint:bodyclose // Answer closes it with the connection
	if err != nil {
		stop()
		return nil, c.failure(ctx, err)
	}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody,
		conn:   c, body: resp.Body, ctx: ctx, stop: stop, written: written,
		closing: resp.Close || foreign,
	}, nil
}

// failure is why an exchange broke. A deadline that ctx's end has set shows as a
// time-out of the connection.
func (c *conn) failure(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", ErrLost, context.Cause(ctx))
	}
	if errors.Is(err, ErrMismatched) {
		return fmt.Errorf("%w: %w", ErrLost, err)
	}
	if ClosedByPeer(err) {
		return fmt.Errorf("%w: %w: kept=%t: %v", ErrLost, ErrClosedByPeer, c.kept, err)
	}
	return fmt.Errorf("%w: kept=%t: %v", ErrLost, c.kept, err)
}

// head reads the head of the answer to call. It skips what is only informational,
// and answers to earlier requests that come late.
func (c *conn) head(call Call) (resp *http.Response, foreign bool, err error) {
	for skipped := 0; ; {
		resp, err = http.ReadResponse(c.reader, &http.Request{Method: call.Method})
		if err != nil {
			return nil, foreign, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if call.Matches == nil || call.Matches(resp.Header) {
			return resp, foreign, nil
		}
		foreign = true
		skipped++
		if skipped > foreignMost || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, true, ErrMismatched
		}
		if _, err := io.CopyN(io.Discard, resp.Body, drainMost); !errors.Is(err, io.EOF) {
			return nil, true, ErrMismatched
		}
	}
}

// encode is the request as it goes out.
func encode(call Call) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(call.Body))
	b.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	_ = call.Header.Write(&b) // a bytes.Buffer takes everything
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(call.Body)
	return b.Bytes()
}

// learn takes the idle time that the server named, if it did.
func (c *conn) learn(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil && n >= 0 {
			c.idle = time.Duration(n) * time.Second
		}
	}
}
