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
	"github.com/cicadawood/cicadawood/server"
	"github.com/cicadawood/cicadawood/storer"
)

// caller is the port to backend servers.
type caller interface {
	Do(ctx context.Context, address string, c forwarder.Call) (*forwarder.Answer, error)
}

// keeping is a host's part in running calls at most once: the keepers of its
// partitions, and its entry's calls. The control goroutine owns it.
type keeping struct {
	control *control
	store   storer.Store
	forward caller
	limits  loader.Once
	metrics *keepingMetrics
	log     *zap.Logger

	partitions int           // 0 until the Object API has told
	layout     layout        // that told it
	era        func() uint64 // the latest era of the store
	keepers    map[int]*kept
	owned      map[int]time.Time    // since when, by partition
	opened     time.Time            // when partitions were last looked through
	calls      map[string]*onceCall // of this host's entry, by request
	places     uint64               // asked for so far
	due        time.Time            // when the next tick is
}

// kept is one partition's keeper with what its outputs need.
type kept struct {
	partition int
	keeper    *keeper.Keeper
	payloads  map[string]payload // by request
	places    map[attempt]*placing
	tried     map[keeper.ID][]string // workers that did not run the call
	epoch     uint64
	inputs    []keeper.Input // that came while an earlier one is handled
	handling  bool
}

// payload is a call that a keeper may have to send.
type payload struct {
	message messenger.Once
	until   time.Time
}

// attempt names one Acquire.
type attempt struct {
	id     keeper.ID
	number int
}

// placing is an Acquire from its start to its Release.
type placing struct {
	cancel  context.CancelFunc
	place   *server.Place // nil while it waits
	use     server.Usage
	granted time.Time
}

func newKeeping(c *control, s storer.Store, f caller, l loader.Once, m *keepingMetrics, log *zap.Logger) *keeping {
	return &keeping{
		control: c, store: s, forward: f, limits: l, metrics: m, log: log,
		keepers: map[int]*kept{}, owned: map[int]time.Time{}, calls: map[string]*onceCall{},
		era: func() uint64 { return 0 },
	}
}

func (k *keeping) settings() keeper.Settings {
	return keeper.Settings{
		WritesPerSecond: k.limits.WritesPerSecond, MaxOperations: k.limits.MaxOperations, MaxRecords: k.limits.MaxRecords,
		AnswerCacheBytes: k.limits.AnswerCacheBytes, MaxAnswerBytes: k.limits.MaxStoredAnswer, Retention: k.limits.Retention.Std(), LayoutEra: k.layout.Era,
	}
}

// role is the name by which the roster gives a partition to a host.
func role(partition int) string { return fmt.Sprintf("once/%d", partition) }

// take takes an event about calls that must not be repeated.
func (k *keeping) take(now time.Time, e event) {
	k.soon(now)
	switch e := e.(type) {
	case onceAsked:
		k.begin(now, e)
	case keptInput:
		k.handle(now, e.kept, e.input)
	case placeFound:
		k.found(now, e)
	case callEnded:
		k.ended(now, e)
	case layoutKnown:
		k.partitions, k.layout = e.layout.Partitions, e.layout
		k.own(now, k.control.roster)
	case storeRestored:
		k.restored(now, e.era)
	case busyAsked:
		e.reply <- k.busy()
	}
}

// deliver takes a message about a call that must not be repeated.
func (k *keeping) deliver(now time.Time, from string, m messenger.Message) {
	if k == nil {
		return
	}
	k.soon(now)
	switch m := m.(type) {
	case messenger.Once:
		k.asked(now, from, m)
	case messenger.OnceReadyReply:
		if p := k.keepers[m.Partition]; p != nil && len(m.ID) == len(keeper.ID{}) {
			k.handle(now, p, keeper.ReadyAnswered{ID: keeper.ID(m.ID), Request: m.Request, OK: m.OK})
		}
	case messenger.OnceReady:
		k.ready(now, from, m)
	case messenger.OnceVerdict:
		k.verdict(now, m)
	}
}

