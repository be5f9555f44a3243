package registrar

import (
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/messenger"
)

// Bounds, in heartbeat intervals, between two rejoins of one host.
const (
	minRejoinBeats = 8
	maxRejoinBeats = 120
)

// mergeOwnFact takes what others say of this host. Failure: this host was frozen, others
// declared it dead and took its roles; it shows as a fact "gone" of its present
// incarnation. That is final, so it comes back as a new one.
func (m *Members) mergeOwnFact(now time.Time, from string, f messenger.Fact) {
	switch {
	case m.stopped || m.superseded:
	case f.Incarnation < m.self.fact.Incarnation:
		m.send(from, messenger.RosterUpdate{Facts: []messenger.Fact{m.self.fact}})
	case f.Incarnation > m.self.fact.Incarnation:
		m.superseded = true
		m.outputs = append(m.outputs, Superseded{Self: m.self.record()})
		m.rebuild(now)
	case f.Status == gone:
		m.declaredDead = true
		m.rebuild(now) // it loses its roles before it gets a new incarnation
		m.rejoin(now, from)
	}
}

// rejoin brings a host that was declared dead back as a new incarnation, where
// that may last. Failure: the host hears the others, but they can't hear it; it
// would be declared dead and come back without end. So it stays out while it
// reaches nobody, and waits longer each time.
func (m *Members) rejoin(now time.Time, from string) {
	if now.Before(m.nextRejoin) || !m.reachesObservers() {
		return
	}
	if now.Sub(m.nextRejoin) > m.intervals(maxRejoinBeats) {
		m.rejoinBackoff = m.intervals(minRejoinBeats)
	}
	m.nextRejoin = now.Add(m.rejoinBackoff)
	m.rejoinBackoff = min(2*m.rejoinBackoff, m.intervals(maxRejoinBeats))
	m.self.fact.Incarnation = max(m.self.fact.Incarnation+1, uint64(now.UnixNano()))
	m.self.factSince = now
	m.declaredDead, m.unconfirmedSince = false, time.Time{}
	m.rebuild(now)
	m.queueFact(m.self.fact.Name, "")
	m.spreadPending(now)
	m.send(from, messenger.RosterUpdate{Facts: []messenger.Fact{m.self.fact}}) // which may be gone in turn, as seen from here
	m.outputs = append(m.outputs, Rejoined{Self: m.self.record()})
}

// reachesObservers says whether the messenger reachesObservers any of this host's observers, as
// far as is known: those get its heartbeats, so it is known of each.
func (m *Members) reachesObservers() bool {
	observers := m.ring.observers[m.self.fact.Name]
	return len(observers) == 0 || slices.ContainsFunc(observers, func(o string) bool { return !m.members[o].noConnection })
}
