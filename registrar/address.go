package registrar

import (
	"time"
)

// assignAddress takes that a host's fact is new: one that is not gone holds its address. Failure:
// a fleet loses its power and comes back under new names. Those that ran before stand in
// the store, count as alive until they are found silent, and are asked for what they would
// have to decide. An address has one process, so that of two the older one is no more.
// Which is older is told by the incarnation; a host that finds one at its own address that
// looks newer, as a clock was set back, goes above it.
func (m *Members) assignAddress(now time.Time, x *member) {
	if x.fact.Status == gone {
		m.releaseAddress(x)
		return
	}
	y := m.byControl[x.fact.Control]
	switch {
	case x.fact.Control == "" || y == x:
	case y == nil:
		m.holdAddress(x)
	case y == m.self && (m.stopped || m.superseded):
	case y == m.self:
		m.endPredecessor(now, x)
	case y.fact.Incarnation < x.fact.Incarnation:
		m.markGone(now, y)
		m.queueFact(y.fact.Name, "")
		m.holdAddress(x)
	default:
		m.markGone(now, x)
	}
}

// endPredecessor takes that a process before this one ran at its address.
func (m *Members) endPredecessor(now time.Time, x *member) {
	before := x.record()
	m.markGone(now, x)
	m.outputs = append(m.outputs, PredecessorFound{Host: before})
	if m.self.fact.Incarnation > before.Incarnation {
		return
	}
	m.self.fact.Incarnation, m.self.factSince = before.Incarnation+1, now
	m.queueFact(m.self.fact.Name, "")
	m.outputs = append(m.outputs, Rejoined{Self: m.self.record()})
}

// markGone takes that a host is gone.
func (m *Members) markGone(now time.Time, x *member) {
	x.fact.Status, x.factSince = gone, now
	m.releaseAddress(x)
}

func (m *Members) holdAddress(x *member) {
	if x.fact.Control != "" {
		m.byControl[x.fact.Control] = x
	}
}

func (m *Members) releaseAddress(x *member) {
	if m.byControl[x.fact.Control] == x {
		delete(m.byControl, x.fact.Control)
	}
}
