package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const callTimeout = 3 * time.Second

// Client is the Store adapter for the Object API over HTTP with JSON.
// Conditions travel as If-Match and If-None-Match (RFC 9110); versions as ETag.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the Object API at base, and its clean-up.
func NewClient(base string) (*Client, func()) {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     30 * time.Second,
	}
	c := &Client{base: strings.TrimRight(base, "/"), http: &http.Client{Transport: t}}
	return c, t.CloseIdleConnections
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	resp, cancel, err := c.call(ctx, http.MethodGet, "/objects/"+escape(key), nil, nil, callTimeout)
	if err != nil {
		return Object{}, fmt.Errorf("get %s: %w", key, err)
	}
	defer cancel()
	defer resp.Body.Close()
	value, err := io.ReadAll(io.LimitReader(resp.Body, MaxValue+1))
	if err != nil {
		return Object{}, fmt.Errorf("get %s: %w: %v", key, ErrUnavailable, err)
	}
	return Object{Key: key, Value: value, Version: tagOf(resp)}, nil
}

// Changed reads an object unless it still has the version have (If-None-Match);
// false then. It costs one read, but no value.
func (c *Client) Changed(ctx context.Context, key string, have uint64) (Object, bool, error) {
	h := http.Header{}
	if have != 0 {
		h.Set("If-None-Match", strconv.Quote(strconv.FormatUint(have, 10)))
	}
	resp, cancel, err := c.call(ctx, http.MethodGet, "/objects/"+escape(key), nil, h, callTimeout)
	if err != nil {
		return Object{}, false, fmt.Errorf("get %s: %w", key, err)
	}
	defer cancel()
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return Object{}, false, nil
	}
	value, err := io.ReadAll(io.LimitReader(resp.Body, MaxValue+1))
	if err != nil {
		return Object{}, false, fmt.Errorf("get %s: %w: %v", key, ErrUnavailable, err)
	}
	return Object{Key: key, Value: value, Version: tagOf(resp)}, true, nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, cond Condition) (uint64, error) {
	if len(value) > MaxValue {
		return 0, fmt.Errorf("put %s: %w: %d bytes are over %d", key, ErrUnavailable, len(value), MaxValue)
	}
	resp, cancel, err := c.call(ctx, http.MethodPut, "/objects/"+escape(key), value, headerOf(cond), callTimeout)
	if err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	defer cancel()
	defer resp.Body.Close()
	return tagOf(resp), nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, cond Condition) error {
	resp, cancel, err := c.call(ctx, http.MethodDelete, "/objects/"+escape(key), nil, headerOf(cond), callTimeout)
	if err != nil {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	defer cancel()
	return resp.Body.Close()
}

// listing is the wire form of a list and of a watch.
type listing struct {
	Revision uint64   `json:"revision"`
	Objects  []listed `json:"objects"`
}

type listed struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, uint64, error) {
	q := url.Values{"prefix": {prefix}}
	return c.list(ctx, q, callTimeout)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Object, uint64, error) {
	q := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(after, 10)},
		"wait":   {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return c.list(ctx, q, wait+callTimeout)
}

func (c *Client) list(ctx context.Context, q url.Values, timeout time.Duration) ([]Object, uint64, error) {
	resp, cancel, err := c.call(ctx, http.MethodGet, "/objects?"+q.Encode(), nil, nil, timeout)
	if err != nil {
		return nil, 0, fmt.Errorf("list %s: %w", q.Get("prefix"), err)
	}
	defer cancel()
	defer resp.Body.Close()
	var l listing
	if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
		return nil, 0, fmt.Errorf("list %s: %w: %v", q.Get("prefix"), ErrUnavailable, err)
	}
	objects := make([]Object, 0, len(l.Objects))
	for _, o := range l.Objects {
		objects = append(objects, Object(o))
	}
	return objects, l.Revision, nil
}

// call does one round trip and turns its failure into this package's errors.
// The caller closes the body, then calls the returned function.
func (c *Client) call(ctx context.Context, method, path string, body []byte, h http.Header, timeout time.Duration) (*http.Response, func(), error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	for k, v := range h {
		req.Header[k] = v
	}
	// A PUT is never resent by net/http itself: its GetBody is taken away, since
	// a hidden second try would meet its own first write and look like a conflict.
	if method != http.MethodGet {
		req.GetBody = nil
	}
	resp, err := c.http.Do(req)
	if err != nil {
		cancel()
		return nil, nil, lost(method, err)
	}
	if err := statusError(method, resp); err != nil {
		_ = resp.Body.Close()
		cancel()
		return nil, nil, err
	}
	return resp, cancel, nil
}

// lost tells a call that never left from one whose reply did not come back.
func lost(method string, err error) error {
	var op *net.OpError
	neverLeft := errors.As(err, &op) && op.Op == "dial"
	if method != http.MethodGet && !neverLeft {
		return fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	return fmt.Errorf("%w: %v", ErrUnavailable, err)
}

func statusError(method string, resp *http.Response) error {
	switch {
	case resp.StatusCode < 300, resp.StatusCode == http.StatusNotModified:
		return nil
	case resp.StatusCode == http.StatusNotFound:
		return ErrNotFound
	case resp.StatusCode == http.StatusPreconditionFailed, resp.StatusCode == http.StatusGone:
		return ErrConflict
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		return fmt.Errorf("%w: %s", ErrUnavailable, resp.Status)
	case method != http.MethodGet && resp.StatusCode >= 500:
		return fmt.Errorf("%w: %s", ErrUnknown, resp.Status)
	default:
		return fmt.Errorf("%w: %s", ErrUnavailable, resp.Status)
	}
}

func headerOf(c Condition) http.Header {
	h := http.Header{}
	if c.Absent {
		h.Set("If-None-Match", "*")
	}
	if c.Match != 0 {
		h.Set("If-Match", strconv.Quote(strconv.FormatUint(c.Match, 10)))
	}
	return h
}

func tagOf(resp *http.Response) uint64 {
	v, _ := strconv.ParseUint(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	return v
}

func escape(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return strings.Join(parts, "/")
}
