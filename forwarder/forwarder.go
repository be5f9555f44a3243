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
)

// Headers between hosts and backend servers.
const (
	HeaderRequest  = "X-Request-Id"     // echoed by the backend server
	HeaderFence    = "X-Fencing-Number" // grows with every order of a cell
	HeaderPriority = "X-Priority"       // the class's tier; 0 is the most urgent
	HeaderRun      = "X-Run"            // "no" on an answer says that the call was not run
)

// Errors of a call.
var (
	// ErrNotRun says that the call certainly did not run.
	ErrNotRun = errors.New("call was not run")
	// ErrUnknown says that the call may have run: its first byte may have left.
	ErrUnknown = errors.New("call may have run")
	// ErrCrossed says that the answer belongs to another request.
	ErrCrossed = errors.New("answer belongs to another request")
	// ErrSilent says that a connection went silent for longer than allowed.
	ErrSilent = errors.New("connection went silent")
)

// Call is one request for a backend server.
type Call struct {
	Method  string
	Path    string // with its query
	Header  http.Header
	Body    []byte
	Request string
	Fence   uint64
	Tier    int
}

// Answer is a backend server's answer; the caller closes its body.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's length, or -1 where the server did not say.
	Length int64
}

// Forwarder is the HTTP adapter for engines and plain services.
type Forwarder struct {
	http    *http.Client
	silence time.Duration
	report  func(address string) // of refusals; may be nil
}

// New returns a forwarder that gives up on a connection after silence without a
// byte, and its clean-up.
func New(silence time.Duration) (*Forwarder, func()) {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	f := &Forwarder{http: &http.Client{Transport: t, CheckRedirect: noRedirect}, silence: silence}
	return f, t.CloseIdleConnections
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
	resp, err := f.http.Do(req)
	if err != nil {
		cancel(nil)
		return nil, failure(err)
	}
	if resp.Header.Get(HeaderRun) == "no" && resp.StatusCode >= 500 {
		f.refused(address)
		_ = resp.Body.Close()
		cancel(nil)
		return nil, fmt.Errorf("%w: backend server answered %s", ErrNotRun, resp.Status)
	}
	if id := resp.Header.Get(HeaderRequest); id != "" && id != c.Request {
		_ = resp.Body.Close()
		cancel(nil)
		return nil, fmt.Errorf("%w: %s", ErrCrossed, id)
	}
	body := newWatched(ctx, resp.Body, f.silence, cancel)
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Length: resp.ContentLength}, nil
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
	req.Header.Set(HeaderRequest, c.Request)
	req.Header.Set(HeaderFence, strconv.FormatUint(c.Fence, 10))
	req.Header.Set(HeaderPriority, strconv.Itoa(c.Tier))
}

// failure tells a call whose connection was never made from one that may have left.
func failure(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %v", ErrNotRun, err)
	}
	return fmt.Errorf("%w: %v", ErrUnknown, err)
}
