package runner

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/observer"
	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/relayer"
	"github.com/cicadawood/cicadawood/retrier"
	"github.com/cicadawood/cicadawood/router"
	"github.com/cicadawood/cicadawood/storer"
)

const (
	// sweepEvery is how often what is overdue is forgotten, and at most how late a
	// watcher beats.
	sweepEvery = 200 * time.Millisecond
	// hostsLeast is the fewest hosts that the repeats of a service are shared
	// between. A host that can reach nobody knows only itself, and must not take
	// the whole budget.
	hostsLeast = 8
)

// choosing owns a host's view of the workers. Only its run goroutine touches the
// fields below events.
type choosing struct {
	sender sender
	log    *zap.Logger
	repeat retrier.WindowPolicy
	events chan event
	ended  chan struct{}
	known  atomic.Bool // the workers were listed
	calls  atomic.Bool // the host watches the store: nobody does it for it; false until its first list

	view       *placer.View
	directory  observer.Directory
	relay      *relayer.Relay
	reach      func(era uint64, source string) // nil, or told of the era of each list
	beaten     time.Time                       // when this host last said that it is up to date
	watching   bool                            // it said so, and has not taken it back
	listed     time.Time                       // when the source, or a host that watches it, last told of it
	folder     *loader.Folder
	self       string
	roster     registrar.Roster
	hosts      int // the most that the roster had
	deciding   deciding
	windows    map[string]*retrier.Window
	shared     messenger.FlightUpdate
	quarantine *quarantining
	share      *time.Timer
	shareAt    time.Time // when the timer is due; zero where it is not set
}

// workerAsked is a request that wants a worker.
type workerAsked struct {
	ask   placer.Request
	again bool
	reply chan<- workerReply
}

type workerReply struct {
	place   router.Placement
	refused *router.Refused
}

// sendBegun and sendEnded tell of a request at its worker.
type (
	sendBegun struct {
		id   uint64
		took time.Duration
	}
	sendEnded struct {
		id      uint64
		outcome placer.Outcome
		filling bool // half of the worker's slots were taken, or more
	}
)

func newChoosing(self, zone string, s sender, store storer.Store, p loader.Repeat, log *zap.Logger) *choosing {
	c := &choosing{
		self: self, sender: s, log: log, events: make(chan event, eventBacklog), ended: make(chan struct{}),
		repeat: policyOf(p),
		view:   placer.New(zone), windows: map[string]*retrier.Window{}, hosts: hostsLeast,
		relay: relayer.New(self, entriesList),
	}
	c.quarantine = newQuarantining(self, s, store, c.view.Quarantine(), log)
	c.quarantine.store.tell = func(e quarantineStored) { c.post(e) }
	return c
}

func policyOf(p loader.Repeat) retrier.WindowPolicy {
	return retrier.WindowPolicy{Ratio: p.Ratio, Slack: p.Slack, Span: p.Window.Std()}
}

// run takes events until ctx ends.
func (p *choosing) run(ctx context.Context) {
	defer close(p.ended)
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	p.share = time.NewTimer(time.Hour)
	defer p.share.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-p.events:
			p.take(time.Now(), e)
		case <-p.share.C:
			p.tell()
		case <-sweep.C:
			p.sweep(time.Now())
		}
	}
}

func (p *choosing) take(now time.Time, e event) {
	switch e := e.(type) {
	case workerAsked:
		p.place(now, e)
	case seekHeard:
		p.answerSeek(now, e)
	case soughtHeard:
		p.hearSought(now, e)
	case seekLate:
		p.late(now, e)
	case sendBegun:
		p.view.BegunAfter(now, e.id, e.took)
		p.shared.Begun = append(p.shared.Begun, e.id)
		p.shared.Took = append(p.shared.Took, e.took)
		p.tellWithin(now, p.within(restWithin, restToDeciders))
	case limitNamed:
		p.name(now, e)
	case sendEnded:
		p.view.Ended(now, e.id, e.outcome)
		p.tellEnded(now, e)
	case sharedHeard:
		p.hear(now, e)
	case entriesSeen:
		p.see(now, e)
	case wordHeard:
		p.hearWord(now, e)
	case entriesHeard:
		p.hearEntries(now, e)
	case quarantineHeard:
		p.quarantine.hear(now, e)
	case quarantineStored:
		p.quarantine.stored(now, e)
	case storeRestored:
		p.quarantine.restore()
	case beliefsAsked:
		e.reply <- p.believe(now)
	case nextAsked:
		e.reply <- p.callNext(now)
	case rosterChanged:
		p.enroll(now, e.roster)
	case settingsChanged:
		p.repeat = policyOf(e.settings.Repeat)
	case folderChanged:
		p.folder = e.folder
		p.setWorkers(now)
	}
	p.quarantine.notice(now)
}

