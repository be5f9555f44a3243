// Package reacher decides how a host connects to workers: directly, or, while it has lost
// its own links to them, through another host.
//
// Reach belongs to a pair of a host and a worker. A worker that a host can't connect to is
// lost to that host once another host has connected to it; it is down once another host,
// which itself has lost nothing, can't connect to it either. Only the second says something
// about the worker.
//
// A Table is one host's knowledge of its reach. It does no I/O and takes times as
// arguments. It is not safe for concurrent use.
package reacher

import "time"

const (
	// probeInterval is the interval at which a direct connection to a lost worker is tried.
	probeInterval = 500 * time.Millisecond
	// blockTime is how long requests avoid a worker that no host connects to; probes of it
	// go on, and extend or end that time.
	blockTime = time.Second
	// downTime is how long the finding holds that a worker is down.
	downTime = 2 * time.Second
	// witnessTime is how long a connection to a worker shows that a host has its links to
	// the workers of a service.
	witnessTime = time.Second
	// recentTime is how long a connection shows that there is no need to probe a worker.
	recentTime = 200 * time.Millisecond
	// flapWindow is how soon after its return a second loss counts as flapping.
	flapWindow = 10 * time.Second
	// minHold and maxHold bound the time for which a worker that flapped must stay
	// reachable until it is connected to directly again.
	minHold = time.Second
	maxHold = 16 * time.Second
)

// Table is one host's knowledge of which workers it reaches. The zero Table has no workers
// and no other hosts.
type Table struct {
	self  string
	zone  string
	hosts map[string]*peer
	paths map[string]*path // by the worker's address
}

// path is the reach of one worker.
type path struct {
	service      string
	lost         bool
	closing      bool      // the last connection that was probed was closed at once
	reachedAt    time.Time // last direct connection
	failedAt     time.Time // last direct attempt that failed
	helpedAt     time.Time // last connection through another host
	steadySince  time.Time // first of the successful probes since the last failure; zero if there is none
	returnedAt   time.Time // when the worker was last found reachable again
	hold         time.Duration
	blockedUntil time.Time // no host connects to it
	downUntil    time.Time // a witness found it down
	suspectedAt  time.Time // when it was last probed for that
	probeAt      time.Time // when it is to be probed; zero for no probe
}

// Worker is a worker that this host may connect to.
type Worker struct {
	Address string // IP:port
	Service string
}

// SetWorkers replaces the workers.
func (t *Table) SetWorkers(workers []Worker) {
	old := t.paths
	t.paths = make(map[string]*path, len(workers))
	for _, w := range workers {
		p := old[w.Address]
		if p == nil {
			p = &path{}
		}
		p.service = w.Service
		t.paths[w.Address] = p
	}
}

// Known reports whether a worker is one of those set.
func (t *Table) Known(address string) bool { return t.paths[address] != nil }

// path returns the path of a worker. That of an unknown worker is not kept.
func (t *Table) path(address string) *path {
	if p := t.paths[address]; p != nil {
		return p
	}
	return &path{}
}

// Plan is how to connect to a worker.
type Plan struct {
	Direct  bool   // try a direct connection, first
	Helpers []Host // hosts to connect through, in order of preference
}

// Plan returns how to connect to a worker now.
func (t *Table) Plan(now time.Time, address string) Plan {
	helpers := t.helpers(now, address)
	return Plan{Direct: !t.path(address).lost || len(helpers) == 0, Helpers: helpers}
}

// Change is a change of a worker's reach.
type Change int

// Changes of a worker's reach.
const (
	Unchanged Change = iota
	Lost
	Returned
)

// Connected records a direct connection to a worker; lasting reports whether it was seen to
// last. One that was not shows nothing after another was closed at once.
func (t *Table) Connected(now time.Time, address string, lasting bool) Change {
	p := t.path(address)
	if p.closing && !lasting {
		return Unchanged
	}
	p.closing = false
	p.reachedAt, p.blockedUntil, p.downUntil = now, time.Time{}, time.Time{}
	if lasting {
		p.probeAt = time.Time{}
	}
	if !p.lost {
		return Unchanged
	}
	if p.steadySince.IsZero() {
		p.steadySince = now
	}
	if now.Sub(p.steadySince) < p.hold {
		p.probeAt = now.Add(probeInterval)
		return Unchanged
	}
	p.lost, p.returnedAt = false, now
	t.probeLost(now)
	return Returned
}

// Closed records a direct connection to a worker that was closed at once.
func (t *Table) Closed(now time.Time, address string) Change {
	t.path(address).closing = true
	return t.Failed(now, address)
}

// Failed records a direct attempt to connect to a worker that failed.
func (t *Table) Failed(now time.Time, address string) Change {
	p := t.path(address)
	p.failedAt, p.steadySince = now, time.Time{}
	if p.lost {
		p.probeAt = now.Add(probeInterval)
	}
	return t.settle(now, p)
}

