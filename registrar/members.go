package registrar

import (
	"cmp"
	"time"

	"github.com/cicadawood/cicadawood/messenger"
)

// Statuses of a host in a messenger.Fact.
const (
	alive uint8 = iota
	leaving
	gone // dead or left; final for the incarnation
)

// Time limits and rates, in heartbeat intervals.
const (
	suspectBeats     = 3   // without a heartbeat before a host is suspected
	confirmBeats     = 1.5 // for a suspicion to be refuted
	unconfirmedBeats = 4   // after a pause, for a peer to contradict that this host is alive
	voteValidBeats   = 8   // validity of another observer's vote; also of a direct contact
	syncBeats        = 4   // min between two Syncs
	maxMismatches    = 2   // heartbeats with a different digest before a Sync
	// maxChurnMismatches replaces maxMismatches while this host's own digest changes.
	maxChurnMismatches = 12
	remoteBeats        = 4   // between two heartbeats to another region
	partnerBeats       = 240 // before the next host of another region gets the heartbeats
)

// tombstoneAge is how long a host that is gone is remembered.
const tombstoneAge = time.Hour

// goneNoticeAge is how long after it was marked as gone a host is still notified of that.
const goneNoticeAge = 10 * time.Minute

// leaseVoter is the voter name of an expired lease in the Object API.
const leaseVoter = "\x00lease"

// Output is a decision of Members, to be carried out by the caller. It is one of the types
// below.
type Output interface{ output() }

// Send sends a message to a host, on a new connection if NewConnection is set.
type Send struct {
	To            Record
	Message       messenger.Message
	NewConnection bool
}

// RosterChanged reports a new roster.
type RosterChanged struct{ Roster Roster }

// Suspected reports that this host began to suspect another one.
type Suspected struct{ Host Record }

// CheckLease asks whether a host's lease has expired, as no second observer has decided.
type CheckLease struct{ Host Record }

// DeclaredDead reports that this host declared another one dead.
type DeclaredDead struct{ Host Record }

// PredecessorFound reports a record of an earlier process at this host's address.
type PredecessorFound struct{ Host Record }

// Rejoined reports that this host has a new incarnation: it had been declared dead, or an
// earlier process at its address had a higher incarnation.
type Rejoined struct{ Self Record }

// StaleRecord reports that the record of a host that is gone is in the Object API again.
type StaleRecord struct{ Host Record }

// Superseded reports that another process runs under this host's name.
type Superseded struct{ Self Record }

func (Send) output()             {}
func (RosterChanged) output()    {}
func (Suspected) output()        {}
func (CheckLease) output()       {}
func (DeclaredDead) output()     {}
func (PredecessorFound) output() {}
func (Rejoined) output()         {}
func (StaleRecord) output()      {}
func (Superseded) output()       {}

// member is the state of one host, this one included.
type member struct {
	fact         messenger.Fact
	lastDirect   time.Time            // last message from the host itself
	lastSeen     time.Time            // last sign of life, direct or by a peer's Refute
	suspectedAt  time.Time            // zero if not suspected
	factSince    time.Time            // when fact was set
	votes        map[string]time.Time // of those that agree with the suspicion, by voter
	nameHash     uint64
	noConnection bool // the messenger can't connect to the host
	unreachable  bool // as in Record
	mismatches   int  // successive heartbeats with a digest other than this host's
}

// Members decides which hosts are alive, as seen by one host. It does no I/O: the time is
// an argument, and the actions to take are returned as outputs. It is not safe for
// concurrent use.
type Members struct {
	heartbeatInterval time.Duration
	self              *member
	members           map[string]*member // by name, this host included
	sorted            []*member          // the same, sorted by name
	byControl         map[string]*member // those that are not gone, by control address
	roster            Roster
	rebuilds          int  // rebuilds since the last tick
	rosterStale       bool // the roster is rebuilt at the next tick
	ring              ring
	ringBuiltAt       time.Time
	ringStale         bool // the ring must be rebuilt
	digest            uint64
	digestChangedAt   time.Time
	pending           []pendingFact // facts to forward
	lastSpread        time.Time     // when pending facts were last sent
	// introducedTo is the incarnation of each observer to which this host's fact was sent.
	introducedTo     map[string]uint64
	lastTick         time.Time
	lastSync         time.Time
	unconfirmedSince time.Time     // after a pause, until it is known that this host still counts as alive
	declaredDead     bool          // and has not rejoined yet
	nextRejoin       time.Time     // earliest time
	rejoinBackoff    time.Duration // from the next rejoin to the one after it
	superseded       bool          // another process has this host's name
	stopped          bool
	beatsSent        int // heartbeats sent so far
	nextBeat         time.Time
	outputs          []Output
}

// NewMembers returns the Members of a host that knows no other host yet.
func NewMembers(now time.Time, self Record, heartbeatInterval time.Duration) *Members {
	m := &Members{heartbeatInterval: heartbeatInterval, members: map[string]*member{}, byControl: map[string]*member{}, lastTick: now}
	m.self = m.addMember(now, factOf(self))
	m.holdAddress(m.self)
	m.rebuild(now)
	m.ringBuiltAt = time.Time{} // so that the first hosts that it learns of get its fact without delay
	return m
}

func factOf(r Record) messenger.Fact {
	f := messenger.Fact{Name: r.Name, Zone: r.Zone, Region: r.Region, Control: r.Control, Admin: r.Admin, Incarnation: r.Incarnation, Weight: r.Weight}
	if r.Leaving {
		f.Status = leaving
	}
	return f
}

func (m *member) record() Record {
	f := m.fact
	return Record{Name: f.Name, Zone: f.Zone, Region: f.Region, Control: f.Control, Admin: f.Admin, Incarnation: f.Incarnation, Weight: f.Weight, Leaving: f.Status == leaving, Unreachable: m.unreachable}
}

