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
	SendAll(addresses []string, m messenger.Message) error
	SetGeneration(g uint64)
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
	limiting    limitState
	attempt     uint64            // of the last Ask or Claim
	epochs      map[string]uint64 // highest seen of each cell
	chooser     dispatcher.Chooser
	due         time.Time // when a dispatcher is next due; zero for never
	again       time.Time // when calls are next looked through for askAgain
	keeping     *keeping
	quarantine  *quarantineSync // nil where the host serves host routes
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
		if next := c.nextTick(); !next.Equal(set) {
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
	c.requestLoans(now)
	c.keeping.tick(now)
	c.quarantine.tick(now)
	if now.Before(c.again) {
		return
	}
	c.again = now.Add(askAgain / 4)
	for _, k := range c.calls {
		switch silent := now.Sub(k.sentAt); {
		case k.worker == "" && silent >= askAgain:
			c.register(now, k)
		case k.worker != "" && silent >= renewEvery:
			c.sendProgress(now, k)
		}
	}
}

func (c *control) take(now time.Time, e event) {
	switch e := e.(type) {
	case frameArrived:
		c.deliver(now, e.from, e.message)
	case placeAsked:
		c.startCall(now, e)
	case placeLeft:
		c.cancelCall(now, e.request)
	case placeDone:
		c.finishCall(now, e)
	case placeProgressed:
		c.recordProgress(now, e)
	case folderChanged:
		c.configure(now, e)
	case rosterChanged:
		c.enroll(now, e.roster)
	case workersListed, workerReported, workerRefused, pollTargetsRequested:
		c.handleWorkerEvent(now, e)
	case quarantineStoreResult:
		c.quarantine.handleStoreResult(now, e)
	case storeRestored:
		c.quarantine.storeRestored()
		c.keeping.take(now, e)
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
		c.handleGrant(now, from, m)
	case messenger.Refuse:
		c.handleRefusal(now, m)
	case messenger.Preempt:
		c.handlePreempt(m)
	case messenger.WorkerRefused:
		c.observer.Refused(now, m.Address)
		c.handleWorkerEvent(now, nil)
	case messenger.Borrow:
		c.lend(now, from, m)
	case messenger.Lend:
		c.receiveLoan(now, m)
	case messenger.WorkerReport:
		c.quarantine.recordReport(now, m)
	case messenger.Quarantine:
		c.quarantine.receive(now, quarantineReceived{from: from, entries: decodeQuarantine(m)})
	case messenger.Moved:
	default:
		c.keeping.deliver(now, from, m)
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

func (c *control) configure(now time.Time, e folderChanged) {
	c.folder, c.generation = e.folder, e.generation
	c.sender.SetGeneration(e.generation)
	c.observer.Configure(e.folder.Services)
	c.limiting.configure(e.folder)
	c.cells, c.byService = map[string]dispatcher.Cell{}, map[string][]string{}
	for name, s := range c.observer.Services() {
		for _, cell := range dispatcher.SplitCells(name, s) {
			c.cells[cell.Name] = cell
			c.byService[name] = append(c.byService[name], cell.Name)
		}
	}
	for name, d := range c.owned {
		if cell, ok := c.cells[name]; ok {
			d.Configure(c.availableCell(now, cell), e.folder.Classes)
			out := d.Tick(now)
			c.schedule(d)
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
	c.chooser.Retain(known)
	maps.DeleteFunc(c.epochs, func(cell string, _ uint64) bool { return !known(cell) })
	c.ownAll(now)
}

// lose takes back what hosts held that were on the old roster and are not on the new one.
func (c *control) lose(now time.Time, old, r registrar.Roster) {
	var lost []string
	for _, h := range old.Hosts() {
		if n, ok := r.Find(h.Name); h.Name == c.self || ok && n.Incarnation == h.Incarnation {
			continue
		}
		lost = append(lost, h.Name)
		for _, d := range c.owned {
			out := d.HostLost(now, h.Name)
			c.schedule(d)
			c.emit(now, out)
		}
	}
	switch len(lost) {
	case 0:
	case 1:
		c.log.Info("host lost", zap.String("peer", lost[0]))
	default: // a line each would keep a small host busy when all come back at once
		c.log.Info("hosts lost", zap.Int("count", len(lost)), zap.Strings("peers", lost))
	}
}

// enroll takes a new roster: what hosts that are gone held is taken back, calls
// whose cell has a new owner are registered there, and this host's dispatchers
// of cells that have another owner now end: every entry registers with the
// owner when it sees the roster, and a late one makes this host dispatch anew.
func (c *control) enroll(now time.Time, r registrar.Roster) {
	old := c.roster
	c.roster = r
	c.limiting.setRoster(now, old, r)
	c.quarantine.setRoster(now, r)
	c.lose(now, old, r)
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
