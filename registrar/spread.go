package registrar

import (
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/messenger"
)

// pendingFact is a host whose fact is to be forwarded.
type pendingFact struct {
	host   string
	source string // the host that sent it; "" for the store and for this host itself
}

// queueFact queues a host's fact to be forwarded.
func (m *Members) queueFact(host, from string) {
	m.pending = append(m.pending, pendingFact{host, from})
}

// scheduleSpread sends the pending facts now, or at the next tick if some were already
// sent within the last tick interval. Otherwise, when all hosts restart, each would send
// hundreds of facts to each of its neighbours in as many messages.
func (m *Members) scheduleSpread(now time.Time) {
	if now.Sub(m.lastSpread) >= m.tickInterval() {
		m.spreadPending(now)
	}
}

// spreadPending forwards the pending facts to this host's observers and neighbours. Every
// host forwards each fact once, so it reaches all hosts in a few steps, and the cost per fact
// and host is constant.
func (m *Members) spreadPending(now time.Time) {
	if len(m.pending) == 0 {
		return
	}
	for _, to := range m.ring.targets() {
		if facts := m.pendingFor(to); len(facts) > 0 {
			m.send(to, messenger.RosterUpdate{Facts: facts})
		}
	}
	m.pending, m.lastSpread = nil, now
}

// pendingFor returns the pending facts for a host, without those that it sent itself.
func (m *Members) pendingFor(to string) []messenger.Fact {
	var out []messenger.Fact
	known := map[string]bool{}
	for _, n := range m.pending {
		if n.source == to {
			known[n.host] = true
		}
	}
	for _, n := range m.pending {
		if x := m.members[n.host]; x != nil && !known[n.host] {
			known[n.host] = true
			out = append(out, x.fact)
		}
	}
	return out
}

// targets returns the hosts to which this host forwards facts.
func (r ring) targets() []string {
	out := slices.Clone(r.observers[r.self])
	for _, n := range r.neighbours {
		if !slices.Contains(out, n) {
			out = append(out, n)
		}
	}
	return out
}
