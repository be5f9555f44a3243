package runner

import (
	"context"
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/forwarder"
	"github.com/cicadawood/cicadawood/keeper"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/observer"
	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/quarantiner"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/relayer"
	"github.com/cicadawood/cicadawood/reserver"
	"github.com/cicadawood/cicadawood/resumer"
	"github.com/cicadawood/cicadawood/router"
	"github.com/cicadawood/cicadawood/server"
	"github.com/cicadawood/cicadawood/storer"
	"github.com/cicadawood/cicadawood/tunneler"
)

// Control is a host's control state, driven by a test instead of its goroutine.
type Control struct{ c *control }

// Answer is the reply to a call: a place or a refusal.
type Answer struct {
	Place   server.Place
	Refusal *server.Refusal
}

// NewControl returns the control state of a host that sends through send.
func NewControl(self string, send func(address string, m messenger.Message)) Control {
	return Control{newControl(self, 1, sendFunc(send), zap.NewNop())}
}

type sendFunc func(address string, m messenger.Message)

// Send implements sender.
func (f sendFunc) Send(address string, m messenger.Message) error {
	f(address, m)
	return nil
}

// SendAll implements sender.
func (f sendFunc) SendAll(addresses []string, m messenger.Message) error {
	for _, a := range addresses {
		f(a, m)
	}
	return nil
}

// SetGeneration implements sender.
func (sendFunc) SetGeneration(uint64) {}

// Deliver delivers a message from a host.
func (k Control) Deliver(now time.Time, from string, m messenger.Message) {
	k.c.handle(now, frameReceived{from: from, message: m})
}

// Ask starts a call. The function returned polls its answer.
func (k Control) Ask(now time.Time, service string, a messenger.Ask) func() (Answer, bool) {
	reply := make(chan placeReply, 2)
	k.c.handle(now, placeRequested{service: service, ask: a, reply: reply})
	return func() (Answer, bool) {
		select {
		case r := <-reply:
			return Answer{Place: r.place, Refusal: r.refusal}, true
		default:
			return Answer{}, false
		}
	}
}

// Cancel withdraws a call that waits.
func (k Control) Cancel(now time.Time, request string) {
	k.c.handle(now, placeCanceled{request: request})
}

// Release returns a place.
func (k Control) Release(now time.Time, p server.Place) {
	k.c.handle(now, placeReleased{place: p, usage: server.Usage{Tokens: 10, FirstByte: 50 * time.Millisecond}})
}

// StartQuarantine makes the host track which calls crash workers.
func (k Control) StartQuarantine() {
	k.c.startQuarantine(k.c.sender, nil, prometheus.NewRegistry())
}

// Crash reports that a worker crashed with a call. The channel is closed when that is counted.
func (k Control) Crash(now time.Time, worker string, f quarantiner.Fingerprint, sentAt time.Time) <-chan struct{} {
	counted := make(chan struct{})
	k.c.handle(now, workerCrashed{worker: worker, fingerprint: f, sentAt: sentAt, counted: counted})
	return counted
}

// UnconfirmedCrashes returns the number of crashes whose confirmation the host awaits.
func (k Control) UnconfirmedCrashes() int { return len(k.c.quarantine.unconfirmed) }

// Quarantined reports whether the host refuses a call.
func (k Control) Quarantined(f quarantiner.Fingerprint) bool {
	_, quarantined := k.c.quarantine.Quarantined(f)
	return quarantined
}

// Progress reports how many tokens a call has produced.
func (k Control) Progress(now time.Time, p server.Place, tokens int) {
	k.c.handle(now, progressReported{place: p, tokens: tokens})
}

// Configure puts a configuration in force.
func (k Control) Configure(now time.Time, f *loader.Folder) {
	k.c.handle(now, configChanged{folder: f, generation: 1})
}

// SetRoster applies a roster.
func (k Control) SetRoster(now time.Time, r registrar.Roster) {
	k.c.handle(now, rosterChanged{roster: r})
}

// Tick performs all work that is due.
func (k Control) Tick(now time.Time) { k.c.tick(now) }

// State returns the control state.
func (k Control) State() State { return k.c.state() }

// Admit charges a request to an organisation, as the entry does.
func (k Control) Admit(now time.Time, organisation string) bool {
	_, ok := k.c.limits.gates.Admit(now, organisation, 0, 0)
	return ok
}

// RequestRate returns the requests a second that the entry admits now.
func (k Control) RequestRate(now time.Time, organisation string) float64 {
	return k.c.limits.gates.Rates(now)[organisation].Requests
}

