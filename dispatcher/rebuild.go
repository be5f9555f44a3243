package dispatcher

import (
	"time"

	"github.com/cicadawood/cicadawood/messenger"
)

// mostTombstones bounds what is remembered of requests that are over.
const mostTombstones = 4096

// tombstone is a request whose ask, up to an attempt, is over.
type tombstone struct {
	request string
	attempt uint64
}

// tombstones remember what is over, the latest in a ring of bounded size. The
// zero value works.
type tombstones struct {
	ring    []tombstone
	next    int
	attempt map[string]uint64
}

func (t *tombstones) add(request string, attempt uint64) {
	if t.attempt == nil {
		t.attempt = map[string]uint64{}
	}
	if known, ok := t.attempt[request]; ok && known >= attempt {
		return
	}
	t.attempt[request] = attempt
	s := tombstone{request: request, attempt: attempt}
	if len(t.ring) < mostTombstones {
		t.ring = append(t.ring, s)
		return
	}
	if old := t.ring[t.next]; t.attempt[old.request] == old.attempt {
		delete(t.attempt, old.request)
	}
	t.ring[t.next] = s
	t.next = (t.next + 1) % mostTombstones
}

func (t *tombstones) has(request string, attempt uint64) bool {
	known, ok := t.attempt[request]
	return ok && attempt <= known
}

// see raises the epoch over one that an entry has seen: its earlier dispatcher
// may come back, and its grants must then be the older ones.
func (d *Dispatcher) see(epoch uint64) {
	if epoch > d.epoch {
		d.epoch, d.orders = epoch+1, 0
	}
}

// claim takes over a grant that an earlier dispatcher gave. It may overfill its
// worker: nothing new goes there until it is under its slots.
func (d *Dispatcher) claim(now time.Time, from string, c messenger.Claim) {
	d.see(c.Ask.Epoch)
	if d.gone.has(c.Ask.Request, c.Ask.Attempt) {
		return
	}
	if w := d.waiting[c.Ask.Request]; w != nil {
		d.remove(w)
	}
	if g := d.grants[c.Ask.Request]; g != nil {
		if g.ask.Attempt > c.Ask.Attempt {
			return
		}
		if g.worker == c.Worker {
			g.from, g.ask.Attempt, g.made = from, c.Ask.Attempt, c.Tokens
			g.seen(now)
			return
		}
		d.free(now, g)
	}
	d.occupy(&grant{
		from: from, ask: c.Ask, worker: c.Worker, class: d.class(c.Ask.Class), at: now, renewed: now, made: c.Tokens,
		ends: now.Add(c.Ask.Deadline + orphanGrace), claimed: true,
	}, d.place(c.Worker))
}

// HostLost notes that a host died: what waited for it is dropped, and what it held
// is taken back after a grace. A host that was only unreachable claims it again.
func (d *Dispatcher) HostLost(now time.Time, host string) []Output {
	d.begin(now)
	for _, w := range d.waiting {
		if w.from == host {
			d.remove(w)
		}
	}
	for _, g := range d.grants {
		if g.from == host && g.orphaned.IsZero() {
			g.orphaned = now
		}
	}
	d.fill(now)
	return d.out
}

// reclaim takes back the grants of dead hosts, and those that their entries have
// not renewed or must have cut: a Done was lost, which shows by nothing else, and
// without this the place would stay in use for ever.
func (d *Dispatcher) reclaim(now time.Time) {
	for _, g := range d.grants {
		orphaned := !g.orphaned.IsZero() && now.Sub(g.orphaned) >= orphanGrace
		lapsed := now.Sub(g.renewed) >= grantLease
		if orphaned || lapsed || now.After(g.ends) {
			g.class.counts.Reclaimed++
			d.free(now, g)
		}
	}
}