// place has a worker picked for a request, within the budget of repeats.
func (p *choosing) place(now time.Time, e workerAsked) {
	if refused := p.spend(now, e); refused != nil {
		e.reply <- workerReply{refused: refused}
		return
	}
	if !p.seek(now, e) {
		e.reply <- p.decide(now, e.ask)
	}
}

// spend counts a request, and refuses a repeat beyond this host's share of the budget.
func (p *choosing) spend(now time.Time, e workerAsked) *router.Refused {
	w := p.windows[e.ask.Service]
	if w == nil {
		w = &retrier.Window{}
		p.windows[e.ask.Service] = w
	}
	if !e.again {
		w.RecordFirst(now, p.repeat)
		return nil
	}
	if !w.Take(now, p.repeat, p.hosts) {
		return &router.Refused{Reason: "retry_budget", RetryAfter: time.Second}
	}
	return nil
}

// decide picks a worker by this host's view.
func (p *choosing) decide(now time.Time, a placer.Request) workerReply {
	choice, refusal := p.view.Place(now, rand.Uint64(), a)
	if refusal != nil {
		p.tellWithin(now, p.within(restWithin, restToDeciders))
		return refusedBy("", *refusal, choice.Basis)
	}
	p.tellSent(now, p.self, choice.Flight)
	return workerReply{place: router.Placement{
		ID: choice.Flight.ID, Service: a.Service, Worker: choice.Worker, ExpectedWait: choice.Wait, Delay: choice.Delay, Source: choice.Source, PromptTokens: choice.Flight.Prefill, HalfFull: choice.Filling, ListAge: now.Sub(p.listed), RateLimit: p.view.RateLimit(choice.Worker.Name),
	}}
}

// enroll takes a new roster, and forgets what hosts that are gone had under way.
func (p *choosing) enroll(now time.Time, r registrar.Roster) {
	for _, h := range p.roster.Hosts() {
		if _, ok := r.Find(h.Name); !ok {
			p.view.HostLost(now, h.Name)
		}
	}
	before, listened := p.roster, p.deciding.listeners
	p.roster = r
	p.relay.SetHosts(r)
	p.deciding.enroll(r)
	p.catchUp(now, before, listened)
	p.quarantine.enroll(now, r)
	p.view.SetDeciders(len(p.deciding.deciders), p.deciding.place(p.self))
	p.hosts = max(p.hosts, len(r.Hosts()))
}

// setWorkers gives the view the workers that may get requests.
func (p *choosing) setWorkers(now time.Time) {
	var workers []placer.Worker
	for _, e := range p.directory.Available() {
		w := placer.Worker{
			Name: e.Name, Service: e.Service, Address: e.Address, Zone: e.Zone, Slots: e.Slots, ColdFor: e.WarmUp, Instance: e.Incarnation,
		}
		if p.folder != nil {
			s := p.folder.Services[e.Service]
			w.CacheTokens, w.EventTokens, w.TokenBytes, w.LinkMbps = s.CacheTokens, s.EventTokens, s.TokenBytes, s.LinkMbps
		}
		workers = append(workers, w)
	}
	added, gone := p.view.SetWorkers(now, workers)
	for _, w := range added {
		p.log.Info("worker", zap.String("worker", w.Name), zap.String("service", w.Service), zap.String("address", w.Address), zap.String("state", "present"))
	}
	for _, w := range gone {
		p.log.Info("worker", zap.String("worker", w.Name), zap.String("service", w.Service), zap.String("address", w.Address), zap.String("state", "away"))
	}
}

func (p *choosing) sweep(now time.Time) {
	p.beat(now)
	p.takeTurn(now, "watchers and words")
	p.view.Sweep(now)
	p.quarantine.sweep(now)
	p.deciding.sweep(now)
	if p.directory.Sweep(now) {
		p.setWorkers(now)
	}
}

func (workerAsked) event() {}
func (sendBegun) event()   {}
func (sendEnded) event()   {}
