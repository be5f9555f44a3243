package runner

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/budgeter"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/observer"
	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/relayer"
	"github.com/cicadawood/cicadawood/router"
	"github.com/cicadawood/cicadawood/storer"
	"github.com/cicadawood/cicadawood/tunneler"
)

// sweepInterval is the interval at which expired state is removed, and the maximum delay
// of a watcher's heartbeat.
const sweepInterval = 200 * time.Millisecond

// trialsRole is the role whose owner tries requests that are in quarantine.
const trialsRole = "tries"

// selector owns a host's view of the workers and selects a worker for each request.
// Only its run goroutine accesses view and the fields below it.
type selector struct {
	sender       sender
	log          *zap.Logger
	events       chan event
	ended        chan struct{}
	loaded       atomic.Bool // the first list of workers was received
	watchesStore atomic.Bool // this host watches the store, as no other does it for it; false until its first list

	view          *placer.View
	directory     observer.Directory
	oddEntries    oddEntries
	relay         *relayer.Relay
	onEra         func(era uint64, source string) // if set, receives the era of each list that another host sent
	lastHeartbeat time.Time                       // when this host last announced that its list is up to date
	announced     bool                            // this host announced that its list is up to date, and has not withdrawn it since
	updatedAt     time.Time                       // when the store, or a host that watches it, last sent the list or its changes
	folder        *loader.Folder
	self          string
	roster        registrar.Roster
	deciderSet    deciderSet
	repeats       *repeatBudget
	backoffs      placer.Backoffs // of workers towards this host
	tunnels       *tunneler.Dialer
	pendingUpdate messenger.FlightUpdate
	quarantine    *quarantineSync
	origins       *originSync
	confirmation  listConfirmation
	waiting       waitingForList
	standstill    standstill
	standstills   prometheus.Counter
	boot          func() time.Duration // see bootTime
	updateTimer   *time.Timer
	updateDue     time.Time // when updateTimer expires; zero if it is not set
}

// workerRequested is a request that needs a worker.
type workerRequested struct {
	request placer.Request
	charge  router.Charge
	reply   chan<- workerReply
	repeat  budgeter.Repeat // that the retry budget granted; 0 for none

	heldSince time.Time // since when it waits for the list of workers; zero if it never did
}

// workerReply answers workerRequested: a placement, or a refusal.
type workerReply struct {
	placement router.Placement
	refused   *router.Refused
}

// flightStarted and flightEnded report the progress of a request at its worker.
type (
	flightStarted struct {
		id     uint64
		worker string
		took   time.Duration
	}
	flightEnded struct {
		id       uint64
		worker   string // "" if this host did not send the request
		outcome  placer.Outcome
		halfFull bool // at least half of the worker's slots were taken
	}
)

func newSelector(now time.Time, h loader.Host, s sender, store storer.Store, d *tunneler.Dialer, log *zap.Logger) *selector {
	self := h.Name
	c := &selector{
		self: self, sender: s, tunnels: d, log: log, events: make(chan event, eventBacklog), ended: make(chan struct{}),
		view: placer.New(h.Zone), repeats: newRepeatBudget(now, h, s, log),
		relay: relayer.New(self, workersList), standstills: newStandstills(), boot: bootTime,
	}
	c.repeats.post, c.repeats.granted = c.post, c.placeCharged
	c.quarantine = newQuarantineSync(self, s, store, c.view.Quarantine(), log)
	c.quarantine.add = c.view.ReceiveQuarantined
	c.view.SetTries(c.tries)
	c.origins = newOriginSync(self, s, h.First, log, c.post)
	c.origins.confirm = c.confirmList
	c.origins.confirmable = func() bool { return c.confirmation.read != nil }
	c.quarantine.report = func(e quarantineStored) { c.post(e) }
	return c
}

// run handles events until ctx ends.
func (p *selector) run(ctx context.Context) {
	defer close(p.ended)
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	p.updateTimer = time.NewTimer(time.Hour)
	defer p.updateTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-p.events:
			p.handle(time.Now(), e)
		case <-p.updateTimer.C:
			p.sendUpdate()
		case <-sweep.C:
			p.sweep(time.Now())
		}
	}
}

