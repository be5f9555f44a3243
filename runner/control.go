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
	"github.com/cicadawood/cicadawood/tunneler"
)

const (
	// eventBacklog is the capacity of a queue of events.
	eventBacklog = 8192
	// askRetryInterval is how long a call waits for an answer before it is registered
	// again: an Ask, Grant or Refuse that is lost with a broken connection shows no other
	// sign.
	askRetryInterval = 2 * time.Second
	// renewInterval is how often a call that holds a place renews it, well within the
	// dispatcher's lease on a grant.
	renewInterval = 10 * time.Second
)

// sender sends messages to other hosts.
type sender interface {
	Send(address string, m messenger.Message) error
	SendAll(addresses []string, m messenger.Message) error
	SetGeneration(g uint64)
}

// control owns all control state of a host. Only its run goroutine accesses the fields
// below events.
type control struct {
	self   string
	epoch  uint64
	sender sender
	log    *zap.Logger
	events chan event
	ended  chan struct{} // closed when run returns

	incarnation        uint64 // of this host in the roster; 0 before the first roster
	roster             registrar.Roster
	folder             *loader.Folder
	generation         uint64
	cells              map[string]dispatcher.Cell
	cellsByService     map[string][]string
	dispatchers        map[string]*dispatcher.Dispatcher
	calls              map[string]*call
	observer           observer.Observer
	available          map[workerName]bool // as last reported to the dispatchers
	unavailable        *atomic.Int64       // number of workers that get no new work
	limits             limitState
	lastAttempt        uint64            // number of the last Ask or Claim
	cellEpochs         map[string]uint64 // highest epoch seen, by cell
	chooser            dispatcher.Chooser
	nextDispatcherTick time.Time // zero for never
	nextCallCheck      time.Time // when calls are next checked for a retry or a renewal
	once               *onceManager
	quarantine         *quarantineSync  // nil where the host serves host routes
	tunnels            *tunneler.Dialer // nil where the host serves host routes
}

func newControl(self string, epoch uint64, s sender, log *zap.Logger) *control {
	return &control{
		self: self, epoch: epoch, sender: s, log: log, events: make(chan event, eventBacklog), ended: make(chan struct{}),
		cells: map[string]dispatcher.Cell{}, cellsByService: map[string][]string{},
		dispatchers: map[string]*dispatcher.Dispatcher{}, calls: map[string]*call{}, available: map[workerName]bool{}, unavailable: &atomic.Int64{},
		cellEpochs: map[string]uint64{},
	}
}

// run handles events until ctx ends.
func (c *control) run(ctx context.Context) {
	defer close(c.ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var armedFor time.Time // when the timer fires
	for {
		if next := c.nextTick(); !next.Equal(armedFor) {
			armedFor = next
			timer.Reset(time.Until(next))
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			armedFor = time.Time{}
			c.tick(time.Now())
		case e := <-c.events:
			c.handle(time.Now(), e)
		}
	}
}

// tick performs all work that is due.
func (c *control) tick(now time.Time) {
	c.tickDispatchers(now)
	c.requestLoans(now)
	c.once.tick(now)
	c.quarantine.tick(now)
	if now.Before(c.nextCallCheck) {
		return
	}
	c.nextCallCheck = now.Add(askRetryInterval / 4)
	for _, k := range c.calls {
		switch elapsed := now.Sub(k.sentAt); {
		case k.worker == "" && elapsed >= askRetryInterval:
			c.register(now, k)
		case k.worker != "" && elapsed >= renewInterval:
			c.sendProgress(now, k)
		}
	}
}

// handle applies an event.
func (c *control) handle(now time.Time, e event) {
	switch e := e.(type) {
	case frameReceived:
		c.handleMessage(now, e.from, e.message)
	case placeRequested:
		c.startCall(now, e)
	case placeCanceled:
		c.cancelCall(now, e.request)
	case workerCrashed:
		c.quarantine.handleCrash(now, e)
	case placeReleased:
		c.finishCall(now, e)
	case progressReported:
		c.recordProgress(now, e)
	case configChanged:
		c.configure(now, e)
	case rosterChanged:
		c.setRoster(now, e.roster)
	case workersListed, workerReported, workerRefused, pollTargetsRequested:
		c.handleWorkerEvent(now, e)
	case releaseRequested:
		c.quarantine.releaseByOperator(now, e)
	case quarantineStored:
		c.quarantine.handleStoreResult(now, e.result)
	case storeRestored:
		c.quarantine.storeRestored()
		c.once.handleEvent(now, e)
	case stateRequested:
		e.reply <- c.state()
	default:
		c.once.handleEvent(now, e)
	}
}

// handleMessage handles a message from a host, this one included.
func (c *control) handleMessage(now time.Time, from string, m messenger.Message) {
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
		c.observer.Refused(now, m.Address, 0)
		c.handleWorkerEvent(now, nil)
	case messenger.WorkerBackoff:
		c.observer.Refused(now, m.Address, m.RetryAfter)
		c.handleWorkerEvent(now, nil)
	case messenger.Borrow:
		c.lend(now, from, m)
	case messenger.Lend:
		c.receiveLoan(now, m)
	case messenger.WorkerReport:
		c.quarantine.recordReport(now, m)
	case messenger.ReportsFlush:
		c.send(now, from, messenger.ReportsFlushed{ID: m.ID})
	case messenger.ReportsFlushed:
		c.quarantine.handleFlushed(m)
	case messenger.Quarantine:
		c.quarantine.receive(now, quarantineReceived{from: from, entries: decodeQuarantine(m)})
	case messenger.Moved:
	default:
		c.once.handleMessage(now, from, m)
	}
}