// Keeper returns the keeper of a partition. It has no store.
func (k Control) Keeper(partition int) *keeper.Keeper {
	if k.c.once == nil {
		k.c.once = newOnceManager(k.c, nil, nil, new(reserver.Memory), loader.Once{}, newOnceMetrics(prometheus.NewRegistry()), zap.NewNop())
	}
	return k.c.once.keeperOf(partition).keeper
}

// Next returns when the next tick is due.
func (k Control) Next() time.Time { return k.c.nextTick() }

// PendingFrames are the frames that wait for a configuration.
type PendingFrames struct{ h pendingFrames }

// Add returns whether a message has to wait for a newer configuration.
func (k *PendingFrames) Add(now time.Time, from string, m messenger.Message, generation uint64) bool {
	return k.h.add(now, frameReceived{from: from, message: m}, generation)
}

// Release returns the messages that waited for a configuration.
func (k *PendingFrames) Release(now time.Time, f *loader.Folder, generation uint64) []messenger.Message {
	var out []messenger.Message
	for _, f := range k.h.release(now, f, generation) {
		out = append(out, f.message)
	}
	return out
}

// Selector is a host's selection of workers, driven by a test instead of its goroutine.
type Selector struct{ c *selector }

// NewSelector returns the selector of a host that sends through send and knows the workers.
func NewSelector(self string, workers []placer.Worker, send func(address string, m messenger.Message)) Selector {
	return NewSelectorOf(time.Now(), loader.Host{Name: self, Zone: "z"}, workers, send)
}

// NewSelectorOf is NewSelector with settings of the host, whose process starts now.
func NewSelectorOf(now time.Time, h loader.Host, workers []placer.Worker, send func(address string, m messenger.Message)) Selector {
	c := newSelector(now, h, sendFunc(send), nil, tunneler.New(tunneler.Config{}), zap.NewNop())
	c.updateTimer = time.NewTimer(time.Hour)
	c.view.SetWorkers(now, workers)
	return Selector{c}
}

// Charge requests a worker for a request, which is charged to the retry budget. The function
// returned reports whether one was granted, and the placement.
func (x Selector) Charge(now time.Time, a placer.Request, c router.Charge) (granted func() (router.Placement, bool)) {
	reply := make(chan workerReply, 1)
	x.c.handle(now, workerRequested{request: a, charge: c, reply: reply})
	return func() (router.Placement, bool) {
		select {
		case r := <-reply:
			return r.placement, r.refused == nil
		default:
			return router.Placement{}, false
		}
	}
}

// RepeatsEnded reports what became of repeats.
func (x Selector) RepeatsEnded(now time.Time, e router.RepeatsEnded) {
	x.c.handle(now, repeatsEnded{e})
}

// Answered reports that a worker answered a request.
func (x Selector) Answered(now time.Time, worker string) {
	x.c.handle(now, flightEnded{worker: worker, outcome: placer.Answered})
}

// Sweep removes expired state.
func (x Selector) Sweep(now time.Time) { x.c.sweep(now) }

// SetRoster applies a roster.
func (x Selector) SetRoster(now time.Time, r registrar.Roster) {
	x.c.handle(now, rosterChanged{roster: r})
}

// Ask requests a worker; the result follows immediately or later.
func (x Selector) Ask(now time.Time, a placer.Request) <-chan string {
	reply, out := make(chan workerReply, 1), make(chan string, 1)
	x.c.handle(now, workerRequested{request: a, reply: reply})
	go func() {
		if r := <-reply; r.refused != nil {
			out <- "refused " + r.refused.Reason
		} else {
			out <- r.placement.Worker.Name + " by " + r.placement.PlacedBy
		}
	}()
	return out
}

// List applies a list of workers.
func (x Selector) List(now time.Time, workers []observer.Entry) {
	x.c.directory.Listed(now, workers)
	x.c.setWorkers(now)
}

// StoreAnswered applies an answer of the store to a call of this host that was sent at a time.
func (x Selector) StoreAnswered(now, sentAt time.Time, full bool, u relayer.Update) {
	x.c.handle(now, storeResult{full: full, update: u, sentAt: sentAt})
}

// StoreFailed applies that a call of the store got no answer.
func (x Selector) StoreFailed(now time.Time) { x.StoreFailedSince(now, now) }

// StoreFailedSince applies that a call of the store that was sent at a time got no answer.
func (x Selector) StoreFailedSince(now, sentAt time.Time) {
	x.c.handle(now, failedResult(storer.ErrUnavailable, sentAt))
}

