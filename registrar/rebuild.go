package registrar

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadawood/cicadawood/messenger"
)

// rebuildsPerTick is how often a roster is made between two ticks: once for a host, and again
// where word of it is corrected.
const rebuildsPerTick = 3

// alone says that no other host counts as alive.
func (m *Members) alone() bool {
	return !slices.ContainsFunc(m.roster.hosts, func(h Record) bool { return h.Name != m.self.fact.Name })
}

// addMember takes a host that was not known.
func (m *Members) addMember(now time.Time, f messenger.Fact) *member {
	x := &member{fact: f, lastSeen: now, factSince: now, nameHash: xxhash.Sum64String(f.Name)}
	m.members[f.Name] = x
	at, _ := slices.BinarySearchFunc(m.sorted, f.Name, func(y *member, name string) int { return strings.Compare(y.fact.Name, name) })
	m.sorted = slices.Insert(m.sorted, at, x)
	return x
}

// tickInterval is the time between two ticks.
func (m *Members) tickInterval() time.Duration { return m.heartbeatInterval / TicksPerHeartbeat }

// scheduleRebuild has what follows from the facts renewed: now, or at the next tick where that was
// done a few times since the last. Failure: all hosts restart, and each of hundreds of facts has each
// host work through its whole roster; small hosts do nothing else for seconds.
// A host that was superseded ticks no more.
func (m *Members) scheduleRebuild(now time.Time) {
	if m.rebuilds >= rebuildsPerTick && !m.stopped && !m.superseded {
		m.rosterStale = true
		return
	}
	m.rebuild(now)
}

// rebuild renews what follows from the facts.
func (m *Members) rebuild(now time.Time) {
	m.rosterStale = false
	m.rebuilds++
	m.expireTombstones(now)
	var digest uint64
	r := Roster{hosts: make([]Record, 0, len(m.sorted)), hashes: make([]uint64, 0, len(m.sorted))}
	for _, x := range m.sorted {
		if x.fact.Status == gone {
			continue
		}
		digest += x.digest()
		if x != m.self || m.countsAsAlive() {
			r.hosts = append(r.hosts, x.record())
			r.hashes = append(r.hashes, x.nameHash)
		}
	}
	if digest != m.digest {
		m.digest, m.digestChangedAt, m.ringStale = digest, now, true
		m.rebuildRing(now)
	}
	if !slices.Equal(r.hosts, m.roster.hosts) {
		m.roster = r
		m.outputs = append(m.outputs, RosterChanged{Roster: r})
	}
}

// digest is a host's part of the digest: equal for the same incarnation and leaving.
func (m *member) digest() uint64 {
	return mix(m.nameHash ^ mix(m.fact.Incarnation<<1|uint64(m.fact.Status)))
}

// expireTombstones forgets hosts that have been gone for long.
func (m *Members) expireTombstones(now time.Time) {
	m.sorted = slices.DeleteFunc(m.sorted, func(x *member) bool {
		old := x != m.self && x.fact.Status == gone && now.Sub(x.factSince) > tombstoneAge
		if old {
			delete(m.members, x.fact.Name)
		}
		return old
	})
}

// rebuildRing renews the ring, not more than once between two ticks: the next one does what
// is left.
func (m *Members) rebuildRing(now time.Time) {
	if !m.ringStale || now.Sub(m.ringBuiltAt) < m.tickInterval() {
		return
	}
	m.ringStale, m.ringBuiltAt = false, now
	var all []*member
	for _, x := range m.sorted {
		if x.fact.Status != gone {
			all = append(all, x)
		}
	}
	m.ring = newRing(all, m.self)
	m.introduce()
}

func (m *Members) countsAsAlive() bool {
	return !m.declaredDead && !m.superseded && m.unconfirmedSince.IsZero()
}

// introduce sends this host's fact to observers that are new, or new under their
// name: they may know nothing of it yet, and could not answer its heartbeats.
func (m *Members) introduce() {
	known := m.introducedTo
	m.introducedTo = map[string]uint64{}
	for _, o := range m.ring.observers[m.self.fact.Name] {
		incarnation := m.members[o].fact.Incarnation
		m.introducedTo[o] = incarnation
		if known[o] != incarnation {
			m.send(o, messenger.RosterUpdate{Facts: []messenger.Fact{m.self.fact}})
		}
	}
}