// Helped records a connection to a worker through another host; lasting is as for Connected.
func (t *Table) Helped(now time.Time, host, address string, lasting bool) Change {
	p := t.path(address)
	if p.closing && !lasting {
		return Unchanged
	}
	p.helpedAt, p.blockedUntil, p.downUntil = now, time.Time{}, time.Time{}
	if h := t.hosts[host]; h != nil {
		delete(h.unreached, address)
	}
	return t.settle(now, p)
}

// settle finds a worker lost that another host reaches and this one does not.
func (t *Table) settle(now time.Time, p *path) Change {
	if p.lost || !p.failedAt.After(p.reachedAt) || !p.helpedAt.After(p.reachedAt) {
		return Unchanged
	}
	p.hold = p.nextHold(now)
	p.lost, p.probeAt, p.steadySince = true, now.Add(probeInterval), time.Time{}
	t.probeOthers(now)
	return Lost
}

// nextHold returns the hold of a worker that is lost now.
func (p *path) nextHold(now time.Time) time.Duration {
	if p.returnedAt.IsZero() || now.Sub(p.returnedAt) > flapWindow {
		return 0
	}
	return min(max(2*p.hold, minHold), maxHold)
}

// Block records that no host connects to a worker, and that this says nothing about the
// worker: requests avoid it for a time.
func (t *Table) Block(now time.Time, address string) {
	p := t.path(address)
	p.blockedUntil, p.probeAt = now.Add(blockTime), now.Add(probeInterval)
}

// Down records that a witness could not connect to a worker either.
func (t *Table) Down(now time.Time, address string) {
	p := t.path(address)
	p.downUntil, p.blockedUntil = now.Add(downTime), time.Time{}
}

// IsDown reports whether a witness could not connect to a worker a short time ago.
func (t *Table) IsDown(now time.Time, address string) bool {
	return now.Before(t.path(address).downUntil)
}

// Blocked returns for how long requests avoid a worker; 0 is none.
func (t *Table) Blocked(now time.Time, address string) time.Duration {
	return max(t.path(address).blockedUntil.Sub(now), 0)
}

// Lost reports whether a worker is lost to this host: whether another host reaches it.
func (t *Table) Lost(address string) bool { return t.path(address).lost }

// Comparison returns another worker whose connection would show that this host has its links
// to the workers of a worker's service: one of the same service, or any if there is none. It
// returns false if there is no other worker.
func (t *Table) Comparison(address string) (string, bool) {
	service, best, found := t.path(address).service, "", false
	bestSame := false
	for a, p := range t.paths {
		same := p.service == service
		if a == address || found && (bestSame && !same || bestSame == same && a > best) {
			continue
		}
		best, bestSame, found = a, same, true
	}
	return best, found
}

// Witness reports whether a failed connection of this host shows that a worker is down:
// it has lost no worker itself, and has just connected to another one of the service, as a
// host may lose its links to the workers of one service only. Where the service has no other
// worker, any counts.
func (t *Table) Witness(now time.Time, address string) bool {
	service := t.path(address).service
	alone, same, any := true, false, false
	for a, p := range t.paths {
		if p.lost || now.Before(p.blockedUntil) {
			return false
		}
		if a == address {
			continue
		}
		connected := now.Sub(p.reachedAt) < witnessTime
		any = any || connected
		if p.service == service {
			alone, same = false, same || connected
		}
	}
	return same || alone && any
}

// Suspect has a worker probed whose connections fail or are silent. That it was just connected
// to shows nothing: what stands between may accept connections.
func (t *Table) Suspect(now time.Time, address string) {
	if p := t.path(address); now.Sub(p.suspectedAt) >= probeInterval && p.probeAt.IsZero() {
		p.suspectedAt, p.probeAt = now, now
	}
}

// probeOthers has all workers probed that were not connected to just now: a host that has
// lost one worker has probably lost others.
func (t *Table) probeOthers(now time.Time) {
	for _, p := range t.paths {
		if !p.lost && now.Sub(p.reachedAt) > recentTime && p.probeAt.IsZero() {
			p.probeAt = now
		}
	}
}

// probeLost has all lost workers probed: one of them has returned.
func (t *Table) probeLost(now time.Time) {
	for _, p := range t.paths {
		if p.lost {
			p.probeAt = now
		}
	}
}

// Due returns the workers to probe now, at most limit. Each is returned again only after
// the result of its probe was recorded, or after probeTimeout.
func (t *Table) Due(now time.Time, limit int) []string {
	var due []string
	for a, p := range t.paths {
		if len(due) < limit && !p.probeAt.IsZero() && !now.Before(p.probeAt) {
			due = append(due, a)
			p.probeAt = time.Time{}
			if p.lost || now.Before(p.blockedUntil) {
				p.probeAt = now.Add(probeTimeout)
			}
		}
	}
	return due
}

// probeTimeout is how long after a probe that has no result a lost worker is probed again.
const probeTimeout = 2 * time.Second

// LostWorkers returns the number of workers that are lost to this host, and of those that no
// host connects to.
func (t *Table) LostWorkers(now time.Time) (lost, blocked int) {
	for _, p := range t.paths {
		if p.lost {
			lost++
		}
		if now.Before(p.blockedUntil) {
			blocked++
		}
	}
	return lost, blocked
}
