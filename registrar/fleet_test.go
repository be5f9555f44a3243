package registrar_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/registrar"
)

const (
	beat    = 250 * time.Millisecond
	lease   = 5 * time.Second
	latency = 2 * time.Millisecond
	// detectionBound is the time within which all hosts must detect a failed one.
	detectionBound = 1300 * time.Millisecond
)

// node simulates a host around real Members.
type node struct {
	m               *registrar.Members
	up              bool
	frozen          bool
	queued          []func() // inputs that arrived while it was frozen
	roster          registrar.Roster
	sent            int
	ownIncarnations []uint64      // its own incarnation on each of its rosters, 0 if absent
	suspicions      int           // suspicions that it began
	stoppedAt       time.Duration // when it went down or was frozen
}

// fleet simulates hosts, links and the store in virtual time.
type fleet struct {
	now      time.Duration
	agenda   faker.EventQueue
	names    []string
	previous []string // names of processes that left their records behind
	nodes    map[string]*node
	random   *rand.Rand

	cut        map[string]bool // by "from>to"
	delay      time.Duration
	duplicated bool // frames may arrive twice, and out of order

	records    map[string]registrar.Record
	storeDown  bool
	storeDelay time.Duration
	watchGap   bool // watches lose changes; lists don't

	links   map[string]bool // by "from>to", of all processes that ever sent anything
	deaths  []string        // host@incarnation, as declared by others
	rejoins int
}

func timeAt(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

// newFleet starts hosts spread over zones and regions, and runs them until they have
// converged.
func newFleet(hosts, zones, regions int) *fleet {
	f := &fleet{nodes: map[string]*node{}, random: rand.New(rand.NewPCG(1, 2)), cut: map[string]bool{}, delay: latency, records: map[string]registrar.Record{}, links: map[string]bool{}}
	for i := range hosts {
		name := fmt.Sprintf("h%02d", i)
		f.names = append(f.names, name)
		f.records[name] = registrar.Record{Name: name, Zone: fmt.Sprint("z", i%zones), Region: fmt.Sprint("r", i%zones%regions), Control: name, Incarnation: 1}
	}
	for _, name := range f.names {
		f.start(f.records[name])
	}
	f.after(0, f.relist)
	f.run(3 * time.Second)
	return f
}

func (f *fleet) start(self registrar.Record) {
	n := &node{up: true, m: registrar.NewMembers(timeAt(f.now), self, beat)}
	n.roster = n.m.Roster()
	f.nodes[self.Name] = n
	f.storeRecord(self)
	f.input(n, self.Name, func(now time.Time) []registrar.Output { return n.m.ApplyRecords(now, f.storedRecords()) })
	f.after(time.Duration(f.random.Int64N(int64(beat))), func() { f.tick(n, self.Name) })
}

func (f *fleet) storedRecords() []registrar.Record {
	var out []registrar.Record
	for _, name := range slices.Concat(f.names, f.previous) {
		if r, ok := f.records[name]; ok && !f.storeDown {
			out = append(out, r)
		}
	}
	return out
}

// relist has every host list the records periodically, after it has restored its own
// record if the store has lost it, as the recorder does.
func (f *fleet) relist() {
	for _, name := range f.names {
		if n := f.nodes[name]; n.up && !n.frozen && f.records[name].Incarnation < n.m.Self().Incarnation {
			f.storeRecord(n.m.Self())
		}
	}
	for _, name := range f.names {
		if n := f.nodes[name]; n.up && !f.storeDown {
			f.input(n, name, func(now time.Time) []registrar.Output { return n.m.ApplyRecords(now, f.storedRecords()) })
		}
	}
	f.after(5*time.Second, f.relist)
}

// storeRecord writes a record and notifies the watches of the other hosts.
func (f *fleet) storeRecord(r registrar.Record) {
	if f.storeDown {
		f.after(time.Second, func() { f.storeRecord(r) })
		return
	}
	if f.records[r.Name].Incarnation > r.Incarnation {
		return
	}
	f.records[r.Name] = r
	if f.watchGap {
		return
	}
	for _, name := range f.names {
		f.after(f.storeDelay+latency, func() {
			if n := f.nodes[name]; n != nil && n.up && !f.storeDown {
				f.input(n, name, func(now time.Time) []registrar.Output { return n.m.ApplyRecords(now, []registrar.Record{r}) })
			}
		})
	}
}

func (f *fleet) after(d time.Duration, do func()) {
	f.agenda.Add(timeAt(f.now+d), do)
}

func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for at, do, ok := f.agenda.Next(timeAt(end)); ok; at, do, ok = f.agenda.Next(timeAt(end)) {
		f.now = at.Sub(timeAt(0))
		do()
	}
	f.now = end
}

func (f *fleet) tick(n *node, name string) {
	if !n.up {
		return
	}
	if !n.frozen {
		f.input(n, name, n.m.Tick)
	}
	f.after(beat/registrar.TicksPerHeartbeat, func() { f.tick(n, name) })
}

// input applies an input to a host, or queues it until the host thaws.
func (f *fleet) input(n *node, name string, in func(time.Time) []registrar.Output) {
	switch {
	case !n.up:
	case n.frozen:
		n.queued = append(n.queued, func() { f.input(n, name, in) })
	default:
		f.execute(n, name, in(timeAt(f.now)))
	}
}

