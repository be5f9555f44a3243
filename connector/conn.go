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

	"github.com/cicadawood/cicadawood/checker"
	"github.com/cicadawood/cicadawood/reserver"
)

const (
	readBufferBytes = 4 << 10
	// maxMismatched is the maximum number of answers to other requests that are skipped.
	maxMismatched = 2
	// maxSkippedBytes is the maximum size of the body of a skipped answer.
	maxSkippedBytes = 1 << 20
)

// conn is one connection to a backend server.
type conn struct {
	pool      *Pool
	address   string
	raw       net.Conn
	reader    *bufio.Reader // of limiter
	limiter   *headLimiter
	openedAt  time.Time     // when the connection was made, at the latest
	keepAlive time.Duration // how long the server keeps the connection idle
	idleSince time.Time     // time of the last completed answer
	via       string        // host through which it leads; "" for a direct connection
	reused    bool          // the connection has served a request before
}

func newConn(p *Pool, address string, raw net.Conn) *conn {
	l := &headLimiter{reader: raw, reserved: p.memory.Reserve(reserver.Head)}
	l.end()
	c := &conn{pool: p, address: address, raw: raw, openedAt: time.Now(), limiter: l, reader: bufio.NewReaderSize(l, readBufferBytes), keepAlive: defaultKeepAlive}
	if d, ok := raw.(interface{ Via() string }); ok {
		c.via = d.Via()
	}
	return c
}

func (c *conn) close() {
	c.limiter.reserved.Release()
	_ = c.raw.Close()
}

// fresh reports whether the connection's idle time is well within the server's
// keep-alive time; freshOnly halves the limit.
func (c *conn) fresh(now time.Time, freshOnly bool) bool {
	bound := time.Duration(maxIdleShare * float64(c.keepAlive))
	if freshOnly {
		bound /= 2
	}
	return now.Sub(c.idleSince) < bound
}

// usable reports whether an idle connection can carry a request. If the server has
// closed it, the request would be lost; if the server has sent unexpected bytes, they
// would be read as the answer. Peeking at the socket detects both without consuming
// anything.
func (c *conn) usable(now time.Time, freshOnly bool) bool {
	return c.fresh(now, freshOnly) && c.reader.Buffered() == 0 && c.nothingReceived()
}

// nothingReceived reports whether neither data nor the end of the connection has been
// received.
func (c *conn) nothingReceived() bool {
	s, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	r, err := s.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = r.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// exchange writes the request and reads the head of its answer. It reads while it
// writes: a server may answer before it has read the whole request.
func (c *conn) exchange(ctx context.Context, call Call) (*Answer, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(time.Unix(1, 0)) })
	written := make(chan error, 1)
	go func() {
		_, err := c.raw.Write(encode(call))
		written <- err
	}()
	resp, mismatched, err := c.readHead(call) //nolint:bodyclose // Answer closes it with the connection
	if err != nil {
		stop()
		return nil, c.wrapError(ctx, err)
	}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody,
		conn:   c, body: resp.Body, ctx: ctx, stop: stop, written: written,
		closeAfter: resp.Close || mismatched || c.via != "",
	}, nil
}

// wrapError returns the cause of a failed exchange. When ctx ends, its deadline on the
// connection makes the pending read or write fail with a time-out.
func (c *conn) wrapError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", ErrLost, context.Cause(ctx))
	}
	if errors.Is(err, checker.ErrMalformed) {
		return fmt.Errorf("%w: %w: %v", ErrLost, ErrMalformed, err)
	}
	if errors.Is(err, ErrMismatched) || errors.Is(err, ErrDetour) {
		return fmt.Errorf("%w: %w", ErrLost, err)
	}
	if ClosedByPeer(err) {
		return fmt.Errorf("%w: %w: kept=%t: %v", ErrLost, ErrClosedByPeer, c.reused, err)
	}
	return fmt.Errorf("%w: kept=%t: %v", ErrLost, c.reused, err)
}

// readHead reads the head of the answer to call. It skips late answers to earlier requests.
func (c *conn) readHead(call Call) (resp *http.Response, mismatched bool, err error) {
	for skipped := 0; ; {
		resp, err = c.readFinalHead(call.Method)
		if err != nil {
			return nil, mismatched, err
		}
		if call.Matches == nil || call.Matches(resp.Header) {
			return resp, mismatched, nil
		}
		mismatched = true
		skipped++
		if call.Skipped != nil {
			call.Skipped(resp.StatusCode, resp.Header)
		}
		if skipped > maxMismatched || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, true, ErrMismatched
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxSkippedBytes); !errors.Is(err, io.EOF) {
			return nil, true, ErrMismatched
		}
	}
}

// readFinalHead reads the head of an answer. It skips informational ones.
func (c *conn) readFinalHead(method string) (*http.Response, error) {
	defer c.limiter.end()
	for range maxInformational {
		c.limiter.begin(c.pool.maxHead)
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := checker.Answer(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errInformational
}

// encode returns the request as sent on the wire.
func encode(call Call) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(call.Body))
	b.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	_ = call.Header.Write(&b) // never fails
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(call.Body)
	return b.Bytes()
}

// readKeepAlive applies the idle time stated in the server's Keep-Alive header, if any.
func (c *conn) readKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil && n >= 0 {
			c.keepAlive = time.Duration(n) * time.Second
		}
	}
}
