package registrar

import (
	"time"

	"github.com/cicadawood/cicadawood/messenger"
)

// Hear takes a message of another host.
func (m *Members) Hear(now time.Time, from string, msg messenger.Message) []Output {
	switch msg := msg.(type) {
	case messenger.Heartbeat:
		if m.beaten(now, from, msg.Incarnation, msg.Digest) && msg.Reply {
			m.confirmed(now)
		}
	case messenger.Probe:
		m.merge(now, from, []messenger.Fact{msg.Self})
		if m.beaten(now, from, msg.Self.Incarnation, msg.Digest) {
			m.send(from, messenger.Heartbeat{Incarnation: m.self.fact.Incarnation, Digest: m.digest, Reply: true})
		}
	case messenger.Suspect:
		m.accused(now, from, msg)
	case messenger.Refute:
		if x := m.members[msg.Host]; x != nil && x.fact.Incarnation == msg.Incarnation {
			x.trust(now)
		}
	case messenger.RosterUpdate:
		m.merge(now, from, msg.Facts)
		if msg.Full {
			m.complete(from, msg.Facts)
		}
	case messenger.Sync:
		m.send(from, messenger.RosterUpdate{Facts: m.facts(), Full: true})
	}
	return m.flush()
}

// beaten takes a sign of life and says whether it counts. A host that comes
// back under an incarnation that is gone is told so, at each try.
func (m *Members) beaten(now time.Time, from string, incarnation, digest uint64) bool {
	x := m.members[from]
	if x == nil || x == m.self || incarnation > x.fact.Incarnation {
		m.sync(now, from) // its news is still on the way
		return false
	}
	if incarnation < x.fact.Incarnation || x.fact.Status == gone {
		m.out = append(m.out, Send{To: x.record(), Message: messenger.RosterUpdate{Facts: []messenger.Fact{x.fact}}})
		return false
	}
	x.direct = now
	x.trust(now)
	x.mismatch++
	if digest == m.digest {
		x.mismatch = 0
	}
	if x.mismatch >= m.mismatchesBorne(now) {
		m.sync(now, from)
	}
	return true
}

// mismatchesBorne is how many heartbeats with another digest are borne. Failure: while hosts
// restart one after another digests always differ for a moment, and all hosts send one
// another all they know.
func (m *Members) mismatchesBorne(now time.Time) int {
	if now.Sub(m.digestAt) < m.after(mismatches) {
		return churnMismatches
	}
	return mismatches
}

// confirmed ends this host's doubt whether it still counts.
func (m *Members) confirmed(now time.Time) {
	if !m.doubt.IsZero() {
		m.doubt = time.Time{}
		m.rebuild(now)
	}
}

// sync asks a host whose roster differs for all it knows, not more often than
// every few heartbeats.
func (m *Members) sync(now time.Time, from string) {
	if now.Sub(m.synced) >= m.after(syncBeats) {
		m.synced = now
		m.send(from, messenger.Sync{})
	}
}

// accused answers another observer's suspicion: only what this host heard
// itself refutes it. Were a vouched host vouched for in turn, two observers could
// keep a dead host alive between them for ever.
func (m *Members) accused(now time.Time, from string, s messenger.Suspect) {
	x := m.members[s.Host]
	switch {
	case x == nil || s.Incarnation > x.fact.Incarnation:
	case x == m.self || x.fact.Status == gone || s.Incarnation < x.fact.Incarnation:
		m.send(from, messenger.RosterUpdate{Facts: []messenger.Fact{x.fact}})
	case now.Sub(x.direct) < m.after(suspectBeats):
		m.send(from, messenger.Refute{Host: s.Host, Incarnation: s.Incarnation})
	default:
		x.vote(now, from)
	}
}

// facts is all facts, in order.
func (m *Members) facts() []messenger.Fact {
	var out []messenger.Fact
	for _, x := range m.sortedMembers() {
		out = append(out, x.fact)
	}
	return out
}

// complete sends a host the facts that it lacks.
func (m *Members) complete(to string, had []messenger.Fact) {
	known := map[string]messenger.Fact{}
	for _, f := range had {
		known[f.Name] = f
	}
	var lacking []messenger.Fact
	for _, f := range m.facts() {
		if h, ok := known[f.Name]; newer(f, h) && (ok || f.Status != gone) {
			lacking = append(lacking, f)
		}
	}
	if len(lacking) > 0 {
		m.send(to, messenger.RosterUpdate{Facts: lacking})
	}
}
