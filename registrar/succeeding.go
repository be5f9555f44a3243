package registrar

import (
	"time"
)

// settle takes that a host's fact is new: one that is not gone holds its address. Failure:
// a fleet loses its power and comes back under new names. Those that ran before stand in
// the store, count as alive until they are found silent, and are asked for what they would
// have to decide. An address has one process, so that of two the older one is no more.
// Which is older is told by the incarnation; a host that finds one at its own address that
// looks newer, as a clock was set back, goes above it.
func (m *Members) settle(now time.Time, x *member) {
	if x.fact.Status == gone {
		m.release(x)
		return
	}
	y := m.holders[x.fact.Control]
	switch {
	case x.fact.Control == "" || y == x:
	case y == nil:
		m.hold(x)
	case y == m.self && (m.ended || m.replaced):
	case y == m.self:
		m.succeed(now, x)
	case y.fact.Incarnation < x.fact.Incarnation:
		m.end(now, y)
		m.spread(y.fact.Name, "")
		m.hold(x)
	default:
		m.end(now, x)
	}
}

// succeed takes that a process before this one ran at its address.
func (m *Members) succeed(now time.Time, x *member) {
	before := x.record()
	m.end(now, x)
	m.out = append(m.out, Succeeded{Host: before})
	if m.self.fact.Incarnation > before.Incarnation {
		return
	}
	m.self.fact.Incarnation, m.self.since = before.Incarnation+1, now
	m.spread(m.self.fact.Name, "")
	m.out = append(m.out, Rejoined{Self: m.self.record()})
}

// end takes that a host is gone.
func (m *Members) end(now time.Time, x *member) {
	x.fact.Status, x.since = gone, now
	m.release(x)
}

func (m *Members) hold(x *member) {
	if x.fact.Control != "" {
		m.holders[x.fact.Control] = x
	}
}

func (m *Members) release(x *member) {
	if m.holders[x.fact.Control] == x {
		delete(m.holders, x.fact.Control)
	}
}
