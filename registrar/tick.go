package registrar

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/messenger"
)

// TicksPerHeartbeat is the number of calls of Tick per heartbeat interval. With more than
// one, a missing heartbeat is detected before the next one is due.
const TicksPerHeartbeat = 4

// Tick sends the heartbeats that are due and checks the observed hosts for missing ones.
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
		m.confirmAlive(now) // no peer has contradicted
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
			m.checkMember(now, x)
		}
	}
	return m.takeOutputs()
}

// sendHeartbeats sends a heartbeat to this host's observers and, every remoteBeats, the
// messages to other hosts.
func (m *Members) sendHeartbeats(now time.Time) {
	m.beatsSent++
	for _, o := range m.ring.observers[m.self.fact.Name] {
		m.send(o, messenger.Heartbeat{Incarnation: m.self.fact.Incarnation, Digest: m.digest})
	}
	if m.beatsSent%remoteBeats == 0 {
		m.sendRemoteHeartbeats()
		m.probeDisconnected()
		m.notifyGone(now)
	}
}

// notifyGone notifies hosts that are gone, one at a time in turn. If a network partition
// splits the hosts into two groups, each group declares the other dead, and neither sends
// anything to the other after the connections are restored. The notification makes both
// sides rejoin, even without the store. Hosts whose address now belongs to another process
// are left out.
func (m *Members) notifyGone(now time.Time) {
	var goneMembers []*member
	for _, x := range m.sortedMembers() {
		if x != m.self && x.fact.Status == gone && m.byControl[x.fact.Control] == nil && x.fact.Control != "" && now.Sub(x.factSince) < goneNoticeAge {
			goneMembers = append(goneMembers, x)
		}
	}
	if len(goneMembers) > 0 {
		x := goneMembers[(m.beatsSent/remoteBeats)%len(goneMembers)]
		m.send(x.fact.Name, messenger.RosterUpdate{Facts: []messenger.Fact{x.fact}})
	}
}

// detectPause detects that this process itself was paused. Afterwards every other host
// looks dead to it, and it may have been declared dead itself. So heartbeats missed during
// the pause count against no host. After a pause of suspectBeats or more this host takes
// no role until a peer confirms that it is alive, or none contradicts for
// unconfirmedBeats.
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

// checkMember suspects an observed host whose heartbeats are missing. It declares the host
// dead if a second voter agrees and a probe on a new connection was not answered.
func (m *Members) checkMember(now time.Time, x *member) {
	switch {
	case now.Sub(x.lastSeen) < m.intervals(suspectBeats):
	case x.suspectedAt.IsZero():
		m.suspect(now, x)
	case now.Sub(x.suspectedAt) < m.intervals(confirmBeats):
	case m.hasSecondVote(now, x):
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

// verifySuspect asks the other observers about a host, and probes the host on a new
// connection, because an open one may have failed silently while new ones work.
func (m *Members) verifySuspect(x *member) {
	for _, o := range m.ring.observers[x.fact.Name] {
		m.send(o, messenger.Suspect{Host: x.fact.Name, Incarnation: x.fact.Incarnation})
	}
	m.outputs = append(m.outputs, Send{To: x.record(), NewConnection: true, Message: m.probe()})
}

// hasSecondVote reports whether another observer or the host's expired lease confirms the
// suspicion. A single host that has lost its own connections must never empty the roster.
func (m *Members) hasSecondVote(now time.Time, x *member) bool {
	for by, at := range x.votes {
		observer := by == leaseVoter || slices.Contains(m.ring.observers[x.fact.Name], by)
		if observer && now.Sub(at) < m.intervals(voteValidBeats) {
			return true
		}
	}
	return false
}

func (m *Members) declareDead(now time.Time, x *member) {
	host := x.record()
	m.markGone(now, x)
	m.outputs = append(m.outputs, DeclaredDead{Host: host})
	m.queueFact(x.fact.Name, x.fact.Name)
	m.spreadPending(now)
	m.rebuild(now)
}

// sendRemoteHeartbeats sends a heartbeat to one host of each other region, chosen by the
// rank of this host in its own, so that the rosters of regions converge without the Object
// API.
func (m *Members) sendRemoteHeartbeats() {
	regions, ownRank := m.regionRanks()
	for _, name := range slices.Sorted(maps.Keys(regions)) {
		hosts := regions[name]
		to := hosts[(ownRank+m.beatsSent/partnerBeats)%len(hosts)]
		m.send(to, messenger.Heartbeat{Incarnation: m.self.fact.Incarnation, Digest: m.digest})
	}
}

// regionRanks returns the hosts of each other region sorted by name, and this host's rank
// by name in its own region.
func (m *Members) regionRanks() (regions map[string][]string, ownRank int) {
	regions = map[string][]string{}
	for _, x := range m.sortedMembers() {
		switch {
		case x.fact.Status == gone:
		case x.fact.Region != m.self.fact.Region:
			regions[x.fact.Region] = append(regions[x.fact.Region], x.fact.Name)
		case x.fact.Name < m.self.fact.Name:
			ownRank++
		}
	}
	return regions, ownRank
}

func (m *Members) probe() messenger.Probe {
	return messenger.Probe{Self: m.self.fact, Digest: m.digest}
}

// probeDisconnected probes the hosts without a connection, one at a time in turn.
func (m *Members) probeDisconnected() {
	var disconnected []*member
	for _, x := range m.sortedMembers() {
		if x.noConnection && x.fact.Status != gone {
			disconnected = append(disconnected, x)
		}
	}
	if len(disconnected) > 0 {
		x := disconnected[(m.beatsSent/remoteBeats)%len(disconnected)]
		m.send(x.fact.Name, m.probe())
	}
}

// updateReachability marks as unreachable the hosts without a connection, and all hosts of
// a region if this host failed to connect to more than one there and to every one that it
// recently tried. Otherwise an entry host that lost a region would try its hosts one by
// one, each until the dial times out.
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
		allFailed := failed[region] > 1 && failed[region] == tried[region]
		x.unreachable = x != m.self && (x.noConnection || allFailed)
	}
	m.rebuild(now)
}
