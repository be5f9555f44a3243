package registrar

import (
	"time"

	"github.com/cicadawood/cicadawood/messenger"
)

// Receive handles a message of another host.
func (m *Members) Receive(now time.Time, from string, msg messenger.Message) []Output {
	switch msg := msg.(type) {
	case messenger.Heartbeat:
		if m.handleHeartbeat(now, from, msg.Incarnation, msg.Digest) && msg.Reply {
			m.confirmAlive(now)
		}
	case messenger.Probe:
		m.merge(now, from, []messenger.Fact{msg.Self})
		if m.handleHeartbeat(now, from, msg.Self.Incarnation, msg.Digest) {
			m.send(from, messenger.Heartbeat{Incarnation: m.self.fact.Incarnation, Digest: m.digest, Reply: true})
		}
	case messenger.Suspect:
		m.handleSuspect(now, from, msg)
	case messenger.Refute:
		if x := m.members[msg.Host]; x != nil && x.fact.Incarnation == msg.Incarnation {
			x.markAlive(now)
		}
	case messenger.RosterUpdate:
		m.merge(now, from, msg.Facts)
		if msg.Full {
			m.sendMissing(from, msg.Facts)
		}
	case messenger.Sync:
		m.send(from, messenger.RosterUpdate{Facts: m.allFacts(), Full: true})
	}
	return m.takeOutputs()
}

// handleHeartbeat handles a heartbeat and reports whether it counts as a sign of life. A
// host that sends under an incarnation that is gone is notified of that each time.
func (m *Members) handleHeartbeat(now time.Time, from string, incarnation, digest uint64) bool {
	x := m.members[from]
	if x == nil || x == m.self || incarnation > x.fact.Incarnation {
		m.requestSync(now, from) // the update about it has not arrived yet
		return false
	}
	if incarnation < x.fact.Incarnation || x.fact.Status == gone {
		m.outputs = append(m.outputs, Send{To: x.record(), Message: messenger.RosterUpdate{Facts: []messenger.Fact{x.fact}}})
		return false
	}
	x.lastDirect = now
	x.markAlive(now)
	x.mismatches++
	if digest == m.digest {
		x.mismatches = 0
	}
	if x.mismatches >= m.allowedMismatches(now) {
		m.requestSync(now, from)
	}
	return true
}

// allowedMismatches returns the number of successive heartbeats with a different digest
// that are tolerated before a Sync. While hosts restart one after another, digests always
// differ briefly; without a higher limit all hosts would send one another all their facts.
func (m *Members) allowedMismatches(now time.Time) int {
	if now.Sub(m.digestChangedAt) < m.intervals(maxMismatches) {
		return maxChurnMismatches
	}
	return maxMismatches
}

// confirmAlive ends the period in which this host does not know whether it still counts as
// alive.
func (m *Members) confirmAlive(now time.Time) {
	if !m.unconfirmedSince.IsZero() {
		m.unconfirmedSince = time.Time{}
		m.rebuild(now)
	}
}

// requestSync asks a host with a different roster for all its facts, at most once every
// syncBeats.
func (m *Members) requestSync(now time.Time, from string) {
	if now.Sub(m.lastSync) >= m.intervals(syncBeats) {
		m.lastSync = now
		m.send(from, messenger.Sync{})
	}
}

// handleSuspect answers another observer's suspicion. Only messages that this host received
// from the suspect itself refute it: if a Refute were a reason to send another one, two
// observers could keep a dead host alive forever.
func (m *Members) handleSuspect(now time.Time, from string, s messenger.Suspect) {
	x := m.members[s.Host]
	switch {
	case x == nil || s.Incarnation > x.fact.Incarnation:
	case x == m.self || x.fact.Status == gone || s.Incarnation < x.fact.Incarnation:
		m.send(from, messenger.RosterUpdate{Facts: []messenger.Fact{x.fact}})
	case now.Sub(x.lastDirect) < m.intervals(suspectBeats):
		m.send(from, messenger.Refute{Host: s.Host, Incarnation: s.Incarnation})
	default:
		x.addVote(now, from)
	}
}

// allFacts returns all facts, sorted by name.
func (m *Members) allFacts() []messenger.Fact {
	var out []messenger.Fact
	for _, x := range m.sortedMembers() {
		out = append(out, x.fact)
	}
	return out
}

// sendMissing sends a host the facts that are missing from the ones received from it.
func (m *Members) sendMissing(to string, received []messenger.Fact) {
	known := map[string]messenger.Fact{}
	for _, f := range received {
		known[f.Name] = f
	}
	var missing []messenger.Fact
	for _, f := range m.allFacts() {
		if h, ok := known[f.Name]; newer(f, h) && (ok || f.Status != gone) {
			missing = append(missing, f)
		}
	}
	if len(missing) > 0 {
		m.send(to, messenger.RosterUpdate{Facts: missing})
	}
}