// Roster returns the hosts that count as alive. A host that was declared dead, or that does
// not know whether it was, is not on its own roster, so it takes no role.
func (m *Members) Roster() Roster { return m.roster }

// Self returns this host's record.
func (m *Members) Self() Record { return m.self.record() }

// intervals returns the length of a number of heartbeat intervals.
func (m *Members) intervals(beats float64) time.Duration {
	return time.Duration(beats * float64(m.heartbeatInterval))
}

// takeOutputs returns the pending outputs and clears them.
func (m *Members) takeOutputs() []Output {
	out := m.outputs
	m.outputs = nil
	return out
}

func (m *Members) send(to string, msg messenger.Message) {
	if x := m.members[to]; x != nil && x != m.self {
		m.outputs = append(m.outputs, Send{To: x.record(), Message: msg})
	}
}

// Leave marks this host as leaving: it takes no new roles.
func (m *Members) Leave(now time.Time) []Output {
	m.setOwnStatus(now, leaving)
	return m.takeOutputs()
}

// Shutdown removes this host from the roster for good.
func (m *Members) Shutdown(now time.Time) []Output {
	m.stopped = true
	m.setOwnStatus(now, gone)
	return m.takeOutputs()
}

func (m *Members) setOwnStatus(now time.Time, status uint8) {
	m.self.fact.Status, m.self.factSince = status, now
	m.queueFact(m.self.fact.Name, "")
	m.spreadPending(now)
	m.rebuild(now)
}

// SetReachable records whether the messenger could reach a host. Two hosts may lose their
// connection while all others still reach both. Neither is dead then, but an entry host may
// be unable to reach a dispatcher; it goes to the next host in order instead.
func (m *Members) SetReachable(now time.Time, host string, reachable bool) []Output {
	if x := m.members[host]; x != nil && x != m.self && x.noConnection == reachable {
		x.noConnection = !reachable
		m.updateReachability(now)
	}
	return m.takeOutputs()
}

// SetAddressReachable is SetReachable for the hosts with a control address. Those that are off
// the roster count too: they may rejoin, and a connection is reported only as it changes.
func (m *Members) SetAddressReachable(now time.Time, address string, reachable bool) []Output {
	var out []Output
	for _, x := range m.sortedMembers() {
		if x.fact.Control == address {
			out = append(out, m.SetReachable(now, x.fact.Name, reachable)...)
		}
	}
	return out
}

// ApplyRecords applies records of the Object API: all of them, or those that changed. A
// missing record does not prove that its host is dead.
func (m *Members) ApplyRecords(now time.Time, records []Record) []Output {
	var facts []messenger.Fact
	for _, r := range records {
		facts = append(facts, factOf(r))
	}
	m.merge(now, "", facts)
	return m.takeOutputs()
}

// ApplyRestored applies all records of an Object API that was restored from an older
// snapshot.
func (m *Members) ApplyRestored(now time.Time, records []Record) []Output {
	for _, r := range records {
		if x := m.members[r.Name]; x != nil && x != m.self && x.fact.Status == gone && x.fact.Incarnation >= r.Incarnation {
			m.outputs = append(m.outputs, StaleRecord{Host: r})
		}
	}
	return m.ApplyRecords(now, records)
}

// LeaseExpired records that a host's lease in the Object API has expired or is missing. It
// counts as one vote; a peer that receives the host's heartbeats refutes the suspicion.
func (m *Members) LeaseExpired(now time.Time, host string, incarnation uint64) []Output {
	if x := m.members[host]; x != nil && x.fact.Incarnation == incarnation && !x.suspectedAt.IsZero() {
		x.addVote(now, leaseVoter)
	}
	return m.takeOutputs()
}

func (m *member) addVote(now time.Time, by string) {
	if m.votes == nil {
		m.votes = map[string]time.Time{}
	}
	m.votes[by] = now
}

func (m *member) markAlive(now time.Time) {
	m.lastSeen, m.suspectedAt, m.votes = now, time.Time{}, nil
}

// newer reports whether fact a supersedes b.
func newer(a, b messenger.Fact) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Status, b.Status)) > 0
}

// merge applies facts from a host, or from the store if from is empty, and forwards those
// that are new. Those out of range are skipped. A fact is only ever replaced by a newer one, so connected hosts converge
// regardless of the order in which they receive facts.
func (m *Members) merge(now time.Time, from string, facts []messenger.Fact) {
	changed := false
	for _, f := range facts {
		switch x := m.members[f.Name]; {
		case !inRange(f):
		case x == m.self:
			m.mergeOwnFact(now, from, f)
		case x == nil && f.Status == gone: // ignored, otherwise hosts would send each other tombstones forever
		case x == nil:
			x = m.addMember(now, f)
			m.queueFact(f.Name, from)
			m.assignAddress(now, x)
			changed = true
		case newer(f, x.fact):
			if f.Control == "" { // notice without addresses that the host is gone
				f.Zone, f.Region, f.Control, f.Admin = x.fact.Zone, x.fact.Region, x.fact.Control, x.fact.Admin
			}
			if f.Incarnation > x.fact.Incarnation {
				x.markAlive(now)
			}
			if f.Control != x.fact.Control {
				m.releaseAddress(x)
			}
			x.fact, x.factSince = f, now
			m.queueFact(f.Name, from)
			m.assignAddress(now, x)
			changed = true
		}
	}
	if changed {
		m.scheduleRebuild(now)
		m.scheduleSpread(now)
	}
}

// sortedMembers returns all members sorted by name, so that the order of decisions is
// deterministic.
func (m *Members) sortedMembers() []*member { return m.sorted }
