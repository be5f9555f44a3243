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

// Bounds in heartbeat intervals.
const (
	suspectBeats     = 3   // unheard before a host is suspected
	confirmBeats     = 1.5 // for a suspicion to be refuted
	unconfirmedBeats = 4   // for a host that was paused to hear whether it still counts
	voteValidBeats   = 8   // that another observer's suspicion counts
	syncBeats        = 4   // least between two Syncs
	maxMismatches    = 2   // beats with another digest before a Sync
	// maxChurnMismatches is the same while this host's own digest changes.
	maxChurnMismatches = 12
	remoteBeats        = 4   // beats between those to another region
	partnerBeats       = 240 // beats with one partner in another region
)

// tombstoneAge is how long a host that is gone is remembered.
const tombstoneAge = time.Hour

// goneNoticeAge is how long a host that is gone is told so.
const goneNoticeAge = 10 * time.Minute

// leaseVoter is the vote of a lapsed lease in the Object API.
const leaseVoter = "\x00lease"

// Output is what Members decides. It is one of the types below.
type Output interface{ output() }

// Send sends a message to a host, on a new connection where Fresh.
type Send struct {
	To            Record
	Message       messenger.Message
	NewConnection bool
}

// RosterChanged is a new roster.
type RosterChanged struct{ Roster Roster }

// Suspected says that this host began to suspect another.
type Suspected struct{ Host Record }

// CheckLease asks whether a host's lease has lapsed: no second observer decides.
type CheckLease struct{ Host Record }

// DeclaredDead says that this host concluded that another is dead.
type DeclaredDead struct{ Host Record }

// PredecessorFound says that a process that ran at this host's address before it is no more.
type PredecessorFound struct{ Host Record }

// Rejoined says that this host was declared dead and is back under a new incarnation.
type Rejoined struct{ Self Record }

// StaleRecord says that the record of a host that is gone is in the Object API again.
type StaleRecord struct{ Host Record }

// Superseded says that another process runs under this host's name.
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

// member is one host, this one included.
type member struct {
	fact         messenger.Fact
	lastDirect   time.Time // last heard by this host itself
	lastSeen     time.Time // last heard, or vouched for
	suspectedAt  time.Time // zero where it is not
	factSince    time.Time // of the fact
	votes        map[string]time.Time
	nameHash     uint64 // of the name
	noConnection bool   // the messenger gets no connection
	unreachable  bool   // counts as out of reach
	mismatches   int    // beats with another digest than ours
}

// Members decides who is alive, as one host sees it. It is pure: time comes in
// as an argument and what is to be done comes out. It is not safe for
// concurrent use.
type Members struct {
	heartbeatInterval time.Duration
	self              *member
	members           map[string]*member // this host included
	sorted            []*member          // the same, by name
	byControl         map[string]*member // those that are not gone, by control address
	roster            Roster
	rebuilds          int  // how often the roster was made since the last tick
	rosterStale       bool // it is to be made at the next tick
	ring              ring
	ringBuiltAt       time.Time // when the ring was last made
	ringStale         bool      // the ring is to be made anew
	digest            uint64
	digestChangedAt   time.Time     // when the digest last changed
	pending           []pendingFact // to be passed on
	lastSpread        time.Time     // when news were last passed on
	// introducedTo is the incarnation of each observer that was sent this host's fact.
	introducedTo     map[string]uint64
	lastTick         time.Time
	lastSync         time.Time
	unconfirmedSince time.Time     // since when this host does not know whether it still counts
	declaredDead     bool          // declared dead, not yet back
	nextRejoin       time.Time     // not before
	rejoinBackoff    time.Duration // until the rejoin after that
	superseded       bool          // another process has the name
	stopped          bool
	beatsSent        int       // heartbeats sent so far
	nextBeat         time.Time // of the next heartbeat
	outputs          []Output
}

