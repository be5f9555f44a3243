package registrar

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/messenger"
)

// TicksPerBeat is how often Tick is called in a heartbeat interval: a host that
// is not heard is found out sooner than its observers' heartbeats are due.
const TicksPerBeat = 4

// Tick sends heartbeats that are due and judges those that did not come.
func (m *Members) Tick(now time.Time) []Output {
	if m.ended || m.replaced {
		return nil
	}
	m.resume(now)
	m.ticked = now
	if m.rosterStale {
		m.rebuild(now)
	}
	m.rebuilds = 0
	m.connect(now)
	m.pass(now)
	if !m.doubt.IsZero() && now.Sub(m.doubt) > m.after(doubtBeats) {
		m.confirmed(now) // nobody contradicts
	}
	if !now.Before(m.due) {
		if m.due = m.due.Add(m.beat); m.due.Before(now) {
			m.due = now.Add(m.beat)
		}
		m.sendBeats(now)
	}
	if m.outcast {
		m.rejoin(now, "")
	}
	for _, host := range m.ring.observed {
		if x := m.members[host]; x != nil && x.fact.Status != gone {
			m.judge(now, x)
		}
	}
	return m.flush()
}

func (m *Members) sendBeats(now time.Time) {
	m.turn++
	for _, o := range m.ring.observers[m.self.fact.Name] {
		m.send(o, messenger.Heartbeat{Incarnation: m.self.fact.Incarnation, Digest: m.digest})
	}
	if m.turn%remoteEvery == 0 {
		m.beatAbroad()
		m.probeUnreached()
		m.tellGone(now)
	}
}

// tellGone tells one host that is gone that it is, in turn. Failure: hosts lost
// each other in two groups, each of which declared the other dead. When the
// connections work again nobody would speak to the other side; this way both
// rejoin, also without the store. Where another process has the address since, there is
// nobody to tell.
func (m *Members) tellGone(now time.Time) {
	var dead []*member
	for _, x := range m.sortedMembers() {
		if x != m.self && x.fact.Status == gone && m.holders[x.fact.Control] == nil && x.fact.Control != "" && now.Sub(x.since) < tellAge {
			dead = append(dead, x)
		}
	}
	if len(dead) > 0 {
		x := dead[(m.turn/remoteEvery)%len(dead)]
		m.send(x.fact.Name, messenger.RosterUpdate{Facts: []messenger.Fact{x.fact}})
	}
}

// resume finds out that this host itself stood still. Failure: the process was
// frozen; on return every other host looks dead to it, and it may have been
// declared dead itself. So what it did not hear counts for nothing, and it takes
// no role until a peer says that it still counts.
func (m *Members) resume(now time.Time) {
	pause := now.Sub(m.ticked) - m.beat/TicksPerBeat
	if pause < m.beat {
		return
	}
	for _, x := range m.members {
		x.heard = x.heard.Add(pause)
		x.direct = time.Time{}
		if !x.suspected.IsZero() {
			x.suspected, x.votes = time.Time{}, nil
		}
	}
	if pause < m.after(suspectBeats) || m.alone() {
		return
	}
	m.doubt = now
	m.rebuild(now)
	for _, o := range m.ring.observers[m.self.fact.Name] {
		m.send(o, m.probe())
	}
}

// judge suspects an observed host that is not heard, and concludes when a second
// voter agrees and a try on a new connection brought no answer.
func (m *Members) judge(now time.Time, x *member) {
	switch {
	case now.Sub(x.heard) < m.after(suspectBeats):
	case x.suspected.IsZero():
		m.suspect(now, x)
	case now.Sub(x.suspected) < m.after(confirmBeats):
	case m.agreed(now, x):
		m.conclude(now, x)
	case now.Sub(x.suspected) >= m.after(2*confirmBeats):
		m.out = append(m.out, Doubted{Host: x.record()})
		m.accuse(x)
		x.suspected = now
	}
}

func (m *Members) suspect(now time.Time, x *member) {
	x.suspected = now
	m.out = append(m.out, Suspected{Host: x.record()})
	m.accuse(x)
}

// accuse asks the other observers, and the host itself on a new connection: an
// open one may have gone silent while new ones work.
func (m *Members) accuse(x *member) {
	for _, o := range m.ring.observers[x.fact.Name] {
		m.send(o, messenger.Suspect{Host: x.fact.Name, Incarnation: x.fact.Incarnation})
	}
	m.out = append(m.out, Send{To: x.record(), Fresh: true, Message: m.probe()})
}

// agreed says whether anyone besides this host hears the suspect no more:
// another observer, or its lease. One host that lost its own connections must
// never empty the roster.
func (m *Members) agreed(now time.Time, x *member) bool {
	for by, at := range x.votes {
		observer := by == leaseVoter || slices.Contains(m.ring.observers[x.fact.Name], by)
		if observer && now.Sub(at) < m.after(voteBeats) {
			return true
		}
	}
	return false
}

func (m *Members) conclude(now time.Time, x *member) {
	dead := x.record()
	m.end(now, x)
	m.out = append(m.out, Died{Host: dead})
	m.spread(x.fact.Name, x.fact.Name)
	m.pass(now)
	m.rebuild(now)
}

// beatAbroad sends a heartbeat to one host of each other region, in pairs by
// rank, so that rosters of regions converge without the Object API.
func (m *Members) beatAbroad() {
	regions, mine := m.ranks()
	for _, name := range slices.Sorted(maps.Keys(regions)) {
		hosts := regions[name]
		to := hosts[(mine+m.turn/partnerTurns)%len(hosts)]
		m.send(to, messenger.Heartbeat{Incarnation: m.self.fact.Incarnation, Digest: m.digest})
	}
}

// ranks is the hosts of each other region in name order, and this host's place
// in its own.
func (m *Members) ranks() (regions map[string][]string, mine int) {
	regions = map[string][]string{}
	for _, x := range m.sortedMembers() {
		switch {
		case x.fact.Status == gone:
		case x.fact.Region != m.self.fact.Region:
			regions[x.fact.Region] = append(regions[x.fact.Region], x.fact.Name)
		case x.fact.Name < m.self.fact.Name:
			mine++
		}
	}
	return regions, mine
}

func (m *Members) probe() messenger.Probe {
	return messenger.Probe{Self: m.self.fact, Digest: m.digest}
}

// probeUnreached tries one of the hosts that can't be reached, in turn.
func (m *Members) probeUnreached() {
	var lost []*member
	for _, x := range m.sortedMembers() {
		if x.unreached && x.fact.Status != gone {
			lost = append(lost, x)
		}
	}
	if len(lost) > 0 {
		x := lost[(m.turn/remoteEvery)%len(lost)]
		m.send(x.fact.Name, m.probe())
	}
}

// part decides which hosts count as out of reach: those without a connection;
// and all hosts of a region, or all hosts, once the ones that this host tried
// there all failed. Else an entry that lost a region would try its hosts one by
// one, each for a dial's timeout.
func (m *Members) part(now time.Time) {
	tried, failed := map[string]int{}, map[string]int{}
	for _, x := range m.members {
		if x == m.self || x.fact.Status == gone {
			continue
		}
		if recent := now.Sub(x.direct) < m.after(voteBeats); recent || x.unreached {
			tried[x.fact.Region]++
		}
		if x.unreached {
			failed[x.fact.Region]++
		}
	}
	for _, x := range m.members {
		region := x.fact.Region
		whole := failed[region] > 1 && failed[region] == tried[region]
		x.parted = x != m.self && (x.unreached || whole)
	}
	m.rebuild(now)
}