func (p *selector) handle(now time.Time, e event) {
	if restsOnList(e) {
		p.noticeStandstill(now)
	}
	if p.origins.handle(now, e) || p.repeats.handle(now, e) {
		return
	}
	switch e := e.(type) {
	case workerRequested:
		p.place(now, e)
	case streamBegan:
		p.streamBegan(now, e)
	case certaintyRequested:
		p.checkCertainty(now, e)
	case replacedRequested:
		p.checkReplaced(now, e)
	case boundRequested:
		p.decideFor(now, e.from, e.request.Request, decodeBound(e.request))
	case placementRequested:
		p.decideFor(now, e.from, e.request, decodeRequest(e.request))
	case placementReplied:
		p.handleReply(now, e)
	case placementTimedOut:
		p.handleTimeout(now, e)
	case flightStarted:
		p.repeats.workerAnswered(now, e.worker)
		p.view.BegunAfter(now, e.id, e.took)
		p.pendingUpdate.Begun = append(p.pendingUpdate.Begun, e.id)
		p.pendingUpdate.Took = append(p.pendingUpdate.Took, e.took)
		p.scheduleUpdate(now, p.delayFor(updateDelay, updateDelayToListeners))
	case limitReported:
		p.updateLimit(now, e)
	case brittleReported:
		p.updateBrittle(now, e)
	case leavingReported:
		p.reportLeaving(now, e.process)
	case leavingReceived:
		p.receiveLeaving(now, e)
	case backoffReported:
		p.recordBackoff(now, e)
	case backoffReceived:
		p.receiveBackoff(now, e)
	case acceptsRequested:
		_, held := p.view.HeldBack(now, e.request)
		e.reply <- !held && p.accepts(now, e.worker)
	case otherRequested:
		e.reply <- p.hasOther(now, e)
	case flightEnded:
		if e.outcome.FromWorker() {
			p.repeats.workerAnswered(now, e.worker)
		}
		p.view.Ended(now, e.id, e.outcome)
		p.addEnded(now, e)
	case flightsReceived:
		p.receiveFlights(now, e)
	case storeResult:
		p.handleStoreResult(now, e)
	case listReadRequested:
		p.confirmation.reading = false
		p.confirmList(now)
	case listDue:
		p.listIsDue(now)
	case listRead:
		p.listWasRead(now, e)
	case listUpdateReceived:
		p.receiveListUpdate(now, e)
	case listSnapshotReceived:
		p.receiveSnapshot(now, e)
	case quarantineReceived:
		p.quarantine.receive(now, e)
	case releaseRequested:
		p.quarantine.releaseByOperator(now, e)
	case quarantineStored:
		p.quarantine.handleStoreResult(now, e.result)
	case storeRestored:
		p.quarantine.storeRestored()
	case routingStateRequested:
		e.reply <- p.buildRoutingState(now)
	case storeCallRequested:
		e.reply <- p.planCall(now)
	case rosterChanged:
		p.setRoster(now, e.roster)
	case settingsChanged:
		p.repeats.configure(now, e.settings.Repeat)
	case configChanged:
		p.folder = e.folder
		p.origins.configure(e.folder)
		p.setWorkers(now)
	}
	p.quarantine.announceNew(now)
}

// place finds a worker for a request, once the retry budget has counted it.
func (p *selector) place(now time.Time, e workerRequested) {
	if p.repeats.charge(now, &e) {
		p.placeCharged(now, e)
	}
}

// placeCharged finds a worker for a request that the retry budget has counted.
func (p *selector) placeCharged(now time.Time, e workerRequested) {
	e.request.Bound = p.origins.boundNow(e.request)
	if !p.askDecider(now, e) {
		p.answerOrHold(now, e, p.decide(now, e.request))
	}
}

// answer answers a request for a worker. A repeat that is refused a worker is not sent.
func (p *selector) answer(e workerRequested, r workerReply) {
	if r.refused == nil {
		r.placement.Repeat = e.repeat
	} else {
		p.repeats.budget.NotSent(e.repeat)
	}
	e.reply <- r
}

