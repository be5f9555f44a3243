package runner

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/quarantiner"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/storer"
)

const (
	// quarantineRole is the role whose owner keeps in the platform's store what is held
	// back, and reads it there.
	quarantineRole = "quarantine"
	// tellers is how many owners in turn may tell a host that has started: the first of them
	// that was there before does.
	tellers = 5
)

// quarantining has a host's book of requests that end workers agree with those of the other
// hosts, and with the platform's store. One goroutine owns it and the book.
type quarantining struct {
	self   string
	sender sender
	log    *zap.Logger
	book   *quarantiner.Tracker
	store  *quarantineStore
	roster registrar.Roster
	count  atomic.Int64 // requests that are held back

	held atomic.Pointer[map[quarantiner.Fingerprint]time.Time] // until then, for other goroutines
	due  time.Time                                             // when the next sweep is, where nothing else has it swept
}

func newQuarantining(self string, s sender, store storer.Store, b *quarantiner.Tracker, log *zap.Logger) *quarantining {
	return &quarantining{self: self, sender: s, log: log, book: b, store: newQuarantineStore(store)}
}

// quarantineHeard is what another host holds back.
type quarantineHeard struct {
	from string
	held []quarantiner.Entry
}

// notice logs what is held back from now on, and tells all hosts: few may decide, or one
// may have heard less than this one.
func (q *quarantining) notice(now time.Time) {
	caught := q.book.DrainQuarantined()
	if len(caught) == 0 {
		return
	}
	for _, h := range caught {
		q.logHeld("its workers ended one after another", h)
	}
	q.tell(q.roster.Hosts(), caught)
	q.recount(now)
}

// sweep looks whose time is over, and brings the store in step.
func (q *quarantining) sweep(now time.Time) {
	q.book.Sweep(now)
	for _, f := range q.book.DrainReleased() {
		q.log.Info("quarantine", zap.Stringer("fingerprint", f), zap.String("state", "let go"), zap.String("why", "its time is over"))
	}
	q.recount(now)
	q.store.sweep(now, q.owns(), q.book.List(now))
}

// owns says that this host has the role.
func (q *quarantining) owns() bool {
	owner, ok := q.roster.Owner(quarantineRole)
	return ok && owner.Name == q.self
}

// Quarantined is a request that is held back as it ended workers.
type Quarantined struct {
	Fingerprint string        `json:"fingerprint"`
	For         time.Duration `json:"for"`     // from now on
	Workers     []string      `json:"workers"` // that it ended, the first ones
}

func (q *quarantining) state(now time.Time) []Quarantined {
	if q == nil {
		return nil
	}
	var out []Quarantined
	for _, h := range q.book.List(now) {
		out = append(out, Quarantined{Fingerprint: h.Fingerprint.String(), For: h.Remaining, Workers: h.Workers})
	}
	return out
}

// recount shows other goroutines what is held back.
func (q *quarantining) recount(now time.Time) {
	held := map[quarantiner.Fingerprint]time.Time{}
	for _, h := range q.book.List(now) {
		held[h.Fingerprint] = now.Add(h.Remaining)
	}
	q.count.Store(int64(len(held)))
	q.held.Store(&held)
}

// Quarantined implements server.Quarantine.
func (q *quarantining) Quarantined(f quarantiner.Fingerprint) (time.Duration, bool) {
	held := q.held.Load()
	if held == nil {
		return 0, false
	}
	left := time.Until((*held)[f])
	return left, left > 0
}

func (q *quarantining) logHeld(why string, h quarantiner.Entry) {
	q.log.Warn("quarantine", zap.Stringer("fingerprint", h.Fingerprint), zap.String("state", "held back"), zap.String("why", why),
		zap.Strings("workers", h.Workers), zap.Duration("for", h.Remaining), zap.Duration("span", h.Duration))
}

// hear takes what another host holds back.
func (q *quarantining) hear(now time.Time, e quarantineHeard) {
	if q == nil {
		return
	}
	q.hold(now, "another host holds it back: "+e.from, e.held)
}

// hold holds back what others do, and returns what this host did not.
func (q *quarantining) hold(now time.Time, why string, held []quarantiner.Entry) []quarantiner.Entry {
	var news []quarantiner.Entry
	for _, h := range held {
		if q.book.Receive(now, h) {
			q.logHeld(why, h)
			news = append(news, h)
		}
	}
	q.recount(now)
	return news
}

// stored takes how a call of the store ended. All hosts are told what was read: they may
// have started as this one did.
func (q *quarantining) stored(now time.Time, e quarantineStored) {
	if e.bad != nil {
		q.log.Warn("quarantine store", zap.String("call", e.call), zap.NamedError("left_out", e.bad))
	}
	if e.err != nil {
		q.log.Warn("quarantine store", zap.String("call", e.call), zap.Error(e.err))
	}
	if news := q.hold(now, "the store has it", q.store.done(now, e)); len(news) > 0 {
		q.tell(q.roster.Hosts(), news)
	}
}

// restore takes that the store came back from an older copy of itself.
func (q *quarantining) restore() {
	if q != nil {
		q.store.restore()
	}
}

// enroll takes a new roster, and has hosts told that have just started.
func (q *quarantining) enroll(now time.Time, r registrar.Roster) {
	if q == nil {
		return
	}
	before := q.roster
	q.roster = r
	held := q.book.List(now)
	if len(held) == 0 || !q.introduces(before) {
		return
	}
	var fresh []registrar.Record
	for _, h := range r.Hosts() {
		if _, old := before.Find(h.Name); !old {
			fresh = append(fresh, h)
		}
	}
	q.tell(fresh, held)
}

// introduces says that this is the first owner of the role that was there before.
func (q *quarantining) introduces(before registrar.Roster) bool {
	for _, h := range q.roster.Owners(quarantineRole, tellers) {
		if _, old := before.Find(h.Name); old {
			return h.Name == q.self
		}
	}
	return false
}

// tell tells hosts what is held back.
func (q *quarantining) tell(hosts []registrar.Record, held []quarantiner.Entry) {
	var m messenger.Quarantine
	for _, h := range held {
		m.Entries = append(m.Entries, messenger.QuarantineEntry{Fingerprint: uint64(h.Fingerprint), Remaining: h.Remaining, Duration: h.Duration, Workers: h.Workers})
	}
	var addresses []string
	for _, h := range hosts {
		if h.Name != q.self {
			addresses = append(addresses, h.Control)
		}
	}
	if err := q.sender.SendAll(addresses, m); err != nil {
		q.log.Warn("tell quarantine", zap.Error(err))
	}
}

func heldOf(m messenger.Quarantine) []quarantiner.Entry {
	var out []quarantiner.Entry
	for _, h := range m.Entries {
		out = append(out, quarantiner.Entry{Fingerprint: quarantiner.Fingerprint(h.Fingerprint), Remaining: h.Remaining, Duration: h.Duration, Workers: h.Workers})
	}
	return out
}

// register registers how many requests are held back.
func (q *quarantining) register(r prometheus.Registerer) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cicadawood_quarantined_requests", Help: "Requests that are held back as they ended workers.",
	}, func() float64 { return float64(q.count.Load()) }))
}

func (quarantineHeard) event() {}