// asked takes a call for a partition. A host that is not its owner says so: two
// keepers that both serve would only seal each other out, again and again.
func (k *keeping) asked(now time.Time, from string, m messenger.Once) {
	if !k.keeps(m) || len(m.ID) != len(keeper.ID{}) || len(m.Hash) != len(keeper.ID{}) {
		k.control.send(now, from, messenger.OnceVerdict{Request: m.Request, Kind: uint8(keeper.KindMoved), Reason: keeper.ReasonMoved})
		return
	}
	p := k.keeperOf(m.Partition)
	deadline := now.Add(m.Ask.Deadline)
	p.payloads[m.Request] = payload{message: m, until: deadline}
	k.handle(now, p, keeper.CallReceived{Call: keeper.Call{
		ID: keeper.ID(m.ID), Hash: [16]byte(m.Hash), KeyTime: m.KeyTime, Request: m.Request, From: from, Deadline: deadline,
	}})
}

func (k *keeping) keeperOf(partition int) *kept {
	p := k.keepers[partition]
	if p == nil {
		p = &kept{
			partition: partition, keeper: keeper.New(k.control.self, k.control.epoch, k.settings()),
			payloads: map[string]payload{}, places: map[attempt]*placing{}, tried: map[keeper.ID][]string{},
		}
		k.keepers[partition] = p
	}
	return p
}

// keeps says whether this host answers for a call: as the owner of its partition,
// or because it has begun it.
func (k *keeping) keeps(m messenger.Once) bool {
	if owner, ok := k.control.roster.Owner(role(m.Partition)); ok && owner.Name == k.control.self {
		return true
	}
	p := k.keepers[m.Partition]
	return p != nil && len(m.ID) == len(keeper.ID{}) && p.keeper.InFlight(keeper.ID(m.ID))
}

// handle gives a keeper an input and does what it wants done, in order: an input
// that this causes at once, by a message to this host itself, waits its turn.
func (k *keeping) handle(now time.Time, p *kept, in keeper.Input) {
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

// later brings an input from a traffic goroutine back to the control goroutine.
func (k *keeping) later(p *kept, in keeper.Input) { k.control.post(keptInput{kept: p, input: in}) }

func (k *keeping) perform(now time.Time, p *kept, o keeper.Output) {
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
		k.metrics.count(o)
		go k.call(p, o)
	}
}

func (k *keeping) reply(now time.Time, p *kept, o keeper.Reply) {
	v := o.Verdict
	delete(p.payloads, o.Request)
	k.metrics.verdict(v.Kind)
	k.log.Info("once", zap.String("request", o.Request), zap.String("entry", o.To), zap.Int("partition", p.partition),
		zap.String("verdict", v.Kind.String()), zap.String("reason", v.Reason), zap.Uint64("order", v.Order))
	m := messenger.OnceVerdict{Request: o.Request, Kind: uint8(v.Kind), Reason: v.Reason, RetryAfter: v.RetryAfter, Order: v.Order}
	if v.Answer != nil {
		m.Status, m.Header, m.Body = v.Answer.Status, v.Answer.Header, v.Answer.Body
	}
	k.control.send(now, o.To, m)
}

// tick lets time pass for keepers and for the entry's calls.
func (k *keeping) tick(now time.Time) {
	if k == nil || now.Before(k.due) {
		return
	}
	for _, p := range k.keepers {
		k.handle(now, p, keeper.Ticked{})
		for request, load := range p.payloads {
			if now.After(load.until) {
				delete(p.payloads, request)
			}
		}
		if s := p.keeper.Summary(); s.Epoch != p.epoch {
			k.log.Info("partition", zap.Int("partition", p.partition), zap.Uint64("epoch", s.Epoch), zap.Bool("ready", s.Ready))
			p.epoch = s.Epoch
		}
	}
	k.metrics.gauge(k.keepers)
	for _, c := range k.calls {
		k.watch(now, c)
	}
	k.open(now)
	k.rearm(now)
}

// busyAsked wants the operations in flight at this host's keepers.
type busyAsked struct{ reply chan<- int }

func (busyAsked) event() {}

// settleOnce waits until this host's keepers have no operation in flight, or
// ctx ends: a planned stop cuts none off. It returns how many are left.
func (c *control) settleOnce(ctx context.Context) int {
	for {
		reply := make(chan int, 1)
		if !c.post(busyAsked{reply: reply}) {
			return 0
		}
		left := <-reply
		if left == 0 || ctx.Err() != nil {
			return left
		}
		select {
		case <-ctx.Done():
		case <-time.After(tickEvery):
		}
	}
}

// busy is the operations in flight at this host's keepers.
func (k *keeping) busy() int {
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

func (k *keeping) state() map[int]keeper.Summary {
	out := map[int]keeper.Summary{}
	if k == nil {
		return out
	}
	for partition, p := range k.keepers {
		out[partition] = p.keeper.Summary()
	}
	return out
}
