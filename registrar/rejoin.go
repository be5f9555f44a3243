package registrar

import (
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/messenger"
)

// Bounds of the backoff between two rejoins of one host, in heartbeat intervals.
const (
	minRejoinBeats = 8
	maxRejoinBeats = 120
)

// mergeOwnFact applies a fact about this host. If this host was frozen, others may have
// declared it dead and taken its roles; it then receives a fact that its own incarnation
// is gone. As that is final, it rejoins under a new incarnation.
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
		m.rebuild(now) // gives up its roles before it gets a new incarnation
		m.rejoin(now, from)
	}
}

// rejoin gives a host that was declared dead a new incarnation, if it is likely to stay
// alive. A host that receives messages but whose own don't arrive would be declared dead
// and rejoin without end. So it does not rejoin while it reaches none of its observers, and
// the time between two rejoins doubles up to maxRejoinBeats.
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
	m.send(from, messenger.RosterUpdate{Facts: []messenger.Fact{m.self.fact}}) // spreadPending may not include it: it may be gone as seen from here
	m.outputs = append(m.outputs, Rejoined{Self: m.self.record()})
}

// reachesObservers reports whether the messenger reaches any of this host's observers, as
// far as known. Each of them gets heartbeats, so a lost connection is noticed.
func (m *Members) reachesObservers() bool {
	observers := m.ring.observers[m.self.fact.Name]
	return len(observers) == 0 || slices.ContainsFunc(observers, func(o string) bool { return !m.members[o].noConnection })
}
