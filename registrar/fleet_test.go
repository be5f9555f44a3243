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
	// bound is in how long a death must be known everywhere.
	bound = 1300 * time.Millisecond
)

// node is one fake host around real Members.
type node struct {
	m       *registrar.Members
	up      bool
	frozen  bool
	waiting []func() // what came while it was frozen
	roster  registrar.Roster
	sent    int
	selves  []uint64      // incarnation of itself in each roster it has had
	accused int           // suspicions it began
	still   time.Duration // since when it is down or frozen
}

// fleet plays hosts, links and the store with a clock of its own.
type fleet struct {
	now    time.Duration
	agenda faker.Agenda
	names  []string
	past   []string // names of processes that left their records behind
	nodes  map[string]*node
	random *rand.Rand

	cut     map[string]bool // "from>to"
	delay   time.Duration
	doubled bool // frames come twice, and out of order

	records   map[string]registrar.Record
	storeDown bool
	storeWait time.Duration
	gap       bool // watches lose changes; lists do not

	links   map[string]bool // from and to, of processes that ever spoke
	died    []string        // host@incarnation, as concluded by others
	rejoins int
}

func epoch(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

// newFleet starts hosts spread over zones and regions, and lets them settle.
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
	n := &node{up: true, m: registrar.NewMembers(epoch(f.now), self, beat)}
	n.roster = n.m.Roster()
	f.nodes[self.Name] = n
	f.store(self)
	f.do(n, self.Name, func(now time.Time) []registrar.Output { return n.m.ApplyRecords(now, f.listed()) })
	f.after(time.Duration(f.random.Int64N(int64(beat))), func() { f.tick(n, self.Name) })
}

func (f *fleet) listed() []registrar.Record {
	var out []registrar.Record
	for _, name := range slices.Concat(f.names, f.past) {
		if r, ok := f.records[name]; ok && !f.storeDown {
			out = append(out, r)
		}
	}
	return out
}

// relist is the list that every host reads now and then, after it has renewed
// its record where the store has lost it, as the recorder does.
func (f *fleet) relist() {
	for _, name := range f.names {
		if n := f.nodes[name]; n.up && !n.frozen && f.records[name].Incarnation < n.m.Self().Incarnation {
			f.store(n.m.Self())
		}
	}
	for _, name := range f.names {
		if n := f.nodes[name]; n.up && !f.storeDown {
			f.do(n, name, func(now time.Time) []registrar.Output { return n.m.ApplyRecords(now, f.listed()) })
		}
	}
	f.after(5*time.Second, f.relist)
}

// store writes a record; watches tell the others.
func (f *fleet) store(r registrar.Record) {
	if f.storeDown {
		f.after(time.Second, func() { f.store(r) })
		return
	}
	if f.records[r.Name].Incarnation > r.Incarnation {
		return
	}
	f.records[r.Name] = r
	if f.gap {
		return
	}
	for _, name := range f.names {
		f.after(f.storeWait+latency, func() {
			if n := f.nodes[name]; n != nil && n.up && !f.storeDown {
				f.do(n, name, func(now time.Time) []registrar.Output { return n.m.ApplyRecords(now, []registrar.Record{r}) })
			}
		})
	}
}

func (f *fleet) after(d time.Duration, do func()) {
	f.agenda.Add(epoch(f.now+d), do)
}

func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for at, do, ok := f.agenda.Next(epoch(end)); ok; at, do, ok = f.agenda.Next(epoch(end)) {
		f.now = at.Sub(epoch(0))
		do()
	}
	f.now = end
}

func (f *fleet) tick(n *node, name string) {
	if !n.up {
		return
	}
	if !n.frozen {
		f.do(n, name, n.m.Tick)
	}
	f.after(beat/registrar.TicksPerHeartbeat, func() { f.tick(n, name) })
}

// do runs an input on a host, or keeps it until the host thaws.
func (f *fleet) do(n *node, name string, in func(time.Time) []registrar.Output) {
	switch {
	case !n.up:
	case n.frozen:
		n.waiting = append(n.waiting, func() { f.do(n, name, in) })
	default:
		f.act(n, name, in(epoch(f.now)))
	}
}