// StoreThrottled applies that the store refused a call, as there are too many.
func (x Selector) StoreThrottled(now time.Time) {
	x.c.handle(now, failedResult(fmt.Errorf("%w: %w", storer.ErrUnavailable, storer.ErrThrottled), now))
}

// TakeUp asks where a stream that is taken up may go on. The channel has the answer, once there is
// one.
func (x Selector) TakeUp(now time.Time, t resumer.TakenUp) <-chan resumer.Answer {
	reply := make(chan resumer.Answer, 1)
	x.c.handle(now, streamTakenUp{stream: t, until: now.Add(maxHold), reply: reply})
	return reply
}

// SetListReader sets the call of the store that confirms the list.
func (x Selector) SetListReader(read func(after storer.Version) (relayer.Update, error)) {
	x.c.confirmation.read = func(after storer.Version) (storeResult, error) {
		sentAt := time.Now()
		u, err := read(after)
		return storeResult{update: u, sentAt: sentAt}, err
	}
}

// CertaintyInterval returns the minimum time between two calls of a host that show which start of a
// worker runs.
func CertaintyInterval(hosts int) time.Duration { return certaintyInterval(hosts) }

// ReceiveList handles another host's update of the list of workers, before all that was posted.
func (x Selector) ReceiveList(now time.Time, from string, u messenger.ListUpdate) {
	x.c.handle(now, listUpdateReceived{from: from, update: u})
}

// HandlePosted handles the events that were posted, as the host's goroutine does.
func (x Selector) HandlePosted() {
	for {
		select {
		case e := <-x.c.events:
			x.c.handle(time.Now(), e)
		default:
			return
		}
	}
}

// StoreFails reports whether the store does not answer the host.
func (x Selector) StoreFails(now time.Time) bool { return x.c.confirmation.failing(now) }

// Replaced asks whether a worker has started again, as the end of an answer does.
func (x Selector) Replaced(now time.Time, w resumer.Worker, until time.Time) <-chan bool {
	reply := make(chan bool, 1)
	x.c.handle(now, replacedRequested{worker: w, until: until, reply: reply})
	return reply
}

// ReplacedBy asks whether a worker has started again whose start confirmed the end of an answer.
func (x Selector) ReplacedBy(now time.Time, w resumer.Worker, by router.Confirmation) <-chan bool {
	reply := make(chan bool, 1)
	x.c.handle(now, newReplacedRequested(now, w, by, reply))
	return reply
}

// ReplacedWithin asks whether a worker has started again, as the transaction does whose time ends
// with ctx.
func (x Selector) ReplacedWithin(ctx context.Context, w resumer.Worker, by router.Confirmation) bool {
	return x.c.Replaced(ctx, w, by)
}

// Certain asks whether it is a worker that answers over a connection made at openedAt. The
// channel has the answer, once there is one.
func (x Selector) Certain(now time.Time, w resumer.Worker, openedAt time.Time) <-chan bool {
	reply := make(chan bool, 1)
	x.c.handle(now, certaintyRequested{worker: w, openedAt: openedAt, until: now.Add(maxHold), reply: reply})
	return reply
}

// Software returns the software that served in a service, as far as the host knows.
func (x Selector) Software(now time.Time, service string) []string {
	t := x.c.origins.resumer.Tell(now, resumer.Ask{Services: []string{service}})
	return t.Histories[0].Software
}

// Complete reports whether the host knows all software that served in a service within the life
// of its streams.
func (x Selector) Complete(now time.Time, service string) bool {
	t := x.c.origins.resumer.Tell(now, resumer.Ask{Services: []string{service}})
	return t.Histories[0].Complete
}

// Fresh reports whether the host tells others that its list of workers is current.
func (x Selector) Fresh(now time.Time, service string) bool {
	t := x.c.origins.resumer.Tell(now, resumer.Ask{Services: []string{service}})
	return t.Histories[0].Fresh
}

// SetBootTime sets the clock that counts while the machine is suspended.
func (x Selector) SetBootTime(boot func() time.Duration) { x.c.boot = boot }

// StoodStill returns how long a process stood still between two observations, by the time between
// them on both clocks.
func StoodStill(steady, boot time.Duration) time.Duration {
	var s standstill
	start := time.Unix(1000, 0)
	s.observe(start, 0)
	stood, _ := s.observe(start.Add(steady), boot)
	return stood
}

// ReportLeaving reports that a worker stated in an answer that it is leaving.
func (x Selector) ReportLeaving(now time.Time, p observer.Process) {
	x.c.handle(now, leavingReported{process: p})
}