// decide selects a worker by this host's view.
func (p *selector) decide(now time.Time, a placer.Request) workerReply {
	a.Backoffs = p.heldBack(now, a.Service)
	choice, refusal := p.view.Place(now, rand.Uint64(), a)
	if refusal != nil {
		p.scheduleUpdate(now, p.delayFor(updateDelay, updateDelayToListeners))
		return refusedBy("", *refusal, choice.Basis)
	}
	p.addSent(now, p.self, choice.Flight)
	return workerReply{placement: router.Placement{
		ID: choice.Flight.ID, Service: a.Service, Worker: choice.Worker, ExpectedWait: choice.Wait, Delay: choice.Delay, Source: choice.Source, PromptTokens: choice.Flight.Prefill, HalfFull: choice.Filling, ListAge: now.Sub(p.updatedAt), Brittle: p.view.IsBrittle(choice.Worker.Name), RateLimit: p.view.RateLimit(choice.Worker.Name),
	}}
}

// setRoster applies a new roster, and removes the flights of hosts that are gone.
func (p *selector) setRoster(now time.Time, r registrar.Roster) {
	for _, h := range p.roster.Hosts() {
		if _, ok := r.Find(h.Name); !ok {
			p.view.HostLost(now, h.Name)
		}
	}
	previousRoster, previousListeners := p.roster, p.deciderSet.listeners
	p.roster = r
	p.relay.SetHosts(r)
	p.tunnels.SetHosts(helpersOf(r, p.self))
	p.deciderSet.setRoster(r)
	p.origins.setRoster(now, r, p.flightListeners())
	p.catchUp(now, previousRoster, previousListeners)
	p.quarantine.setRoster(now, r)
	p.view.SetDeciders(len(p.deciderSet.deciders), p.deciderSet.index(p.self))
	p.view.SetHosts(p.deciderSet.count(r), p.deciderSet.position(r, p.self))
	p.repeats.setRoster(now, r)
}

// tries reports whether this host tries requests that are in quarantine: one of those that decide
// does.
func (p *selector) tries() bool {
	if len(p.deciderSet.deciders) > 0 {
		return p.deciderSet.index(p.self) == 0
	}
	owner, ok := p.roster.Owner(trialsRole)
	return ok && owner.Name == p.self
}

// setWorkers updates the view with the workers that may receive requests.
func (p *selector) setWorkers(now time.Time) {
	var workers []placer.Worker
	for _, e := range p.directory.Available() {
		w := placer.Worker{
			Name: e.Name, Service: e.Service, Address: e.Address, Zone: e.Zone, Slots: e.Slots, WarmUp: e.WarmUp, Incarnation: e.Incarnation, Version: e.Version,
		}
		if p.folder != nil {
			s := p.folder.Services[e.Service]
			w.CacheTokens, w.EventTokens, w.TokenBytes, w.LinkMbps = s.CacheTokens, s.EventTokens, s.TokenBytes, s.LinkMbps
		}
		workers = append(workers, w)
	}
	added, removed := p.view.SetWorkers(now, workers)
	p.setTunnelWorkers()
	p.origins.setEra(p.relay.Era())
	p.origins.setWorkers(now, p.updatedAt, p.directory.All())
	p.listUpdated(now)
	for _, w := range added {
		p.log.Info("worker", zap.String("worker", w.Name), zap.String("service", w.Service), zap.String("address", w.Address), zap.String("version", w.Version), zap.String("state", "present"))
	}
	for _, w := range removed {
		p.log.Info("worker", zap.String("worker", w.Name), zap.String("service", w.Service), zap.String("address", w.Address), zap.String("state", "away"))
	}
}

// listUpdated applies that the list of workers was received, or found to have no changes, at
// updatedAt.
func (p *selector) listUpdated(now time.Time) {
	if p.directory.Settled(now) {
		p.waiting.listedAt = p.confirmation.knownUntil(now, p.updatedAt)
		p.view.SetConfirmed(p.updatedAt)
	}
	p.origins.resumer.ListUpdated(p.updatedAt)
	p.retryWaiting(now)
}

func (p *selector) sweep(now time.Time) {
	p.noticeStandstill(now)
	if p.doubtsList(now) {
		p.confirmList(now)
	}
	p.sendHeartbeat(now)
	p.updateWatching(now, "watchers and words")
	p.view.Sweep(now)
	p.backoffs.Sweep(now)
	p.repeats.sweep(now)
	p.quarantine.sweep(now)
	p.deciderSet.sweep(now)
	p.origins.sweep(now)
	p.retryWaiting(now)
	if p.directory.Sweep(now) {
		p.setWorkers(now)
	}
}

func (workerRequested) event() {}
func (flightStarted) event()   {}
func (flightEnded) event()     {}
