package registrar

import (
	"time"
)

// assignAddress updates the holder of an address after a host's fact changed. An address
// has one process: of two hosts with the same address, the one with the lower incarnation
// is gone. This matters when all hosts of a fleet lose power and restart under new names.
// The records of the previous processes are still in the store, and would count as alive,
// and be asked for decisions, until their heartbeats are found missing. If a host finds
// one at its own address with a higher incarnation, as its clock was set back, it takes an
// even higher one.
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

// endPredecessor marks an earlier process at this host's address as gone.
func (m *Members) endPredecessor(now time.Time, x *member) {
	predecessor := x.record()
	m.markGone(now, x)
	m.outputs = append(m.outputs, PredecessorFound{Host: predecessor})
	if m.self.fact.Incarnation > predecessor.Incarnation {
		return
	}
	m.self.fact.Incarnation, m.self.factSince = predecessor.Incarnation+1, now
	m.queueFact(m.self.fact.Name, "")
	m.outputs = append(m.outputs, Rejoined{Self: m.self.record()})
}

// markGone marks a host as gone and releases its address.
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
