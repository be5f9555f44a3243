package tunneler

import (
	"context"
	"time"

	"github.com/cicadawood/cicadawood/connector"
)

const (
	// probeTick is the interval at which workers are looked for that are to be probed.
	probeTick = 50 * time.Millisecond
	// maxProbes is the maximum number of probes at a time.
	maxProbes = 8
)

// Run probes workers until ctx ends.
func (d *Dialer) Run(ctx context.Context) {
	ticker := time.NewTicker(probeTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, address := range d.due(now) {
				go d.probe(ctx, address)
			}
		}
	}
}

// due returns the workers to probe now, and forgets times that are over.
func (d *Dialer) due(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.DropExpired(now)
	for address, until := range d.resting {
		if !now.Before(until) {
			delete(d.resting, address)
		}
	}
	due := d.table.Due(now, maxProbes-d.probing)
	d.probing += len(due)
	return due
}

// probe connects to a worker directly, and if that fails through other hosts, to learn
// whether the worker is lost to this host.
func (d *Dialer) probe(ctx context.Context, address string) {
	defer func() {
		d.mu.Lock()
		d.probing--
		d.mu.Unlock()
	}()
	t := connector.Target{Address: address}
	direct, cancel := context.WithTimeout(ctx, connector.DialTimeout)
	conn, err := d.dialDirect(direct, t)
	cancel()
	if err == nil {
		_ = conn.Close()
		return
	}
	if ctx.Err() != nil || d.onlyLost(address) {
		return
	}
	conn, err = d.Dial(ctx, t)
	if err == nil {
		_ = conn.Close()
	}
}

// onlyLost reports whether other hosts reach a worker that is lost to this one.
func (d *Dialer) onlyLost(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Lost(address) && d.table.Blocked(time.Now(), address) == 0
}