func (f *fleet) execute(n *node, name string, out []registrar.Output) {
	for _, o := range out {
		switch o := o.(type) {
		case registrar.Send:
			n.sent++
			f.send(n, name, o.To.Name, o.Message)
		case registrar.RosterChanged:
			n.roster = o.Roster
			self, _ := o.Roster.Find(name)
			n.ownIncarnations = append(n.ownIncarnations, self.Incarnation)
		case registrar.Suspected:
			n.suspicions++
		case registrar.CheckLease:
			checkedAt := f.now
			f.after(lease, func() { f.expireLease(n, name, o.Host, checkedAt) })
		case registrar.DeclaredDead:
			f.deaths = append(f.deaths, fmt.Sprintf("%s@%d", o.Host.Name, o.Host.Incarnation))
			if r := f.records[o.Host.Name]; r.Incarnation <= o.Host.Incarnation && !f.storeDown {
				delete(f.records, o.Host.Name)
			}
		case registrar.PredecessorFound:
			if !f.storeDown {
				delete(f.records, o.Host.Name)
			}
		case registrar.Rejoined:
			f.rejoins++
			f.storeRecord(o.Self)
		}
	}
}

// expireLease reports an expired lease if its host has been down or frozen since then.
func (f *fleet) expireLease(n *node, name string, h registrar.Record, since time.Duration) {
	x := f.nodes[h.Name]
	if !f.storeDown && (!x.up || x.frozen) && x.stoppedAt <= since {
		f.input(n, name, func(now time.Time) []registrar.Output { return n.m.LeaseExpired(now, h.Name, h.Incarnation) })
	}
}

func (f *fleet) send(n *node, from, to string, m messenger.Message) {
	x := f.nodes[to]
	if from != "" {
		f.links[from+">"+to] = true
	}
	setReachable := func(ok bool) {
		f.input(n, from, func(now time.Time) []registrar.Output { return n.m.SetReachable(now, to, ok) })
	}
	if x == nil || !x.up || f.cut[from+">"+to] || f.cut[to+">"+from] {
		f.after(500*time.Millisecond, func() { setReachable(false) })
	}
	if x == nil || !x.up || f.cut[from+">"+to] {
		return
	}
	copies := 1
	if f.duplicated {
		copies = 1 + f.random.IntN(2)
	}
	for range copies {
		d := f.delay
		if f.duplicated {
			d += time.Duration(f.random.Int64N(int64(50 * time.Millisecond)))
		}
		f.after(d, func() {
			f.input(x, to, func(now time.Time) []registrar.Output { return x.m.Receive(now, from, m) })
		})
	}
	if !f.cut[to+">"+from] {
		f.after(2*f.delay, func() { setReachable(true) })
	}
}

func (f *fleet) kill(name string) { f.nodes[name].up, f.nodes[name].stoppedAt = false, f.now }

// revive restarts a host that is down under a new incarnation.
func (f *fleet) revive(name string) {
	if f.nodes[name].up {
		return
	}
	r := f.nodes[name].m.Self()
	r.Incarnation, r.Leaving = uint64(timeAt(f.now).UnixNano()), false
	f.start(r)
}

func (f *fleet) freeze(name string) { f.nodes[name].frozen, f.nodes[name].stoppedAt = true, f.now }

func (f *fleet) thaw(name string) {
	n := f.nodes[name]
	if !n.frozen {
		return
	}
	n.frozen = false
	f.input(n, name, n.m.Tick)
	queued := n.queued
	n.queued = nil
	for _, w := range queued {
		w()
	}
}

// setCut cuts hosts off from all others, or reconnects them: in both directions, or only
// in the direction in which they send.
func (f *fleet) setCut(cut, both bool, hosts ...string) {
	for _, a := range hosts {
		for _, b := range f.names {
			if !slices.Contains(hosts, b) {
				f.cut[a+">"+b] = cut
				f.cut[b+">"+a] = cut && both
			}
		}
	}
}

func (f *fleet) leave(name string) {
	n := f.nodes[name]
	f.input(n, name, n.m.Leave)
	f.storeRecord(n.m.Self())
}

func (f *fleet) shutdown(name string) {
	n := f.nodes[name]
	f.input(n, name, n.m.Shutdown)
	n.up = false
	delete(f.records, name)
}

// rosterOf returns the hosts on a host's roster; ! marks a leaving one.
func (f *fleet) rosterOf(name string) string {
	var out []string
	for _, h := range f.nodes[name].roster.Hosts() {
		suffix := ""
		if h.Leaving {
			suffix = "!"
		}
		out = append(out, h.Name+suffix)
	}
	return strings.Join(out, " ")
}

// running returns the hosts that run, as every roster should show them.
func (f *fleet) running() string {
	var out []string
	for _, name := range f.names {
		if f.nodes[name].up {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// rosters returns the distinct rosters of the running hosts.
func (f *fleet) rosters() []string {
	var out []string
	for _, name := range f.names {
		if f.nodes[name].up {
			out = append(out, f.rosterOf(name))
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
