package registrar

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/messenger"
)

// TicksPerHeartbeat is how often Tick is called in a heartbeat interval: a host that
// is not heard is found out sooner than its observers' heartbeats are due.
const TicksPerHeartbeat = 4

// Tick sends heartbeats that are due and judges those that did not come.
func (m *Members) Tick(now time.Time) []Output {
	if m.stopped || m.superseded {
		return nil
	}
	m.detectPause(now)
	m.lastTick = now
	if m.rosterStale {
		m.rebuild(now)
	}
	m.rebuilds = 0
	m.rebuildRing(now)
	m.spreadPending(now)
	if !m.unconfirmedSince.IsZero() && now.Sub(m.unconfirmedSince) > m.intervals(unconfirmedBeats) {
		m.confirmAlive(now) // nobody contradicts
	}
	if !now.Before(m.nextBeat) {
		if m.nextBeat = m.nextBeat.Add(m.heartbeatInterval); m.nextBeat.Before(now) {
			m.nextBeat = now.Add(m.heartbeatInterval)
		}
		m.sendHeartbeats(now)
	}
	if m.declaredDead {
		m.rejoin(now, "")
	}
	for _, host := range m.ring.observed {
		if x := m.members[host]; x != nil && x.fact.Status != gone {
			m.check(now, x)
		}
	}
	return m.takeOutputs()
}

func (m *Members) sendHeartbeats(now time.Time) {
	m.beatsSent++
	for _, o := range m.ring.observers[m.self.fact.Name] {
		m.send(o, messenger.Beat{Incarnation: m.self.fact.Incarnation, Digest: m.digest})
	}
	if m.beatsSent%remoteBeats == 0 {
		m.sendRemoteHeartbeats()
		m.probeDisconnected()
		m.notifyGone(now)
	}
}

// notifyGone tells one host that is gone that it is, in turn. Failure: hosts lost
// each other in two groups, each of which declared the other dead. When the
// connections work again nobody would speak to the other side; this way both
// rejoin, also without the store. Where another process has the address since, there is
// nobody to tell.
func (m *Members) notifyGone(now time.Time) {
	var dead []*member
	for _, x := range m.sortedMembers() {
		if x != m.self && x.fact.Status == gone && m.byControl[x.fact.Control] == nil && x.fact.Control != "" && now.Sub(x.factSince) < goneNoticeAge {
			dead = append(dead, x)
		}
	}
	if len(dead) > 0 {
		x := dead[(m.beatsSent/remoteBeats)%len(dead)]
		m.send(x.fact.Name, messenger.News{Facts: []messenger.Fact{x.fact}})
	}
}

// detectPause finds out that this host itself stood still. Failure: the process was
// frozen; on return every other host looks dead to it, and it may have been
// declared dead itself. So what it did not hear counts for nothing, and it takes
// no role until a peer says that it still counts.
func (m *Members) detectPause(now time.Time) {
	pause := now.Sub(m.lastTick) - m.heartbeatInterval/TicksPerHeartbeat
	if pause < m.heartbeatInterval {
		return
	}
	for _, x := range m.members {
		x.lastSeen = x.lastSeen.Add(pause)
		x.lastDirect = time.Time{}
		if !x.suspectedAt.IsZero() {
			x.suspectedAt, x.votes = time.Time{}, nil
		}
	}
	if pause < m.intervals(suspectBeats) || m.alone() {
		return
	}
	m.unconfirmedSince = now
	m.rebuild(now)
	for _, o := range m.ring.observers[m.self.fact.Name] {
		m.send(o, m.probe())
	}
}

