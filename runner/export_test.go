package runner

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/keeper"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/quarantiner"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/router"
	"github.com/cicadawood/cicadawood/server"
	"github.com/cicadawood/cicadawood/storer"
)

// Control is a host's control state, driven by a test in place of its goroutine.
type Control struct{ c *control }

// Answer is what a call was told: a place, or a refusal.
type Answer struct {
	Place   server.Place
	Refusal *server.Refusal
}

// NewControl returns the control state of a host that sends by send.
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

// Deliver hands over a message from a host.
func (k Control) Deliver(now time.Time, from string, m messenger.Message) {
	k.c.take(now, frameArrived{from: from, message: m})
}

// Ask starts a call; the function returned polls its answer.
func (k Control) Ask(now time.Time, service string, a messenger.Ask) func() (Answer, bool) {
	reply := make(chan placeReply, 2)
	k.c.take(now, placeAsked{service: service, ask: a, reply: reply})
	return func() (Answer, bool) {
		select {
		case r := <-reply:
			return Answer{Place: r.place, Refusal: r.refusal}, true
		default:
			return Answer{}, false
		}
	}
}

// Leave ends a call that waits.
func (k Control) Leave(now time.Time, request string) { k.c.take(now, placeLeft{request: request}) }

// Done gives a place back.
func (k Control) Done(now time.Time, p server.Place) {
	k.c.take(now, placeDone{place: p, use: server.Usage{Tokens: 10, FirstByte: 50 * time.Millisecond}})
}

// Advance tells how far a call has come.
func (k Control) Advance(now time.Time, p server.Place, tokens int) {
	k.c.take(now, placeProgressed{place: p, tokens: tokens})
}

// Configure puts a configuration in force.
func (k Control) Configure(now time.Time, f *loader.Folder) {
	k.c.take(now, folderChanged{folder: f, generation: 1})
}

// Enroll takes a roster.
func (k Control) Enroll(now time.Time, r registrar.Roster) { k.c.take(now, rosterChanged{roster: r}) }

// Tick lets time pass.
func (k Control) Tick(now time.Time) { k.c.tick(now) }

// State is the control state's dump.
func (k Control) State() State { return k.c.state() }

// Admit charges a request of an organisation, as the entry does.
func (k Control) Admit(now time.Time, organisation string) bool {
	_, ok := k.c.limiting.gates.Admit(now, organisation, 0, 0)
	return ok
}

// Allowed is the requests a second that the entry lets in now.
func (k Control) Allowed(now time.Time, organisation string) float64 {
	return k.c.limiting.gates.Rates(now)[organisation].Requests
}

// Keeper is the control state's keeper of a partition. It has no store.
func (k Control) Keeper(partition int) *keeper.Keeper {
	if k.c.keeping == nil {
		k.c.keeping = newKeeping(k.c, nil, nil, loader.Once{}, newKeepingMetrics(prometheus.NewRegistry()), zap.NewNop())
	}
	return k.c.keeping.keeperOf(partition).keeper
}

// Next is when the next tick is due.
func (k Control) Next() time.Time { return k.c.nextTick() }

// Holding is what waits for a configuration.
type Holding struct{ h holding }

// Take says whether a message has to wait for a newer configuration.
func (k *Holding) Take(now time.Time, from string, m messenger.Message, generation uint64) bool {
	return k.h.take(now, frameArrived{from: from, message: m}, generation)
}

// Release returns the messages that waited for a configuration.
func (k *Holding) Release(now time.Time, f *loader.Folder, generation uint64) []messenger.Message {
	var out []messenger.Message
	for _, f := range k.h.release(now, f, generation) {
		out = append(out, f.message)
	}
	return out
}

// Choosing is a host's choice of workers, driven by hand.
type Choosing struct{ c *selector }

// NewChoosing returns the choosing of a host that sends by send; its workers are known.
func NewChoosing(self string, workers []placer.Worker, send func(address string, m messenger.Message)) Choosing {
	c := newSelector(self, "z", sendFunc(send), nil, loader.Repeat{}, zap.NewNop())
	c.updateTimer = time.NewTimer(time.Hour)
	c.view.SetWorkers(time.Now(), workers)
	return Choosing{c}
}

// Enroll takes the hosts that are there.
func (x Choosing) Enroll(now time.Time, r registrar.Roster) {
	x.c.handle(now, rosterChanged{roster: r})
}

// Ask asks for a worker; the result comes at once or later.
func (x Choosing) Ask(now time.Time, a placer.Request) <-chan string {
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

// Place asks for a worker and returns what came at once; false where nothing did.
func (x Choosing) Place(now time.Time, a placer.Request) (router.Placement, bool) {
	reply := make(chan workerReply, 1)
	x.c.handle(now, workerRequested{request: a, reply: reply})
	select {
	case r := <-reply:
		return r.placement, r.refused == nil
	default:
		return router.Placement{}, false
	}
}

// End ends a request at its place.
func (x Choosing) End(now time.Time, p router.Placement) {
	x.c.handle(now, flightEnded{id: p.ID, outcome: placer.Answered, halfFull: p.HalfFull})
}

// Due is how long after now the others are told of what happened.
func (x Choosing) Due(now time.Time) time.Duration { return x.c.updateDue.Sub(now) }

// Hear takes a message of another host. Time passes by hand, see Silent: what a real
// timer says is dropped.
func (x Choosing) Hear(now time.Time, from string, m messenger.Message) {
	g := &routing{choosing: x.c}
	g.hear(from, m)
	for {
		e := <-x.c.events
		if _, timer := e.(placementTimedOut); !timer {
			x.c.handle(now, e)
			return
		}
	}
}

// Silent has the time pass that a decider has to answer a question.
func (x Choosing) Silent(now time.Time, id uint64) { x.c.handle(now, placementTimedOut{id: id}) }

// Patience is how long a decider may take to answer.
func (x Choosing) Patience() time.Duration { return x.c.deciderSet.timeout() }

// AskOf is the request that a question of another host is about.
func AskOf(s messenger.PlacementRequest) placer.Request { return decodeRequest(s) }

// Tell tells the others what happened since it last did.
func (x Choosing) Tell() { x.c.sendUpdate() }

// Flights is the requests that the host counts at a worker.
func (x Choosing) Flights(now time.Time, worker string) int {
	for _, b := range x.c.view.WorkerStates(now) {
		if b.Worker == worker {
			return b.Flights
		}
	}
	return 0
}

// QuarantineStore is the store of what is held back, driven by a test in place of the
// goroutines that call it.
type QuarantineStore struct{ q *quarantineStore }

// NewQuarantineStore returns one over a store.
func NewQuarantineStore(s storer.Store) QuarantineStore {
	return QuarantineStore{newQuarantineStore(s)}
}

// Restore has the store come back from an older copy.
func (s QuarantineStore) Restore() { s.q.storeRestored() }

// Sweep lets it make the call that is due, and returns what was read, and the errors; false
// where none was due.
func (s QuarantineStore) Sweep(now time.Time, owns bool, held []quarantiner.Entry) (read []quarantiner.Entry, bad, err error, due bool) {
	s.q.sweep(now, owns, held)
	select {
	case job := <-s.q.jobs:
		done := s.q.call(context.Background(), job)
		return s.q.done(now, done), done.malformed, done.err, true
	default:
		return nil, nil, nil, false
	}
}