func (f *fleet) act(n *node, name string, out []registrar.Output) {
	for _, o := range out {
		switch o := o.(type) {
		case registrar.Send:
			n.sent++
			f.send(n, name, o.To.Name, o.Message)
		case registrar.RosterChanged:
			n.roster = o.Roster
			self, _ := o.Roster.Find(name)
			n.selves = append(n.selves, self.Incarnation)
		case registrar.Suspected:
			n.accused++
		case registrar.CheckLease:
			doubted := f.now
			f.after(lease, func() { f.lapse(n, name, o.Host, doubted) })
		case registrar.DeclaredDead:
			f.died = append(f.died, fmt.Sprintf("%s@%d", o.Host.Name, o.Host.Incarnation))
			if r := f.records[o.Host.Name]; r.Incarnation <= o.Host.Incarnation && !f.storeDown {
				delete(f.records, o.Host.Name)
			}
		case registrar.PredecessorFound:
			if !f.storeDown {
				delete(f.records, o.Host.Name)
			}
		case registrar.Rejoined:
			f.rejoins++
			f.store(o.Self)
		}
	}
}

// lapse is a lease that was not renewed: its host has been down or frozen since.
func (f *fleet) lapse(n *node, name string, h registrar.Record, since time.Duration) {
	x := f.nodes[h.Name]
	if !f.storeDown && (!x.up || x.frozen) && x.still <= since {
		f.do(n, name, func(now time.Time) []registrar.Output { return n.m.LeaseExpired(now, h.Name, h.Incarnation) })
	}
}

func (f *fleet) send(n *node, from, to string, m messenger.Message) {
	x := f.nodes[to]
	if from != "" {
		f.links[from+">"+to] = true
	}
	reach := func(ok bool) {
		f.do(n, from, func(now time.Time) []registrar.Output { return n.m.SetReachable(now, to, ok) })
	}
	if x == nil || !x.up || f.cut[from+">"+to] || f.cut[to+">"+from] {
		f.after(500*time.Millisecond, func() { reach(false) })
	}
	if x == nil || !x.up || f.cut[from+">"+to] {
		return
	}
	copies := 1
	if f.doubled {
		copies = 1 + f.random.IntN(2)
	}
	for range copies {
		d := f.delay
		if f.doubled {
			d += time.Duration(f.random.Int64N(int64(50 * time.Millisecond)))
		}
		f.after(d, func() {
			f.do(x, to, func(now time.Time) []registrar.Output { return x.m.Receive(now, from, m) })
		})
	}
	if !f.cut[to+">"+from] {
		f.after(2*f.delay, func() { reach(true) })
	}
}

func (f *fleet) kill(name string) { f.nodes[name].up, f.nodes[name].still = false, f.now }

// revive starts a host that is down, as a new incarnation.
func (f *fleet) revive(name string) {
	if f.nodes[name].up {
		return
	}
	r := f.nodes[name].m.Self()
	r.Incarnation, r.Leaving = uint64(epoch(f.now).UnixNano()), false
	f.start(r)
}

func (f *fleet) freeze(name string) { f.nodes[name].frozen, f.nodes[name].still = true, f.now }

func (f *fleet) thaw(name string) {
	n := f.nodes[name]
	if !n.frozen {
		return
	}
	n.frozen = false
	f.do(n, name, n.m.Tick)
	waiting := n.waiting
	n.waiting = nil
	for _, w := range waiting {
		w()
	}
}

// part cuts hosts off from all others, or joins them again: both ways, or only
// what they send.
func (f *fleet) part(cut, both bool, hosts ...string) {
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
	f.do(n, name, n.m.Leave)
	f.store(n.m.Self())
}

func (f *fleet) left(name string) {
	n := f.nodes[name]
	f.do(n, name, n.m.Shutdown)
	n.up = false
	delete(f.records, name)
}

// sees is the hosts on a host's roster; ! marks a leaving one.
func (f *fleet) sees(name string) string {
	var out []string
	for _, h := range f.nodes[name].roster.Hosts() {
		mark := ""
		if h.Leaving {
			mark = "!"
		}
		out = append(out, h.Name+mark)
	}
	return strings.Join(out, " ")
}

// up is the hosts that run, as every roster should show them.
func (f *fleet) up() string {
	var out []string
	for _, name := range f.names {
		if f.nodes[name].up {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// views is the different rosters that running hosts hold.
func (f *fleet) views() []string {
	var out []string
	for _, name := range f.names {
		if f.nodes[name].up {
			out = append(out, f.sees(name))
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
