package runner

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/dispatcher"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/observer"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/server"
)

const (
	eventBacklog = 8192
	// askAgain is how long a call waits for an answer before it is registered
	// again: an Ask, Grant or Refuse that a broken connection lost shows only as
	// silence.
	askAgain = 2 * time.Second
	// renewEvery is how often a call that holds a place says so, well within the
	// dispatcher's lease on a grant.
	renewEvery = 10 * time.Second
)

// sender is the port to other hosts.
type sender interface {
	Send(address string, m messenger.Message) error
	SetGeneration(g uint64)
}

// call is one request of this host's entry, from its ask to its done.
type call struct {
	service   string
	ask       messenger.Ask
	owner     string // host that dispatches its cell
	asked     time.Time
	ends      time.Time // its deadline
	reply     chan<- placeReply
	worker    string // "" while it waits
	tokens    int    // made so far
	preempted chan struct{}
}

// control owns all control state of a host. Only its run goroutine touches the
// fields below events.
type control struct {
	self   string
	epoch  uint64
	sender sender
	log    *zap.Logger
	events chan event
	ended  chan struct{} // closed when run has

	incarnation uint64 // of this host in the roster; 0 before the first
	roster      registrar.Roster
	folder      *loader.Folder
	generation  uint64
	cells       map[string]dispatcher.Cell
	byService   map[string][]string
	owned       map[string]*dispatcher.Dispatcher
	calls       map[string]*call
	observer    observer.Observer
	present     map[workerName]bool // as last told to the dispatchers
	away        *atomic.Int64       // workers that get nothing new
	limiting    limiting
	attempt     uint64            // of the last Ask or Claim
	epochs      map[string]uint64 // highest seen of each cell
	chooser     dispatcher.Chooser
	due         time.Time // when a dispatcher is next due; zero for never
	again       time.Time // when calls are next looked through for askAgain
	keeping     *keeping
}

func newControl(self string, epoch uint64, s sender, log *zap.Logger) *control {
	return &control{
		self: self, epoch: epoch, sender: s, log: log, events: make(chan event, eventBacklog), ended: make(chan struct{}),
		cells: map[string]dispatcher.Cell{}, byService: map[string][]string{},
		owned: map[string]*dispatcher.Dispatcher{}, calls: map[string]*call{}, present: map[workerName]bool{}, away: &atomic.Int64{},
		epochs: map[string]uint64{},
	}
}