// send sends a message to a host of the roster. One to this host itself is handled
// directly.
func (c *control) send(now time.Time, host string, m messenger.Message) {
	if host == c.self {
		c.handleMessage(now, c.self, m)
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

// configure puts a configuration in force: dispatchers of cells that no longer exist end,
// and calls that wait for a place in one move to another cell of their service.
func (c *control) configure(now time.Time, e configChanged) {
	c.folder, c.generation = e.folder, e.generation
	c.sender.SetGeneration(e.generation)
	c.observer.Configure(e.folder.Services)
	c.limits.configure(e.folder)
	c.cells, c.cellsByService = map[string]dispatcher.Cell{}, map[string][]string{}
	for name, s := range c.observer.Services() {
		for _, cell := range dispatcher.SplitCells(name, s) {
			c.cells[cell.Name] = cell
			c.cellsByService[name] = append(c.cellsByService[name], cell.Name)
		}
	}
	for name, d := range c.dispatchers {
		if cell, ok := c.cells[name]; ok {
			d.Configure(c.availableCell(now, cell), e.folder.Classes)
			out := d.Tick(now)
			c.schedule(d)
			c.emit(now, out)
		} else {
			delete(c.dispatchers, name)
		}
	}
	known := func(cell string) bool { _, ok := c.cells[cell]; return ok }
	for _, k := range c.calls {
		if cells := c.cellsByService[k.service]; k.worker == "" && !known(k.ask.Cell) && len(cells) > 0 {
			k.ask.Cell = c.chooser.Choose(now, cells, k.ask.Class, rand.Uint64())
			c.register(now, k)
		}
	}
	c.setTunnelWorkers()
	c.chooser.Retain(known)
	maps.DeleteFunc(c.cellEpochs, func(cell string, _ uint64) bool { return !known(cell) })
	c.ownAll(now)
}

// reclaimLost reclaims the places of hosts that are on the old roster but not, or with
// another incarnation, on the new one.
func (c *control) reclaimLost(now time.Time, old, r registrar.Roster) {
	var lost []string
	for _, h := range old.Hosts() {
		if n, ok := r.Find(h.Name); h.Name == c.self || ok && n.Incarnation == h.Incarnation {
			continue
		}
		lost = append(lost, h.Name)
		for _, d := range c.dispatchers {
			out := d.HostLost(now, h.Name)
			c.schedule(d)
			c.emit(now, out)
		}
	}
	switch len(lost) {
	case 0:
	case 1:
		c.log.Info("host lost", zap.String("peer", lost[0]))
	default: // one line per host would keep a small host busy when all return together
		c.log.Info("hosts lost", zap.Int("count", len(lost)), zap.Strings("peers", lost))
	}
}

// setRoster applies a new roster: places of hosts that are gone are reclaimed, and calls
// whose cell has a new owner are registered there. This host's dispatchers of cells that
// now have another owner end, as every entry host registers with the new owner when it sees
// the roster; a late message from one starts a new dispatcher here.
func (c *control) setRoster(now time.Time, r registrar.Roster) {
	old := c.roster
	c.roster = r
	if c.tunnels != nil {
		c.tunnels.SetHosts(helpersOf(r, c.self))
	}
	c.limits.setRoster(now, old, r)
	c.quarantine.setRoster(now, r)
	c.reclaimLost(now, old, r)
	c.detectRejoin(now, r)
	for name := range c.dispatchers {
		if owner, ok := r.Owner(name); ok && owner.Name != c.self {
			c.log.Info("cell handed over", zap.String("cell", name), zap.String("to", owner.Name))
			delete(c.dispatchers, name)
		}
	}
	c.ownAll(now)
	owners := map[string]string{} // looked up once per cell: a host has more calls than cells
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
	c.once.setRoster(now, r)
}
