package registrar

import (
	"time"

	"github.com/cicadawood/cicadawood/messenger"
)

// Receive takes a message of another host.
func (m *Members) Receive(now time.Time, from string, msg messenger.Message) []Output {
	switch msg := msg.(type) {
	case messenger.Beat:
		if m.handleHeartbeat(now, from, msg.Incarnation, msg.Digest) && msg.Reply {
			m.confirmAlive(now)
		}
	case messenger.Probe:
		m.merge(now, from, []messenger.Fact{msg.Self})
		if m.handleHeartbeat(now, from, msg.Self.Incarnation, msg.Digest) {
			m.send(from, messenger.Beat{Incarnation: m.self.fact.Incarnation, Digest: m.digest, Reply: true})
		}
	case messenger.Suspect:
		m.handleSuspect(now, from, msg)
	case messenger.Vouch:
		if x := m.members[msg.Host]; x != nil && x.fact.Incarnation == msg.Incarnation {
			x.markAlive(now)
		}
	case messenger.News:
		m.merge(now, from, msg.Facts)
		if msg.Whole {
			m.sendMissing(from, msg.Facts)
		}
	case messenger.Sync:
		m.send(from, messenger.News{Facts: m.allFacts(), Whole: true})
	}
	return m.takeOutputs()
}

// handleHeartbeat takes a sign of life and says whether it counts. A host that comes
// back under an incarnation that is gone is told so, at each try.
func (m *Members) handleHeartbeat(now time.Time, from string, incarnation, digest uint64) bool {
	x := m.members[from]
	if x == nil || x == m.self || incarnation > x.fact.Incarnation {
		m.requestSync(now, from) // its news is still on the way
		return false
	}
	if incarnation < x.fact.Incarnation || x.fact.Status == gone {
		m.outputs = append(m.outputs, Send{To: x.record(), Message: messenger.News{Facts: []messenger.Fact{x.fact}}})
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

// allowedMismatches is how many heartbeats with another digest are borne. Failure: while hosts
// restart one after another digests always differ for a moment, and all hosts send one
// another all they know.
func (m *Members) allowedMismatches(now time.Time) int {
	if now.Sub(m.digestChangedAt) < m.intervals(maxMismatches) {
		return maxChurnMismatches
	}
	return maxMismatches
}

// confirmAlive ends this host's doubt whether it still counts.
func (m *Members) confirmAlive(now time.Time) {
	if !m.unconfirmedSince.IsZero() {
		m.unconfirmedSince = time.Time{}
		m.rebuild(now)
	}
}

// requestSync asks a host whose roster differs for all it knows, not more often than
// every few heartbeats.
func (m *Members) requestSync(now time.Time, from string) {
	if now.Sub(m.lastSync) >= m.intervals(syncBeats) {
		m.lastSync = now
		m.send(from, messenger.Sync{})
	}
}

// handleSuspect answers another observer's suspicion: only what this host heard
// itself refutes it. Were a vouched host vouched for in turn, two observers could
// keep a dead host alive between them for ever.
func (m *Members) handleSuspect(now time.Time, from string, s messenger.Suspect) {
	x := m.members[s.Host]
	switch {
	case x == nil || s.Incarnation > x.fact.Incarnation:
	case x == m.self || x.fact.Status == gone || s.Incarnation < x.fact.Incarnation:
		m.send(from, messenger.News{Facts: []messenger.Fact{x.fact}})
	case now.Sub(x.lastDirect) < m.intervals(suspectBeats):
		m.send(from, messenger.Vouch{Host: s.Host, Incarnation: s.Incarnation})
	default:
		x.vote(now, from)
	}
}

// allFacts is all allFacts, in order.
func (m *Members) allFacts() []messenger.Fact {
	var out []messenger.Fact
	for _, x := range m.sortedMembers() {
		out = append(out, x.fact)
	}
	return out
}

// sendMissing sends a host the facts that it lacks.
func (m *Members) sendMissing(to string, had []messenger.Fact) {
	known := map[string]messenger.Fact{}
	for _, f := range had {
		known[f.Name] = f
	}
	var lacking []messenger.Fact
	for _, f := range m.allFacts() {
		if h, ok := known[f.Name]; newer(f, h) && (ok || f.Status != gone) {
			lacking = append(lacking, f)
		}
	}
	if len(lacking) > 0 {
		m.send(to, messenger.News{Facts: lacking})
	}
}