// run takes events until ctx ends.
func (c *control) run(ctx context.Context) {
	defer close(c.ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var set time.Time // when the timer goes off
	for {
		if next := c.next(); !next.Equal(set) {
			set = next
			timer.Reset(time.Until(next))
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			set = time.Time{}
			c.tick(time.Now())
		case e := <-c.events:
			c.take(time.Now(), e)
		}
	}
}

// tick does what is due.
func (c *control) tick(now time.Time) {
	c.tickDispatchers(now)
	c.borrow(now)
	c.keeping.tick(now)
	if now.Before(c.again) {
		return
	}
	c.again = now.Add(askAgain / 4)
	for _, k := range c.calls {
		switch silent := now.Sub(k.asked); {
		case k.worker == "" && silent >= askAgain:
			c.register(now, k)
		case k.worker != "" && silent >= renewEvery:
			c.renew(now, k)
		}
	}
}

func (c *control) take(now time.Time, e event) {
	switch e := e.(type) {
	case frameArrived:
		c.deliver(now, e.from, e.message)
	case placeAsked:
		c.ask(now, e)
	case placeLeft:
		c.leave(now, e.request)
	case placeDone:
		c.done(now, e)
	case placeProgressed:
		c.progressed(now, e)
	case folderChanged:
		c.configure(now, e)
	case rosterChanged:
		c.enroll(now, e.roster)
	case workersListed, workerReported, workerRefused, reportsWanted:
		c.observe(now, e)
	case stateAsked:
		e.reply <- c.state()
	default:
		c.keeping.take(now, e)
	}
}

// deliver takes a message from a host, this one included.
func (c *control) deliver(now time.Time, from string, m messenger.Message) {
	switch m := m.(type) {
	case messenger.Ask:
		c.dispatch(now, m.Cell, from, m)
	case messenger.Done:
		c.dispatch(now, m.Cell, from, m)
	case messenger.Cancel:
		c.dispatch(now, m.Cell, from, m)
	case messenger.Claim:
		c.dispatch(now, m.Ask.Cell, from, m)
	case messenger.Progress:
		c.dispatch(now, m.Cell, from, m)
	case messenger.Grant:
		c.granted(now, from, m)
	case messenger.Refuse:
		c.refused(now, m)
	case messenger.Preempt:
		c.preempted(m)
	case messenger.Away:
		c.observer.Refused(now, m.Address)
		c.observe(now, nil)
	case messenger.Borrow:
		c.lend(now, from, m)
	case messenger.Lend:
		c.lent(now, m)
	case messenger.Moved:
	default:
		c.keeping.deliver(now, from, m)
	}
}

// dispatch hands a message to this host's dispatcher of a cell. A host that is
// asked dispatches, also where its roster names another: two dispatchers may
// overfill a worker for a moment, but break no promise.
func (c *control) dispatch(now time.Time, cell, from string, m messenger.Message) {
	if c.owned[cell] == nil {
		known, ok := c.cells[cell]
		if !ok {
			return
		}
		c.own(now, known)
	}
	d := c.owned[cell]
	out := d.Handle(now, from, m)
	c.awaits(d)
	c.emit(now, out)
}

// own starts this host's dispatcher of a cell.
func (c *control) own(now time.Time, cell dispatcher.Cell) {
	// The clock makes the epoch grow from one dispatcher of a cell to the next;
	// where clocks differ, the entries' asks raise it.
	epoch := uint64(now.UnixMilli())
	c.owned[cell.Name] = dispatcher.New(c.filled(now, cell), epoch, c.folder.Classes, dispatcher.Options{Seed: c.epoch ^ epoch})
	c.owned[cell.Name].Tick(now) // gathering begins
}

// ownAll starts this host's dispatchers of the cells that are its own by the
// roster: before the first request comes, so that it need not wait for claims.
func (c *control) ownAll(now time.Time) {
	for name, cell := range c.cells {
		if owner, ok := c.roster.Owner(name); ok && owner.Name == c.self && c.owned[name] == nil {
			c.own(now, cell)
		}
	}
}

// emit sends what a dispatcher decided.
func (c *control) emit(now time.Time, out []dispatcher.Output) {
	for _, o := range out {
		c.send(now, o.To, o.Message)
	}
}

func (c *control) send(now time.Time, host string, m messenger.Message) {
	if host == c.self {
		c.deliver(now, c.self, m)
		return
	}
	h, ok := c.roster.Find(host)
	if !ok {
		return
	}
	if err := c.sender.Send(h.Control, m); err != nil {
		c.log.Warn("send", zap.String("peer", host), zap.Error(err))
	}
}

func (c *control) ask(now time.Time, e placeAsked) {
	c.limiting.wake(now)
	cells := c.byService[e.service]
	if len(cells) == 0 {
		e.reply <- placeReply{refusal: &server.Refusal{Reason: "no_workers", After: time.Second}}
		return
	}
	e.ask.Cell = c.chooser.Choose(now, cells, e.ask.Class, rand.Uint64())
	k := &call{service: e.service, ask: e.ask, reply: e.reply, preempted: make(chan struct{}), ends: now.Add(e.ask.Deadline)}
	c.calls[e.ask.Request] = k
	c.register(now, k)
}

// register tells the present owner of the call's cell about the call.
func (c *control) register(now time.Time, k *call) {
	owner, ok := c.roster.Owner(k.ask.Cell)
	if !ok {
		return
	}
	if !k.asked.IsZero() {
		k.ask.Waited += now.Sub(k.asked)
	}
	c.attempt++
	k.owner, k.asked = owner.Name, now
	k.ask.Attempt, k.ask.Epoch, k.ask.Deadline = c.attempt, c.epochs[k.ask.Cell], max(k.ends.Sub(now), 0)
	if k.worker != "" {
		c.send(now, k.owner, messenger.Claim{Ask: k.ask, Worker: k.worker, Tokens: k.tokens})
		return
	}
	c.send(now, k.owner, k.ask)
}

// granted takes a grant, or gives it back where it is of no use: its caller
// went away, the call has a place already from another dispatcher, or the
// dispatcher is an older one than this host has heard of, which came back from a
// freeze and does not know what its successor granted.
func (c *control) granted(now time.Time, from string, g messenger.Grant) {
	c.chooser.Note(now, g.Cell, g.Class, g.Wait)
	k := c.calls[g.Request]
	same := k != nil && k.ask.Cell == g.Cell && k.ask.Attempt == g.Attempt
	if same && k.worker == g.Worker && k.owner == from {
		return // a duplicate of the one in use
	}
	worker, known := c.worker(g.Cell, g.Worker)
	if !same || !known || k.worker != "" || g.Epoch < c.epochs[g.Cell] {
		c.send(now, from, messenger.Done{Request: g.Request, Attempt: g.Attempt, Cell: g.Cell, Worker: g.Worker})
		if same && k.worker == "" && k.owner == from {
			c.register(now, k)
		}
		return
	}
	c.epochs[g.Cell] = g.Epoch
	k.worker = g.Worker
	k.reply <- placeReply{place: server.Place{Request: g.Request, Cell: g.Cell, Worker: worker, Fence: g.Fence, Preempted: k.preempted}}
}

func (c *control) worker(cell, name string) (loader.Worker, bool) {
	for _, w := range c.cells[cell].Workers {
		if w.Name == name {
			return w, true
		}
	}
	return loader.Worker{}, false
}

func (c *control) refused(now time.Time, m messenger.Refuse) {
	c.chooser.Note(now, m.Cell, m.Class, m.Wait)
	k := c.calls[m.Request]
	if k == nil || k.worker != "" || k.ask.Attempt != m.Attempt {
		return
	}
	delete(c.calls, m.Request)
	k.reply <- placeReply{refusal: &server.Refusal{Reason: m.Reason, After: m.After}}
}

func (c *control) preempted(m messenger.Preempt) {
	if k := c.calls[m.Request]; k != nil && k.worker != "" && k.ask.Attempt == m.Attempt {
		close(k.preempted)
		k.preempted = make(chan struct{})
	}
}

func (c *control) leave(now time.Time, request string) {
	k := c.calls[request]
	if k == nil {
		return
	}
	delete(c.calls, request)
	c.send(now, k.owner, messenger.Cancel{Request: request, Attempt: k.ask.Attempt, Cell: k.ask.Cell})
}

func (c *control) done(now time.Time, e placeDone) {
	k := c.calls[e.place.Request]
	if k == nil {
		return
	}
	delete(c.calls, e.place.Request)
	c.send(now, k.owner, messenger.Done{
		Request: e.place.Request, Attempt: k.ask.Attempt, Cell: e.place.Cell, Worker: e.place.Worker.Name,
		Tokens: e.use.Tokens, First: e.use.First, Failed: e.use.Failed,
	})
}

// progressed tells the dispatcher how far a request in flight has come.
func (c *control) progressed(now time.Time, e placeProgressed) {
	k := c.calls[e.place.Request]
	if k == nil || k.worker == "" {
		return
	}
	k.tokens = e.tokens
	c.renew(now, k)
}

// renew tells the dispatcher that a call still has its place, and its tokens.
func (c *control) renew(now time.Time, k *call) {
	k.asked = now
	c.send(now, k.owner, messenger.Progress{Request: k.ask.Request, Attempt: k.ask.Attempt, Cell: k.ask.Cell, Tokens: k.tokens})
}

func (c *control) configure(now time.Time, e folderChanged) {
	c.folder, c.generation = e.folder, e.generation
	c.sender.SetGeneration(e.generation)
	c.observer.Configure(e.folder.Services)
	c.limiting.configure(e.folder)
	c.cells, c.byService = map[string]dispatcher.Cell{}, map[string][]string{}
	for name, s := range c.observer.Services() {
		for _, cell := range dispatcher.CellsOf(name, s) {
			c.cells[cell.Name] = cell
			c.byService[name] = append(c.byService[name], cell.Name)
		}
	}
	for name, d := range c.owned {
		if cell, ok := c.cells[name]; ok {
			d.Configure(c.filled(now, cell), e.folder.Classes)
			out := d.Tick(now)
			c.awaits(d)
			c.emit(now, out)
		} else {
			delete(c.owned, name)
		}
	}
	known := func(cell string) bool { _, ok := c.cells[cell]; return ok }
	for _, k := range c.calls {
		if cells := c.byService[k.service]; k.worker == "" && !known(k.ask.Cell) && len(cells) > 0 {
			k.ask.Cell = c.chooser.Choose(now, cells, k.ask.Class, rand.Uint64())
			c.register(now, k)
		}
	}
	c.chooser.Keep(known)
	maps.DeleteFunc(c.epochs, func(cell string, _ uint64) bool { return !known(cell) })
	c.ownAll(now)
}

// enroll takes a new roster: what hosts that are gone held is taken back, calls
// whose cell has a new owner are registered there, and this host's dispatchers
// of cells that have another owner now end: every entry registers with the
// owner when it sees the roster, and a late one makes this host dispatch anew.
func (c *control) enroll(now time.Time, r registrar.Roster) {
	old := c.roster
	c.roster = r
	c.limiting.enroll(now, old, r)
	for _, h := range old.Hosts() {
		if n, ok := r.Find(h.Name); h.Name == c.self || ok && n.Incarnation == h.Incarnation {
			continue
		}
		c.log.Info("host lost", zap.String("peer", h.Name))
		for _, d := range c.owned {
			out := d.Lost(now, h.Name)
			c.awaits(d)
			c.emit(now, out)
		}
	}
	c.rejoin(now, r)
	for name := range c.owned {
		if owner, ok := r.Owner(name); ok && owner.Name != c.self {
			c.log.Info("cell handed over", zap.String("cell", name), zap.String("to", owner.Name))
			delete(c.owned, name)
		}
	}
	c.ownAll(now)
	owners := map[string]string{} // a host has more calls than cells
	for cell := range c.cells {
		if owner, ok := r.Owner(cell); ok {
			owners[cell] = owner.Name
		}
	}
	for _, k := range c.calls {
		if owner, ok := owners[k.ask.Cell]; ok && owner != k.owner {
			c.register(now, k)
		}
	}
	c.keeping.enroll(now, r)
}
