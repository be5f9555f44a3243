package runner

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/forwarder"
	"github.com/cicadawood/cicadawood/keeper"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/reserver"
	"github.com/cicadawood/cicadawood/server"
	"github.com/cicadawood/cicadawood/storer"
)

// caller sends calls to backend servers.
type caller interface {
	Do(ctx context.Context, address string, c forwarder.Call) (*forwarder.Answer, error)
}

// onceManager is a host's part in running calls at most once: the keepers of its partitions
// and the calls of its entry. The control goroutine owns it.
type onceManager struct {
	control *control
	store   storer.Store
	forward caller
	memory  *reserver.Memory // for answers
	limits  loader.Once
	metrics *onceMetrics
	log     *zap.Logger

	partitions    int           // 0 until the layout has been read
	layout        layout        // as read from the store
	era           func() uint64 // returns the latest era of the store
	keepers       map[int]*partitionKeeper
	ownedSince    map[int]time.Time    // by partition
	lastLoadCheck time.Time            // when partitions were last checked for logs to load
	calls         map[string]*onceCall // of this host's entry, by request
	placeRequests uint64               // number of places requested so far
	nextTick      time.Time            // when the next tick is due
}

// partitionKeeper is the keeper of one partition with the state that its outputs need.
type partitionKeeper struct {
	partition    int
	keeper       *keeper.Keeper
	payloads     map[string]payload // by request
	acquisitions map[attempt]*acquisition
	triedWorkers map[keeper.ID][]string // workers that did not run the call
	epoch        uint64
	inputs       []keeper.Input // queued while an earlier one is handled
	handling     bool
}

// payload is a call that a keeper may have to send.
type payload struct {
	message  messenger.Once
	deadline time.Time
}

// attempt identifies one Acquire.
type attempt struct {
	id     keeper.ID
	number int
}

// acquisition is an Acquire from its start to its Release.
type acquisition struct {
	cancel    context.CancelFunc
	place     *server.Place // nil while it waits
	usage     server.Usage
	grantedAt time.Time
}

func newOnceManager(c *control, s storer.Store, f caller, memory *reserver.Memory, l loader.Once, m *onceMetrics, log *zap.Logger) *onceManager {
	return &onceManager{
		control: c, store: s, forward: f, memory: memory, limits: l, metrics: m, log: log,
		keepers: map[int]*partitionKeeper{}, ownedSince: map[int]time.Time{}, calls: map[string]*onceCall{},
		era: func() uint64 { return 0 },
	}
}

func (k *onceManager) settings() keeper.Settings {
	return keeper.Settings{
		WritesPerSecond: k.limits.WritesPerSecond, MaxOperations: k.limits.MaxOperations, MaxRecords: k.limits.MaxRecords,
		AnswerCacheBytes: k.limits.AnswerCacheBytes, MaxAnswerBytes: k.limits.MaxStoredAnswer, Retention: k.limits.Retention.Std(), LayoutEra: k.layout.Era,
	}
}

// partitionRole is the role under which the roster assigns a partition to a host.
func partitionRole(partition int) string { return fmt.Sprintf("once/%d", partition) }

// handleEvent handles an event about at-most-once calls.
func (k *onceManager) handleEvent(now time.Time, e event) {
	k.tickSoon(now)
	switch e := e.(type) {
	case onceRequested:
		k.startCall(now, e)
	case keeperInput:
		k.handle(now, e.keeper, e.input)
	case placeAcquired:
		k.handlePlace(now, e)
	case callFinished:
		k.handleFinished(now, e)
	case layoutRead:
		k.partitions, k.layout = e.layout.Partitions, e.layout
		k.updateOwned(now, k.control.roster)
	case storeRestored:
		k.handleRestore(now, e.era)
	case inFlightRequested:
		e.reply <- k.inFlight()
	}
}

// handleMessage handles a message about an at-most-once call.
func (k *onceManager) handleMessage(now time.Time, from string, m messenger.Message) {
	if k == nil {
		return
	}
	k.tickSoon(now)
	switch m := m.(type) {
	case messenger.Once:
		k.receiveCall(now, from, m)
	case messenger.OnceReadyReply:
		if p := k.keepers[m.Partition]; p != nil && len(m.ID) == len(keeper.ID{}) {
			k.handle(now, p, keeper.ReadyAnswered{ID: keeper.ID(m.ID), Request: m.Request, OK: m.OK})
		}
	case messenger.OnceReady:
		k.confirmReady(now, from, m)
	case messenger.OnceVerdict:
		k.handleVerdict(now, m)
	}
}

// receiveCall accepts a call for a partition. A host that is not responsible for it replies
// that the partition has moved: two keepers that both serve a partition would seal each
// other's logs repeatedly.
func (k *onceManager) receiveCall(now time.Time, from string, m messenger.Once) {
	if !k.accepts(m) || len(m.ID) != len(keeper.ID{}) || len(m.Hash) != len(keeper.ID{}) {
		k.control.send(now, from, messenger.OnceVerdict{Request: m.Request, Kind: uint8(keeper.KindMoved), Reason: keeper.ReasonMoved})
		return
	}
	p := k.keeperOf(m.Partition)
	deadline := now.Add(m.Ask.Deadline)
	p.payloads[m.Request] = payload{message: m, deadline: deadline}
	k.handle(now, p, keeper.CallReceived{Call: keeper.Call{
		ID: keeper.ID(m.ID), Hash: [16]byte(m.Hash), KeyTime: m.KeyTime, Request: m.Request, From: from, Deadline: deadline,
	}})
}