// ReportBackoff reports that a worker refused a request and wants no others for a time.
func (x Selector) ReportBackoff(now time.Time, w placer.Worker, d time.Duration) {
	x.c.handle(now, backoffReported{worker: w, duration: d})
}

// Place requests a worker and returns the immediate result; false where there is none.
func (x Selector) Place(now time.Time, a placer.Request) (router.Placement, bool) {
	reply := make(chan workerReply, 1)
	x.c.handle(now, workerRequested{request: a, reply: reply})
	select {
	case r := <-reply:
		return r.placement, r.refused == nil
	default:
		return router.Placement{}, false
	}
}

// End ends a request at its worker.
func (x Selector) End(now time.Time, p router.Placement) {
	x.c.handle(now, flightEnded{id: p.ID, outcome: placer.Answered, halfFull: p.HalfFull})
}

// UpdateDelay returns the time from now until the next update to the other hosts.
func (x Selector) UpdateDelay(now time.Time) time.Duration { return x.c.updateDue.Sub(now) }

// Receive handles a message of another host. The test drives the time, see DeciderTimedOut:
// events of real timers are dropped.
func (x Selector) Receive(now time.Time, from string, m messenger.Message) {
	g := &hostRoutes{selector: x.c}
	g.receive(from, m)
	for {
		e := <-x.c.events
		if _, timer := e.(placementTimedOut); !timer {
			x.c.handle(now, e)
			return
		}
	}
}

// DeciderTimedOut ends the time that a decider has to answer a request.
func (x Selector) DeciderTimedOut(now time.Time, id uint64) {
	x.c.handle(now, placementTimedOut{id: id})
}

// DeciderTimeout returns how long a decider may take to answer.
func (x Selector) DeciderTimeout() time.Duration { return x.c.deciderSet.timeout() }

// RequestOf returns the request that a message asks a decider to place.
func RequestOf(s messenger.PlacementRequest) placer.Request { return decodeRequest(s) }

// SendUpdate sends the events since it was last called to the other hosts.
func (x Selector) SendUpdate() { x.c.sendUpdate() }

// Flights returns the number of requests that the host counts at a worker.
func (x Selector) Flights(now time.Time, worker string) int {
	for _, b := range x.c.view.WorkerStates(now) {
		if b.Worker == worker {
			return b.Flights
		}
	}
	return 0
}

// HelpersOf returns the names of the hosts of a roster that may help another one.
func HelpersOf(r registrar.Roster, self string) []string {
	var out []string
	for _, h := range helpersOf(r, self) {
		out = append(out, h.Name)
	}
	return out
}

// CallWorker makes one call to a backend server, whose answer may have limit bytes.
func CallWorker(f caller, m *reserver.Memory, limit int64) (keeper.CallResult, *keeper.Answer, error) {
	k := &onceManager{forward: f, memory: m, limits: loader.Once{MaxAnswer: limit}}
	return k.callWorker(context.Background(), "", forwarder.Call{})
}

// FirstStart decides whether the whole system starts for the first time.
type FirstStart struct{ f firstStart }

// NewFirstStart returns the FirstStart of a host whose settings say so.
func NewFirstStart() *FirstStart { return &FirstStart{firstStart{claimed: true}} }

// Written applies that the host's record was written.
func (x *FirstStart) Written(now time.Time, fresh bool) { x.f.written(now, fresh) }

// SetRoster applies a roster.
func (x *FirstStart) SetRoster(self string, r registrar.Roster) { x.f.setRoster(self, r) }

// Confirmed reports whether it is the first start.
func (x *FirstStart) Confirmed(now time.Time) bool { return x.f.confirmed(now) }

// OddEntries is what a host records of workers' entries that it doesn't use.
type OddEntries struct{ oddEntries }

// Register adds the counter to a registry.
func (x *OddEntries) Register(r prometheus.Registerer) { x.register(r) }

// Refuse records that an entry is not used.
func (x *OddEntries) Refuse(log *zap.Logger, o storer.Object, err error) { x.record(log, o, err) }

// Use records that an entry is used.
func (x *OddEntries) Use(o storer.Object) { x.forget(o) }

// RelayedUpdates returns the messages by which a host sends an update of the workers' entries.
func RelayedUpdates(w relayer.Update) []messenger.ListUpdate {
	var sent []messenger.ListUpdate
	x := NewSelector("h-1", nil, func(_ string, m messenger.Message) { sent = append(sent, m.(messenger.ListUpdate)) })
	x.c.roster = registrar.NewRoster(registrar.Record{Name: "h-1"}, registrar.Record{Name: "h-2", Control: "h-2"})
	x.c.broadcastChanges(w)
	return sent
}
