package dispatcher

import (
	"time"

	"github.com/cicadawood/cicadawood/messenger"
)

// maxTombstones is the number of ended requests that are remembered.
const maxTombstones = 4096

// tombstone marks a request as ended, up to and including an attempt.
type tombstone struct {
	request string
	attempt uint64
}

// tombstones holds the latest ended requests in a ring of bounded size. The
// zero value is ready to use.
type tombstones struct {
	ring     []tombstone
	next     int
	attempts map[string]uint64
}

func (t *tombstones) add(request string, attempt uint64) {
	if t.attempts == nil {
		t.attempts = map[string]uint64{}
	}
	if known, ok := t.attempts[request]; ok && known >= attempt {
		return
	}
	t.attempts[request] = attempt
	s := tombstone{request: request, attempt: attempt}
	if len(t.ring) < maxTombstones {
		t.ring = append(t.ring, s)
		return
	}
	if old := t.ring[t.next]; t.attempts[old.request] == old.attempt {
		delete(t.attempts, old.request)
	}
	t.ring[t.next] = s
	t.next = (t.next + 1) % maxTombstones
}

func (t *tombstones) has(request string, attempt uint64) bool {
	known, ok := t.attempts[request]
	return ok && attempt <= known
}

// raiseEpoch raises the epoch above one that an entry has seen: the previous
// dispatcher may return, and its grants must then count as older.
func (d *Dispatcher) raiseEpoch(epoch uint64) {
	if epoch > d.epoch {
		d.epoch, d.granted = epoch+1, 0
	}
}

// claim takes over a grant of a previous dispatcher. It may put a worker above
// its slots: the worker gets nothing new until it is below them again.
func (d *Dispatcher) claim(now time.Time, from string, c messenger.Claim) {
	d.raiseEpoch(c.Ask.Epoch)
	if d.ended.has(c.Ask.Request, c.Ask.Attempt) {
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
			g.from, g.ask.Attempt, g.generated = from, c.Ask.Attempt, c.Tokens
			g.renew(now)
			return
		}
		d.free(now, g)
	}
	d.occupy(&grant{
		from: from, ask: c.Ask, worker: c.Worker, class: d.class(c.Ask.Class), grantedAt: now, renewedAt: now, generated: c.Tokens,
		expiresAt: now.Add(c.Ask.Deadline + orphanGrace), claimed: true,
	}, d.placesOf(c.Worker))
}

// HostLost handles the failure of a host: its waiting requests are dropped at
// once, its grants are reclaimed after orphanGrace. A host that was only
// unreachable claims its grants again within that time.
func (d *Dispatcher) HostLost(now time.Time, host string) []Output {
	d.begin(now)
	for _, w := range d.waiting {
		if w.from == host {
			d.remove(w)
		}
	}
	for _, g := range d.grants {
		if g.from == host && g.orphanedAt.IsZero() {
			g.orphanedAt = now
		}
	}
	d.schedule(now)
	return d.outputs
}

// reclaim takes back the grants of failed hosts and those that their entries
// have not renewed or must have cut off by now. A lost Done is detected in no
// other way; its place would otherwise stay in use indefinitely.
func (d *Dispatcher) reclaim(now time.Time) {
	for _, g := range d.grants {
		orphaned := !g.orphanedAt.IsZero() && now.Sub(g.orphanedAt) >= orphanGrace
		lapsed := now.Sub(g.renewedAt) >= grantLease
		if orphaned || lapsed || now.After(g.expiresAt) {
			g.class.counts.Reclaimed++
			d.free(now, g)
		}
	}
}
