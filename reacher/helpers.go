package reacher

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxHelpers is the maximum number of hosts in a Plan.
	maxHelpers = 3
	// openPerStep is the number of open connections through a host that make it less
	// preferred by a step.
	openPerStep = 4
)

// Host is another host, as it may help.
type Host struct {
	Name        string
	Zone        string
	Address     string // IP:port for other hosts
	Incarnation uint64
}

// peer is a Host with what this host learned of it.
type peer struct {
	Host
	foreign    bool                 // it does not know tunnels
	unfitUntil time.Time            // it is not asked
	unreached  map[string]time.Time // workers that it is not asked for, until a time
	open       int                  // connections through it
}

// SetHosts replaces the other hosts that may help. self and zone are this host's.
func (t *Table) SetHosts(self, zone string, hosts []Host) {
	old := t.hosts
	t.self, t.zone, t.hosts = self, zone, make(map[string]*peer, len(hosts))
	for _, h := range hosts {
		p := old[h.Name]
		if p == nil || p.Incarnation != h.Incarnation {
			p = &peer{unreached: map[string]time.Time{}}
		}
		p.Host = h
		t.hosts[h.Name] = p
	}
}

// Alone reports whether there is no other host.
func (t *Table) Alone() bool { return len(t.hosts) == 0 }

// helpers returns the hosts to connect to a worker through. Hosts of the own zone and of
// others alternate: bytes between zones have a price, but a zone may have lost its links as
// a whole. Otherwise the hash of both ends spreads the load, and hosts with fewer open
// connections come first.
func (t *Table) helpers(now time.Time, address string) []Host {
	var own, other []*peer
	for _, h := range t.hosts {
		if h.foreign || now.Before(h.unfitUntil) || now.Before(h.unreached[address]) {
			continue
		}
		if h.Zone == t.zone {
			own = append(own, h)
		} else {
			other = append(other, h)
		}
	}
	t.sort(own, address)
	t.sort(other, address)
	var out []Host
	for i := 0; len(out) < maxHelpers && (i < len(own) || i < len(other)); i++ {
		if i < len(own) {
			out = append(out, own[i].Host)
		}
		if i < len(other) && len(out) < maxHelpers {
			out = append(out, other[i].Host)
		}
	}
	return out
}

func (t *Table) sort(hosts []*peer, address string) {
	rank := func(h *peer) uint64 { return xxhash.Sum64String(t.self + "\x00" + h.Name + "\x00" + address) }
	slices.SortFunc(hosts, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(a.open/openPerStep, b.open/openPerStep), cmp.Compare(rank(a), rank(b)))
	})
}

// Reason is why a host did not help.
type Reason string

// Reasons of a host that did not help.
const (
	Unreached Reason = "unreached" // it can't connect to the worker either
	Unknown   Reason = "unknown"   // it does not know the worker, or knows that it is leaving
	Resting   Reason = "resting"   // the worker wants no requests from it for a time
	Full      Reason = "full"      // it helps as much as it can
	Stopping  Reason = "stopping"  // it shuts down
	Silent    Reason = "silent"    // it did not answer, or the connection to it failed
	Foreign   Reason = "foreign"   // it does not know tunnels
)

// avoidTimes is for how long a host is not asked again after a reason, unless it stated a
// time.
var avoidTimes = map[Reason]time.Duration{
	Unreached: 2 * time.Second,
	Unknown:   time.Second,
	Resting:   time.Second,
	Full:      500 * time.Millisecond,
	Stopping:  10 * time.Second,
	Silent:    2 * time.Second,
}

// maxWait bounds the time that a host states for which it is not asked.
const maxWait = time.Minute

// Known returns the reason, or Unknown for one that only other versions know: a reason is a label
// of metrics, and decides for how long the host is not asked.
func (r Reason) Known() Reason {
	if _, ok := avoidTimes[r]; ok || r == "" || r == Foreign {
		return r
	}
	return Unknown
}

// Declined records that a host did not help to connect to a worker. A wait that it stated
// takes the place of the usual time for which it is not asked.
func (t *Table) Declined(now time.Time, host, address string, r Reason, wait time.Duration) {
	h := t.hosts[host]
	if h == nil {
		return
	}
	until := now.Add(cmp.Or(min(max(wait, 0), maxWait), avoidTimes[r]))
	switch r {
	case Foreign:
		h.foreign = true
	case Full, Stopping, Silent:
		h.unfitUntil = until
	case Unreached, Unknown, Resting:
		h.unreached[address] = until
	}
}

// Opened counts a connection through a host, until Released.
func (t *Table) Opened(host string) { t.count(host, 1) }

// Released is the counterpart of Opened.
func (t *Table) Released(host string) { t.count(host, -1) }

func (t *Table) count(host string, n int) {
	if h := t.hosts[host]; h != nil {
		h.open = max(h.open+n, 0)
	}
}

// DropExpired forgets the times that are over.
func (t *Table) DropExpired(now time.Time) {
	for _, h := range t.hosts {
		for a, until := range h.unreached {
			if !now.Before(until) {
				delete(h.unreached, a)
			}
		}
	}
}
