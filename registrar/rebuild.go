package registrar

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadawood/cicadawood/messenger"
)

// rebuildsPerTick is the number of roster rebuilds between two ticks after which further
// ones are postponed: one for a new fact about a host, and others for its corrections.
const rebuildsPerTick = 3

// alone reports whether no other host counts as alive.
func (m *Members) alone() bool {
	return !slices.ContainsFunc(m.roster.hosts, func(h Record) bool { return h.Name != m.self.fact.Name })
}

// addMember adds a host that was not known.
func (m *Members) addMember(now time.Time, f messenger.Fact) *member {
	x := &member{fact: f, lastSeen: now, factSince: now, nameHash: xxhash.Sum64String(f.Name)}
	m.members[f.Name] = x
	at, _ := slices.BinarySearchFunc(m.sorted, f.Name, func(y *member, name string) int { return strings.Compare(y.fact.Name, name) })
	m.sorted = slices.Insert(m.sorted, at, x)
	return x
}

// tickInterval returns the time between two ticks.
func (m *Members) tickInterval() time.Duration { return m.heartbeatInterval / TicksPerHeartbeat }

// scheduleRebuild rebuilds the roster now, or at the next tick if it was already rebuilt
// rebuildsPerTick times since the last one. Otherwise, when all hosts restart, each of
// hundreds of facts would make every host go through its whole roster, and small hosts
// would do nothing else for seconds. A host that has stopped or was superseded gets no
// further ticks and rebuilds now.
func (m *Members) scheduleRebuild(now time.Time) {
	if m.rebuilds >= rebuildsPerTick && !m.stopped && !m.superseded {
		m.rosterStale = true
		return
	}
	m.rebuild(now)
}

// rebuild derives the roster, the digest and, if hosts changed, the ring from the facts.
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

// digest returns a host's contribution to the digest, which depends on its name,
// incarnation and status.
func (m *member) digest() uint64 {
	return mix(m.nameHash ^ mix(m.fact.Incarnation<<1|uint64(m.fact.Status)))
}

// expireTombstones forgets hosts that have been gone for longer than tombstoneAge.
func (m *Members) expireTombstones(now time.Time) {
	m.sorted = slices.DeleteFunc(m.sorted, func(x *member) bool {
		expired := x != m.self && x.fact.Status == gone && now.Sub(x.factSince) > tombstoneAge
		if expired {
			delete(m.members, x.fact.Name)
		}
		return expired
	})
}

// rebuildRing rebuilds a stale ring, at most once per tick interval; otherwise the next
// tick does it.
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

// countsAsAlive reports whether this host may be on its own roster.
func (m *Members) countsAsAlive() bool {
	return !m.declaredDead && !m.superseded && m.unconfirmedSince.IsZero()
}

// introduce sends this host's fact to observers that are new or have a new incarnation:
// they may not know this host yet, and would not accept its heartbeats.
func (m *Members) introduce() {
	previous := m.introducedTo
	m.introducedTo = map[string]uint64{}
	for _, o := range m.ring.observers[m.self.fact.Name] {
		incarnation := m.members[o].fact.Incarnation
		m.introducedTo[o] = incarnation
		if previous[o] != incarnation {
			m.send(o, messenger.RosterUpdate{Facts: []messenger.Fact{m.self.fact}})
		}
	}
}