// check suspects an observed host that is not heard, and concludes when a second
// voter agrees and a try on a new connection brought no answer.
func (m *Members) check(now time.Time, x *member) {
	switch {
	case now.Sub(x.lastSeen) < m.intervals(suspectBeats):
	case x.suspectedAt.IsZero():
		m.suspect(now, x)
	case now.Sub(x.suspectedAt) < m.intervals(confirmBeats):
	case m.seconded(now, x):
		m.declareDead(now, x)
	case now.Sub(x.suspectedAt) >= m.intervals(2*confirmBeats):
		m.outputs = append(m.outputs, CheckLease{Host: x.record()})
		m.verifySuspect(x)
		x.suspectedAt = now
	}
}

func (m *Members) suspect(now time.Time, x *member) {
	x.suspectedAt = now
	m.outputs = append(m.outputs, Suspected{Host: x.record()})
	m.verifySuspect(x)
}

// verifySuspect asks the other observers, and the host itself on a new connection: an
// open one may have gone silent while new ones work.
func (m *Members) verifySuspect(x *member) {
	for _, o := range m.ring.observers[x.fact.Name] {
		m.send(o, messenger.Suspect{Host: x.fact.Name, Incarnation: x.fact.Incarnation})
	}
	m.outputs = append(m.outputs, Send{To: x.record(), NewConnection: true, Message: m.probe()})
}

// seconded says whether anyone besides this host hears the suspect no more:
// another observer, or its lease. One host that lost its own connections must
// never empty the roster.
func (m *Members) seconded(now time.Time, x *member) bool {
	for by, at := range x.votes {
		observer := by == leaseVoter || slices.Contains(m.ring.observers[x.fact.Name], by)
		if observer && now.Sub(at) < m.intervals(voteValidBeats) {
			return true
		}
	}
	return false
}

func (m *Members) declareDead(now time.Time, x *member) {
	dead := x.record()
	m.markGone(now, x)
	m.outputs = append(m.outputs, DeclaredDead{Host: dead})
	m.queueFact(x.fact.Name, x.fact.Name)
	m.spreadPending(now)
	m.rebuild(now)
}

// sendRemoteHeartbeats sends a heartbeat to one host of each other region, in pairs by
// rank, so that rosters of regions converge without the Object API.
func (m *Members) sendRemoteHeartbeats() {
	regions, mine := m.regionRanks()
	for _, name := range slices.Sorted(maps.Keys(regions)) {
		hosts := regions[name]
		to := hosts[(mine+m.beatsSent/partnerBeats)%len(hosts)]
		m.send(to, messenger.Beat{Incarnation: m.self.fact.Incarnation, Digest: m.digest})
	}
}

// regionRanks is the hosts of each other region in name order, and this host's place
// in its own.
func (m *Members) regionRanks() (regions map[string][]string, mine int) {
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

// probeDisconnected tries one of the hosts that can't be reached, in turn.
func (m *Members) probeDisconnected() {
	var lost []*member
	for _, x := range m.sortedMembers() {
		if x.noConnection && x.fact.Status != gone {
			lost = append(lost, x)
		}
	}
	if len(lost) > 0 {
		x := lost[(m.beatsSent/remoteBeats)%len(lost)]
		m.send(x.fact.Name, m.probe())
	}
}

// updateReachability decides which hosts count as out of reach: those without a connection;
// and all hosts of a region, or all hosts, once the ones that this host tried
// there all failed. Else an entry that lost a region would try its hosts one by
// one, each for a dial's timeout.
func (m *Members) updateReachability(now time.Time) {
	tried, failed := map[string]int{}, map[string]int{}
	for _, x := range m.members {
		if x == m.self || x.fact.Status == gone {
			continue
		}
		if recent := now.Sub(x.lastDirect) < m.intervals(voteValidBeats); recent || x.noConnection {
			tried[x.fact.Region]++
		}
		if x.noConnection {
			failed[x.fact.Region]++
		}
	}
	for _, x := range m.members {
		region := x.fact.Region
		whole := failed[region] > 1 && failed[region] == tried[region]
		x.unreachable = x != m.self && (x.noConnection || whole)
	}
	m.rebuild(now)
}
