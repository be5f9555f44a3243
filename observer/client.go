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
	reportTimeout  = time.Second
	listTimeout    = 3 * time.Second
	maxReportBytes = 64 << 10
	maxListBytes   = 4 << 20
)

// ErrUnavailable is wrapped by errors about a list or report that could not be read.
var ErrUnavailable = errors.New("not available")

// Client reads the platform's host list and workers' load reports.
type Client struct {
	platform string
	http     *http.Client
}

// NewClient returns a client and a function that closes its idle connections.
func NewClient(platform string) (*Client, func()) {
	t := &http.Transport{DialContext: (&net.Dialer{Timeout: reportTimeout}).DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second}
	return &Client{platform: strings.TrimRight(platform, "/"), http: &http.Client{Transport: t}}, t.CloseIdleConnections
}

// List returns the platform's host list.
func (c *Client) List(ctx context.Context) ([]Listing, error) {
	var body struct {
		Hosts []Listing `json:"hosts"`
	}
	if err := c.get(ctx, c.platform+"/hosts", listTimeout, maxListBytes, &body); err != nil {
		return nil, fmt.Errorf("host list: %w", err)
	}
	return body.Hosts, nil
}

// Report returns the load report of the worker at address. If the worker answers, but has no
// report, the Report is zero.
func (c *Client) Report(ctx context.Context, address string) (Report, error) {
	var r Report
	if err := c.get(ctx, "http://"+address+"/load", reportTimeout, maxReportBytes, &r); err != nil {
		return r, fmt.Errorf("load report of %s: %w", address, err)
	}
	return r, nil
}

// get reads a JSON document into out, which stays unchanged if the server answers 404.
func (c *Client) get(ctx context.Context, url string, timeout time.Duration, limit int64, out any) error {
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
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return nil
}
