package registrar

import (
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/messenger"
)

// pendingFact is a host whose fact is to be passed on.
type pendingFact struct {
	host   string
	source string // who told it; "" for the store and for this host itself
}

// queueFact has a host's fact passed on.
func (m *Members) queueFact(host, from string) {
	m.pending = append(m.pending, pendingFact{host, from})
}

// scheduleSpread passes on what is to be: now, or at the next tick where that was done since the
// last. Failure: all hosts restart, and each passes on hundreds of facts in as many
// messages to each of its neighbours.
func (m *Members) scheduleSpread(now time.Time) {
	if now.Sub(m.lastSpread) >= m.tickInterval() {
		m.spreadPending(now)
	}
}

// spreadPending passes facts on to this host's observers and its neighbours. Every host does so
// once for each fact, so it reaches all in a few steps, at a constant cost for each.
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

// pendingFor is the facts to pass on that a host did not tell itself.
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

// targets is whom a host passes news on to.
func (r ring) targets() []string {
	out := slices.Clone(r.observers[r.self])
	for _, n := range r.neighbours {
		if !slices.Contains(out, n) {
			out = append(out, n)
		}
	}
	return out
}
