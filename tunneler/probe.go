package tunneler

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/reacher"
)

const (
	// probeTick is the interval at which workers are looked for that are to be probed.
	probeTick = 50 * time.Millisecond
	// maxProbes is the maximum number of probes at a time.
	maxProbes = 8
	// maxProbedHelpers is the maximum number of hosts that a probe connects through.
	maxProbedHelpers = 3
	// probeLinger is how long a probe's connection must last: several round trips.
	probeLinger = 50 * time.Millisecond
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
	if d.probeDirect(ctx, t) || ctx.Err() != nil || d.onlyLost(address) {
		return
	}
	for i := range maxProbedHelpers {
		if i > 0 && !d.hasHelper(address) {
			return
		}
		conn, err := d.dial(ctx, t, false)
		if err != nil || d.recordHelp(conn, address) {
			return
		}
	}
}

// hasHelper reports whether there is a host to connect to a worker through.
func (d *Dialer) hasHelper(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.table.Plan(time.Now(), address).Helpers) > 0
}

// recordHelp records whether a connection through another host lasts, and returns it. A helper whose
// connection is closed at once may be cut from the worker itself, and is not asked again for a while.
func (d *Dialer) recordHelp(conn net.Conn, address string) bool {
	helper := conn.(interface{ Via() string }).Via()
	lasts := outlasts(conn, probeLinger)
	now := time.Now()
	d.mu.Lock()
	change := reacher.Unchanged
	if lasts {
		change = d.table.Helped(now, helper, address, true)
	} else {
		d.table.Declined(now, helper, address, reacher.Unreached, 0)
	}
	d.mu.Unlock()
	d.noteChange(address, change, helper)
	return lasts
}

// probeDirect connects to a worker from this host, records the result, and returns whether the
// connection lasts: what stands between may accept it and close it at once.
func (d *Dialer) probeDirect(ctx context.Context, t connector.Target) bool {
	limited, cancel := context.WithTimeout(ctx, connector.DialTimeout)
	defer cancel()
	conn, err := d.direct.Dial(limited, t)
	if ctx.Err() != nil {
		return false
	}
	lasts := err == nil && outlasts(conn, probeLinger)
	now := time.Now()
	d.mu.Lock()
	var change reacher.Change
	switch {
	case lasts:
		change = d.table.Connected(now, t.Address, true)
	case err == nil:
		change = d.table.Closed(now, t.Address)
	default:
		change = d.table.Failed(now, t.Address)
	}
	d.mu.Unlock()
	d.noteChange(t.Address, change, "")
	return lasts
}

// outlasts reports whether a connection is still open after a time, and closes it.
func outlasts(conn net.Conn, d time.Duration) bool {
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(d)); err != nil {
		return false
	}
	_, err := conn.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// onlyLost reports whether other hosts reach a worker that is lost to this one.
func (d *Dialer) onlyLost(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Lost(address) && d.table.Blocked(time.Now(), address) == 0
}
