package observer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	reportTimeout = time.Second
	listTimeout   = 3 * time.Second
	maxReport     = 64 << 10 // bytes
	maxList       = 4 << 20  // bytes
)

// ErrUnavailable says that a list or report could not be had.
var ErrUnavailable = errors.New("no list or report")

// Client reads the platform's host list and workers' load reports.
type Client struct {
	platform string
	http     *http.Client
}

// NewClient returns a client and its clean-up.
func NewClient(platform string) (*Client, func()) {
	t := &http.Transport{DialContext: (&net.Dialer{Timeout: reportTimeout}).DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second}
	return &Client{platform: strings.TrimRight(platform, "/"), http: &http.Client{Transport: t}}, t.CloseIdleConnections
}

// List is the platform's host list.
func (c *Client) List(ctx context.Context) ([]Listing, error) {
	var body struct {
		Hosts []Listing `json:"hosts"`
	}
	if err := c.get(ctx, c.platform+"/hosts", listTimeout, maxList, &body); err != nil {
		return nil, fmt.Errorf("host list: %w", err)
	}
	return body.Hosts, nil
}

// Report is the load report of the worker at address. A worker that answers, but
// has no report, gives a zero Report.
func (c *Client) Report(ctx context.Context, address string) (Report, error) {
	var r Report
	if err := c.get(ctx, "http://"+address+"/load", reportTimeout, maxReport, &r); err != nil {
		return r, fmt.Errorf("load report of %s: %w", address, err)
	}
	return r, nil
}

func (c *Client) get(ctx context.Context, url string, timeout time.Duration, limit int64, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return nil
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("%w: %s", ErrUnavailable, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return nil
}
