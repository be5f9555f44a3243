package observer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cicadawood/cicadawood/checker"
	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/splitter"
)

const (
	reportTimeout  = time.Second
	listTimeout    = 3 * time.Second
	maxReportBytes = 64 << 10
	maxListBytes   = 4 << 20

	// Limits of a listing and of a report; sums over all workers don't overflow.
	maxTextBytes = 255
	maxSlots     = 100_000
	maxReported  = 1 << 30 // requests
)

var errReport = fmt.Errorf("a number that is not from 0 to %d", maxReported)

// ErrUnavailable is wrapped by errors about a list or report that could not be read.
var ErrUnavailable = errors.New("not available")

// maxHeadBytes is the maximum size of the head of an answer.
const maxHeadBytes = 64 << 10

// Client reads the platform's host list and workers' load reports.
type Client struct {
	platform string
	dialer   connector.Dialer
	http     *http.Client // for the platform
	workers  *http.Client
	skipped  int // elements of the last list
}

// Skipped returns the number of elements of the last host list that can't be used.
func (c *Client) Skipped() int { return c.skipped }

// NewClient returns a client that connects to workers by d, and a function that closes its
// idle connections.
func NewClient(platform string, d connector.Dialer) (*Client, func()) {
	transport := func(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
		return &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: maxHeadBytes}
	}
	toPlatform := transport((&net.Dialer{Timeout: reportTimeout}).DialContext)
	toWorkers := transport(func(ctx context.Context, _, address string) (net.Conn, error) {
		return d.Dial(ctx, connector.Target{Address: address})
	})
	c := &Client{
		platform: strings.TrimRight(platform, "/"), dialer: d,
		http:    &http.Client{Transport: checker.Transport{Base: toPlatform}},
		workers: &http.Client{Transport: checker.Transport{Base: toWorkers}},
	}
	return c, func() {
		toPlatform.CloseIdleConnections()
		toWorkers.CloseIdleConnections()
	}
}

// List returns the platform's host list but for the elements that can't be used. It is not safe for
// concurrent use.
func (c *Client) List(ctx context.Context) ([]Listing, error) {
	var list []Listing
	decode := func(text []byte) (err error) { list, c.skipped, err = decodeList(text); return err }
	if err := get(ctx, c.http, c.platform+"/hosts", listTimeout, maxListBytes, false, decode); err != nil {
		return nil, fmt.Errorf("host list: %w", err)
	}
	return list, nil
}

// decodeList decodes the host list but for the elements that can't be used, and returns their number.
func decodeList(text []byte) (list []Listing, skipped int, err error) {
	fields, err := splitter.Object(text)
	if err != nil || fields["hosts"] == nil {
		return nil, 0, err
	}
	elements, err := splitter.Array(fields["hosts"])
	for _, element := range elements {
		var l Listing
		if json.Unmarshal(element, &l) == nil && l.inRange() {
			list = append(list, l)
		} else {
			skipped++
		}
	}
	return list, skipped, err
}

// inRange reports whether a listing can be used.
func (l Listing) inRange() bool {
	for _, text := range []string{l.Service, l.Name, l.Address, l.Zone} {
		if len(text) > maxTextBytes {
			return false
		}
	}
	if _, err := netip.ParseAddrPort(l.Address); err != nil && l.Address != "" {
		return false
	}
	return l.Slots >= 0 && l.Slots <= maxSlots
}

// decodeReport decodes a load report; one that can't be used is an error.
func decodeReport(text []byte) (Report, error) {
	var r Report
	if err := json.Unmarshal(text, &r); err != nil {
		return Report{}, err
	}
	if min(r.Running, r.Waiting) < 0 || max(r.Running, r.Waiting) > maxReported {
		return Report{}, errReport
	}
	return r, nil
}

// Report returns the load report of the worker at address. If the worker answers, but has no
// report, the Report is zero.
func (c *Client) Report(ctx context.Context, address string) (Report, error) {
	var r Report
	// A connection through another host is not kept: it would keep that host from stopping.
	once := c.dialer.Lost(address)
	decode := func(text []byte) (err error) { r, err = decodeReport(text); return err }
	if err := get(ctx, c.workers, "http://"+address+"/load", reportTimeout, maxReportBytes, once, decode); err != nil {
		return r, fmt.Errorf("load report of %s: %w", address, err)
	}
	return r, nil
}

// get reads a document and decodes it unless the server answers 404. With
// once, the connection is not kept.
func get(ctx context.Context, c *http.Client, url string, timeout time.Duration, limit int64, once bool, decode func([]byte) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	req.Close = once
	resp, err := c.Do(req)
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
	if err := decode(body); err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return nil
}
