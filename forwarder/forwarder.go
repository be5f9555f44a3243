// Package forwarder sends calls to backend servers over HTTP and tells, when
// one fails, whether it may have run.
package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cicadawood/cicadawood/connector"
)

// Headers between hosts and backend servers.
const (
	HeaderRequest  = "X-Request-Id"     // echoed by the backend server
	HeaderFence    = "X-Fencing-Number" // grows with every order of a cell
	HeaderPriority = "X-Priority"       // the class's tier; 0 is the most urgent
	HeaderRun      = "X-Run"            // "no" on an answer says that the call was not run
	HeaderResumed  = "X-Resumed"        // the first token of a resumed stream
)

// RequestIDPrefix begins every request's id, so that an id can be told from one that
// an engine made up.
const RequestIDPrefix = "cw-"

// Errors of a call.
var (
	// ErrNotRun says that the call certainly did not run.
	ErrNotRun = errors.New("call was not run")
	// ErrStale says that the backend server refused an old fencing number. It
	// comes with ErrNotRun.
	ErrStale = errors.New("fencing number is old")
	// ErrUnknown says that the call may have run: its first byte may have left.
	ErrUnknown = errors.New("call may have run")
	// ErrMismatched says that the answer belongs to another request. It comes with
	// ErrUnknown.
	ErrMismatched = errors.New("answer belongs to another request")
	// ErrClosedByPeer says that the backend server's end of the connection closed under the call.
	// It comes with ErrUnknown.
	ErrClosedByPeer = errors.New("the backend server ended it")
	// ErrSilent says that a connection went silent for longer than allowed. It
	// comes with ErrUnknown.
	ErrSilent = errors.New("connection went silent")
)

// Call is one request for a backend server.
type Call struct {
	Method    string
	Path      string // with its query
	Header    http.Header
	Body      []byte
	RequestID string
	Fence     uint64
	Tier      int
	// FirstByteTimeout bounds the time to the first byte of the answer; 0 leaves that to
	// the context. A queueing engine may be slow with it.
	FirstByteTimeout time.Duration
}

// Answer is a backend server's answer; the caller closes its body.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's length, or -1 where the server did not say.
	Length int64
	// Framed says that the end of the body can be told from a cut. The body of a
	// server that just closes the connection can't.
	Framed bool

	request string
	body    *watched
	lane    *lane
}

// Forwarder is the HTTP adapter for engines and plain services.
type Forwarder struct {
	silence time.Duration
	report  func(address string) // of refusals; may be nil
	lanes   lanes
}

// New returns a forwarder that gives up on a connection after silence without a
// byte, and its clean-up.
func New(silence time.Duration) (*Forwarder, func()) {
	f := &Forwarder{silence: silence}
	return f, f.lanes.close
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do sends the call to the backend server at address (IP:port).
func (f *Forwarder) Do(ctx context.Context, address string, c Call) (*Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		cancel(nil)
		return nil, fmt.Errorf("%w: %v", ErrNotRun, err)
	}
	fill(req, c)
	k := f.lanes.get(address, f.silence)
	sent := time.Now()
	resp, err := k.send(ctx, req, c.FirstByteTimeout, cancel)
	if err == nil {
		err = check(resp, c.RequestID, k)
		if errors.Is(err, ErrNotRun) && !errors.Is(err, ErrStale) {
			f.refused(address)
		}
	}
	if err != nil {
		cancel(nil)
		return nil, err
	}
	body := &watched{body: resp.Body, silence: f.silence, ctx: ctx, cancel: cancel, lane: k}
	if c.FirstByteTimeout > 0 {
		body.first = max(c.FirstByteTimeout-time.Since(sent), 0)
	}
	body.timer = time.AfterFunc(time.Hour, func() { cancel(ErrSilent) })
	body.timer.Stop()
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Body: body, Length: resp.ContentLength,
		Framed:  resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.ProtoMajor > 1 || resp.Body == http.NoBody,
		request: c.RequestID, body: body, lane: k,
	}, nil
}

// send waits for the answer's head for at most first.
func (k *lane) send(ctx context.Context, req *http.Request, first time.Duration, cancel context.CancelCauseFunc) (*http.Response, error) {
	if first > 0 {
		timer := time.AfterFunc(first, func() { cancel(ErrSilent) })
		defer timer.Stop()
	}
	resp, err := k.client.Do(req)
	if err != nil {
		return nil, k.failure(ctx, err)
	}
	return resp, nil
}

// check closes an answer that is a refusal, or another request's.
func check(resp *http.Response, request string, k *lane) error {
	var err error
	switch id := resp.Header.Get(HeaderRequest); {
	case resp.Header.Get(HeaderRun) == "no" && isStale(resp.StatusCode):
		err = fmt.Errorf("%w: %w: backend server answered %s", ErrNotRun, ErrStale, resp.Status)
	case resp.Header.Get(HeaderRun) == "no" && (resp.StatusCode >= 500 || resp.StatusCode == http.StatusTooManyRequests):
		err = fmt.Errorf("%w: backend server answered %s", ErrNotRun, resp.Status)
	case id != "" && id != request:
		// The connection's answers are out of step: it is closed with the body.
		k.transport.CloseIdleConnections()
		err = fmt.Errorf("%w: %w: %s", ErrUnknown, ErrMismatched, id)
	}
	if err != nil {
		_ = resp.Body.Close()
	}
	return err
}

func isStale(status int) bool {
	return status == http.StatusConflict || status == http.StatusPreconditionFailed
}

func fill(req *http.Request, c Call) {
	// net/http resends by itself what it takes to be replayable: a request that
	// can rewind its body, or has none, and is a GET or carries an
	// Idempotency-Key. Such a hidden resend could run a call twice. A body that
	// can't be rewound, also where it is empty, rules it out.
	req.GetBody = nil
	req.Body = io.NopCloser(bytes.NewReader(c.Body))
	for k, v := range c.Header {
		req.Header[k] = v
	}
	req.Header.Set(HeaderRequest, c.RequestID)
	req.Header.Set(HeaderFence, strconv.FormatUint(c.Fence, 10))
	req.Header.Set(HeaderPriority, strconv.Itoa(c.Tier))
}

// failure tells a call whose connection was never made from one that may have
// left. After a silence the idle connections of the lane go too: what made one
// silent has most likely forgotten them all, and the next try needs a new one.
func (k *lane) failure(ctx context.Context, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %v", ErrNotRun, err)
	}
	if errors.Is(context.Cause(ctx), ErrSilent) {
		k.transport.CloseIdleConnections()
		return fmt.Errorf("%w: %w", ErrUnknown, ErrSilent)
	}
	if connector.ClosedByPeer(err) {
		return fmt.Errorf("%w: %w: %v", ErrUnknown, ErrClosedByPeer, err)
	}
	return fmt.Errorf("%w: %v", ErrUnknown, err)
}