func (k *onceManager) keeperOf(partition int) *partitionKeeper {
	p := k.keepers[partition]
	if p == nil {
		p = &partitionKeeper{
			partition: partition, keeper: keeper.New(k.control.self, k.control.epoch, k.settings()),
			payloads: map[string]payload{}, acquisitions: map[attempt]*acquisition{}, triedWorkers: map[keeper.ID][]string{},
		}
		k.keepers[partition] = p
	}
	return p
}

// accepts returns whether this host is responsible for a call: as the owner of its
// partition, or because it has already started it.
func (k *onceManager) accepts(m messenger.Once) bool {
	if owner, ok := k.control.roster.Owner(partitionRole(m.Partition)); ok && owner.Name == k.control.self {
		return true
	}
	p := k.keepers[m.Partition]
	return p != nil && len(m.ID) == len(keeper.ID{}) && p.keeper.InFlight(keeper.ID(m.ID))
}

// handle passes an input to a keeper and performs its outputs in order. An input that these
// cause immediately, by a message to this host itself, is queued.
func (k *onceManager) handle(now time.Time, p *partitionKeeper, in keeper.Input) {
	p.inputs = append(p.inputs, in)
	if p.handling {
		return
	}
	p.handling = true
	for len(p.inputs) > 0 {
		in, p.inputs = p.inputs[0], p.inputs[1:]
		for _, o := range p.keeper.Handle(now, in) {
			k.perform(now, p, o)
		}
	}
	p.handling = false
}

// postInput passes an input from a traffic goroutine to the control goroutine.
func (k *onceManager) postInput(p *partitionKeeper, in keeper.Input) {
	k.control.post(keeperInput{keeper: p, input: in})
}

func (k *onceManager) perform(now time.Time, p *partitionKeeper, o keeper.Output) {
	switch o := o.(type) {
	case keeper.Acquire:
		k.acquire(now, p, o)
	case keeper.Release:
		k.release(now, p, o)
	case keeper.Ready:
		k.control.send(now, o.To, messenger.OnceReady{Request: o.Request, Partition: p.partition, ID: o.ID[:], Order: o.Order})
	case keeper.Send:
		k.send(now, p, o)
	case keeper.Reply:
		k.reply(now, p, o)
	default:
		k.metrics.countCall(o)
		go k.callStore(p, o)
	}
}

func (k *onceManager) reply(now time.Time, p *partitionKeeper, o keeper.Reply) {
	v := o.Verdict
	delete(p.payloads, o.Request)
	k.metrics.countVerdict(v.Kind)
	k.log.Info("once", zap.String("request", o.Request), zap.String("entry", o.To), zap.Int("partition", p.partition),
		zap.String("verdict", v.Kind.String()), zap.String("reason", v.Reason), zap.Uint64("order", v.Order))
	m := messenger.OnceVerdict{Request: o.Request, Kind: uint8(v.Kind), Reason: v.Reason, RetryAfter: v.RetryAfter, Order: v.Order}
	if v.Answer != nil {
		m.Status, m.Header, m.Body = v.Answer.Status, v.Answer.Header, v.Answer.Body
	}
	k.control.send(now, o.To, m)
}

// tick advances keepers and the entry's calls.
func (k *onceManager) tick(now time.Time) {
	if k == nil || now.Before(k.nextTick) {
		return
	}
	for _, p := range k.keepers {
		k.handle(now, p, keeper.Ticked{})
		for request, pl := range p.payloads {
			if now.After(pl.deadline) {
				delete(p.payloads, request)
			}
		}
		if s := p.keeper.Summary(); s.Epoch != p.epoch {
			k.log.Info("partition", zap.Int("partition", p.partition), zap.Uint64("epoch", s.Epoch), zap.Bool("ready", s.Ready))
			p.epoch = s.Epoch
		}
	}
	k.metrics.setGauges(k.keepers)
	for _, c := range k.calls {
		k.checkCall(now, c)
	}
	k.loadLogs(now)
	k.scheduleTick(now)
}

// inFlightRequested asks for the number of operations in flight at this host's keepers.
type inFlightRequested struct{ reply chan<- int }

func (inFlightRequested) event() {}

// waitOnceIdle waits until this host's keepers have no operation in flight, so that a
// planned stop aborts none, or until ctx ends. It returns how many are left.
func (c *control) waitOnceIdle(ctx context.Context) int {
	for {
		reply := make(chan int, 1)
		if !c.post(inFlightRequested{reply: reply}) {
			return 0
		}
		remaining := <-reply
		if remaining == 0 || ctx.Err() != nil {
			return remaining
		}
		select {
		case <-ctx.Done():
		case <-time.After(onceTickInterval):
		}
	}
}

// inFlight returns the number of operations in flight at this host's keepers.
func (k *onceManager) inFlight() int {
	n := 0
	if k == nil {
		return n
	}
	for _, p := range k.keepers {
		s := p.keeper.Summary()
		n += s.Operations + s.Unconfirmed
	}
	return n
}

func (k *onceManager) state() map[int]keeper.Summary {
	out := map[int]keeper.Summary{}
	if k == nil {
		return out
	}
	for partition, p := range k.keepers {
		out[partition] = p.keeper.Summary()
	}
	return out
}
