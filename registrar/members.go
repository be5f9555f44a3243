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
	suspectBeats = 3   // unheard before a host is suspected
	confirmBeats = 1.5 // for a suspicion to be refuted
	doubtBeats   = 4   // for a host that was paused to hear whether it still counts
	voteBeats    = 8   // that another observer's suspicion counts
	syncBeats    = 4   // least between two Syncs
	mismatches   = 2   // beats with another digest before a Sync
	// churnMismatches is the same while this host's own digest changes.
	churnMismatches = 12
	remoteEvery     = 4   // beats between those to another region
	partnerTurns    = 240 // beats with one partner in another region
)

// tombstoneAge is how long a host that is gone is remembered.
const tombstoneAge = time.Hour

// tellAge is how long a host that is gone is told so.
const tellAge = 10 * time.Minute

// leaseVoter is the vote of a lapsed lease in the Object API.
const leaseVoter = "\x00lease"

// Output is what Members decides. It is one of the types below.
type Output interface{ output() }

// Send sends a message to a host, on a new connection where Fresh.
type Send struct {
	To      Record
	Message messenger.Message
	Fresh   bool
}

// Changed is a new roster.
type Changed struct{ Roster Roster }

// Suspected says that this host began to suspect another.
type Suspected struct{ Host Record }

// Doubted asks whether a host's lease has lapsed: no second observer decides.
type Doubted struct{ Host Record }

// Died says that this host concluded that another is dead.
type Died struct{ Host Record }

// Succeeded says that a process that ran at this host's address before it is no more.
type Succeeded struct{ Host Record }

// Rejoined says that this host was declared dead and is back under a new incarnation.
type Rejoined struct{ Self Record }

// Returned says that the record of a host that is gone is in the Object API again.
type Returned struct{ Host Record }

// Superseded says that another process runs under this host's name.
type Superseded struct{ Self Record }

func (Send) output()       {}
func (Changed) output()    {}
func (Suspected) output()  {}
func (Doubted) output()    {}
func (Died) output()       {}
func (Succeeded) output()  {}
func (Rejoined) output()   {}
func (Returned) output()   {}
func (Superseded) output() {}

// member is one host, this one included.
type member struct {
	fact      messenger.Fact
	direct    time.Time // last heard by this host itself
	heard     time.Time // last heard, or vouched for
	suspected time.Time // zero where it is not
	since     time.Time // of the fact
	votes     map[string]time.Time
	hash      uint64 // of the name
	unreached bool   // the messenger gets no connection
	parted    bool   // counts as out of reach
	mismatch  int    // beats with another digest than ours
}

// Members decides who is alive, as one host sees it. It is pure: time comes in
// as an argument and what is to be done comes out. It is not safe for
// concurrent use.
type Members struct {
	beat        time.Duration
	self        *member
	members     map[string]*member // this host included
	sorted      []*member          // the same, by name
	holders     map[string]*member // those that are not gone, by control address
	roster      Roster
	rebuilds    int  // how often the roster was made since the last tick
	rosterStale bool // it is to be made at the next tick
	ring        ring
	ringAt      time.Time // when the ring was last made
	ringStale   bool      // the ring is to be made anew
	digest      uint64
	digestAt    time.Time // when the digest last changed
	pending     []news    // to be passed on
	passedAt    time.Time // when news were last passed on
	// introduced is the incarnation of each observer that was sent this host's fact.
	introduced map[string]uint64
	ticked     time.Time
	synced     time.Time
	doubt      time.Time     // since when this host does not know whether it still counts
	outcast    bool          // declared dead, not yet back
	rejoinAt   time.Time     // not before
	patience   time.Duration // until the rejoin after that
	replaced   bool          // another process has the name
	ended      bool
	turn       int       // heartbeats sent so far
	due        time.Time // of the next heartbeat
	out        []Output
}

// NewMembers returns the members as a host that knows only itself sees them.
func NewMembers(now time.Time, self Record, beat time.Duration) *Members {
	m := &Members{beat: beat, members: map[string]*member{}, holders: map[string]*member{}, ticked: now}
	m.self = m.enter(now, factOf(self))
	m.hold(m.self)
	m.rebuild(now)
	m.ringAt = time.Time{} // the first hosts that it hears of are told of it at once
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
	return Record{Name: f.Name, Zone: f.Zone, Region: f.Region, Control: f.Control, Admin: f.Admin, Incarnation: f.Incarnation, Weight: f.Weight, Leaving: f.Status == leaving, Unreachable: m.parted}
}