// NewMembers returns the members as a host that knows only itself sees them.
func NewMembers(now time.Time, self Record, beat time.Duration) *Members {
	m := &Members{heartbeatInterval: beat, members: map[string]*member{}, byControl: map[string]*member{}, lastTick: now}
	m.self = m.addMember(now, factOf(self))
	m.holdAddress(m.self)
	m.rebuild(now)
	m.ringBuiltAt = time.Time{} // the first hosts that it hears of are told of it at once
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

// Roster is the hosts that count as alive. A host that was declared dead, or
// does not know whether it was, is not on its own roster: it takes no role.
func (m *Members) Roster() Roster { return m.roster }

// Self is this host's record.
func (m *Members) Self() Record { return m.self.record() }

// intervals is a number of heartbeat intervals.
func (m *Members) intervals(beats float64) time.Duration {
	return time.Duration(beats * float64(m.heartbeatInterval))
}

// takeOutputs returns what was decided.
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

// Shutdown takes this host out of the roster, for good.
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

// SetReachable takes the messenger's outcome for a host. Failure: two hosts lose each
// other while the rest hear both, so neither is dead; it shows as a dispatcher
// that an entry can't reach. The entry then goes to the next host in order.
func (m *Members) SetReachable(now time.Time, host string, reachable bool) []Output {
	if x := m.members[host]; x != nil && x != m.self && x.noConnection == reachable {
		x.noConnection = !reachable
		m.updateReachability(now)
	}
	return m.takeOutputs()
}

// ApplyRecords takes the records of the Object API: all of them, or those changed.
// What is missing in the store is no proof of death.
func (m *Members) ApplyRecords(now time.Time, records []Record) []Output {
	var facts []messenger.Fact
	for _, r := range records {
		facts = append(facts, factOf(r))
	}
	m.merge(now, "", facts)
	return m.takeOutputs()
}

// ApplyRestored takes all records of an Object API that came back from an older copy of itself.
func (m *Members) ApplyRestored(now time.Time, records []Record) []Output {
	for _, r := range records {
		if x := m.members[r.Name]; x != nil && x != m.self && x.fact.Status == gone && x.fact.Incarnation >= r.Incarnation {
			m.outputs = append(m.outputs, StaleRecord{Host: r})
		}
	}
	return m.ApplyRecords(now, records)
}

// LeaseExpired takes that a host's lease in the Object API has lapsed, or is gone.
// It is one vote: peers that hear the host outvote it.
func (m *Members) LeaseExpired(now time.Time, host string, incarnation uint64) []Output {
	if x := m.members[host]; x != nil && x.fact.Incarnation == incarnation && !x.suspectedAt.IsZero() {
		x.vote(now, leaseVoter)
	}
	return m.takeOutputs()
}

func (m *member) vote(now time.Time, by string) {
	if m.votes == nil {
		m.votes = map[string]time.Time{}
	}
	m.votes[by] = now
}

func (m *member) markAlive(now time.Time) {
	m.lastSeen, m.suspectedAt, m.votes = now, time.Time{}, nil
}

// newer says whether fact a holds against b.
func newer(a, b messenger.Fact) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Status, b.Status)) > 0
}

// merge takes facts from a host, or from the store (""), and passes on what is
// new. Facts only ever grow, so hosts that hear each other converge whatever
// the order in which facts reach them.
func (m *Members) merge(now time.Time, from string, facts []messenger.Fact) {
	fresh := false
	for _, f := range facts {
		switch x := m.members[f.Name]; {
		case x == m.self:
			m.mergeOwnFact(now, from, f)
		case x == nil && f.Status == gone: // else tombstones would go round for ever
		case x == nil:
			x = m.addMember(now, f)
			m.queueFact(f.Name, from)
			m.assignAddress(now, x)
			fresh = true
		case newer(f, x.fact):
			if f.Control == "" { // a bare death notice
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
			fresh = true
		}
	}
	if fresh {
		m.scheduleRebuild(now)
		m.scheduleSpread(now)
	}
}

// sortedMembers is every member in name order, so that decisions come out the
// same each time.
func (m *Members) sortedMembers() []*member { return m.sorted }