// Roster is the hosts that count as alive. A host that was declared dead, or
// does not know whether it was, is not on its own roster: it takes no role.
func (m *Members) Roster() Roster { return m.roster }

// Self is this host's record.
func (m *Members) Self() Record { return m.self.record() }

// after is a number of heartbeat intervals.
func (m *Members) after(beats float64) time.Duration {
	return time.Duration(beats * float64(m.beat))
}

// flush returns what was decided.
func (m *Members) flush() []Output {
	out := m.out
	m.out = nil
	return out
}

func (m *Members) send(to string, msg messenger.Message) {
	if x := m.members[to]; x != nil && x != m.self {
		m.out = append(m.out, Send{To: x.record(), Message: msg})
	}
}

// Leave marks this host as leaving: it takes no new roles.
func (m *Members) Leave(now time.Time) []Output {
	m.own(now, leaving)
	return m.flush()
}

// Left takes this host out of the roster, for good.
func (m *Members) Left(now time.Time) []Output {
	m.ended = true
	m.own(now, gone)
	return m.flush()
}

func (m *Members) own(now time.Time, status uint8) {
	m.self.fact.Status, m.self.since = status, now
	m.spread(m.self.fact.Name, "")
	m.pass(now)
	m.rebuild(now)
}

// Reach takes the messenger's outcome for a host. Failure: two hosts lose each
// other while the rest hear both, so neither is dead; it shows as a dispatcher
// that an entry can't reach. The entry then goes to the next host in order.
func (m *Members) Reach(now time.Time, host string, reachable bool) []Output {
	if x := m.members[host]; x != nil && x != m.self && x.unreached == reachable {
		x.unreached = !reachable
		m.part(now)
	}
	return m.flush()
}

// Stored takes the records of the Object API: all of them, or those changed.
// What is missing in the store is no proof of death.
func (m *Members) Stored(now time.Time, records []Record) []Output {
	var facts []messenger.Fact
	for _, r := range records {
		facts = append(facts, factOf(r))
	}
	m.merge(now, "", facts)
	return m.flush()
}

// Restored takes all records of an Object API that came back from an older copy of itself.
func (m *Members) Restored(now time.Time, records []Record) []Output {
	for _, r := range records {
		if x := m.members[r.Name]; x != nil && x != m.self && x.fact.Status == gone && x.fact.Incarnation >= r.Incarnation {
			m.out = append(m.out, Returned{Host: r})
		}
	}
	return m.Stored(now, records)
}

// Lapsed takes that a host's lease in the Object API has lapsed, or is gone.
// It is one vote: peers that hear the host outvote it.
func (m *Members) Lapsed(now time.Time, host string, incarnation uint64) []Output {
	if x := m.members[host]; x != nil && x.fact.Incarnation == incarnation && !x.suspected.IsZero() {
		x.vote(now, leaseVoter)
	}
	return m.flush()
}

func (m *member) vote(now time.Time, by string) {
	if m.votes == nil {
		m.votes = map[string]time.Time{}
	}
	m.votes[by] = now
}

func (m *member) trust(now time.Time) {
	m.heard, m.suspected, m.votes = now, time.Time{}, nil
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
			m.hearOfSelf(now, from, f)
		case x == nil && f.Status == gone: // else tombstones would go round for ever
		case x == nil:
			x = m.enter(now, f)
			m.spread(f.Name, from)
			m.settle(now, x)
			fresh = true
		case newer(f, x.fact):
			if f.Control == "" { // a bare death notice
				f.Zone, f.Region, f.Control, f.Admin = x.fact.Zone, x.fact.Region, x.fact.Control, x.fact.Admin
			}
			if f.Incarnation > x.fact.Incarnation {
				x.trust(now)
			}
			if f.Control != x.fact.Control {
				m.release(x)
			}
			x.fact, x.since = f, now
			m.spread(f.Name, from)
			m.settle(now, x)
			fresh = true
		}
	}
	if fresh {
		m.renew(now)
		m.passSoon(now)
	}
}

// sortedMembers is every member in name order, so that decisions come out the
// same each time.
func (m *Members) sortedMembers() []*member { return m.sorted }
