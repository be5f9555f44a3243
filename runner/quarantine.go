package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/attributor"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/persister"
	"github.com/cicadawood/cicadawood/quarantiner"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/storer"
)

const (
	// quarantineRole is the role whose owner keeps the quarantine in the platform's store and
	// reads it from there.
	quarantineRole = "quarantine"
	// introducerCount is how many owners of the role, in order, may send the quarantine to a
	// host that has started: the first of them that is not new does.
	introducerCount = 5
)

// quarantineSync synchronizes a host's quarantine of requests that crash workers with the
// other hosts and with the platform's store. One goroutine owns it and the tracker.
type quarantineSync struct {
	self    string
	sender  sender
	log     *zap.Logger
	tracker *quarantiner.Tracker
	add     func(now time.Time, e quarantiner.Entry, stored bool) bool // adds an entry of another host or of the store, and reports whether it is new
	store   *persister.Quarantine
	report  func(quarantineStored) // posts a result to the goroutine that owns the quarantine
	roster  registrar.Roster
	count   atomic.Int64 // quarantined requests
	parts   atomic.Int64 // of these, parts of prompts

	published   atomic.Pointer[map[quarantiner.Fingerprint]time.Time] // end of each quarantine, for other goroutines
	unconfirmed map[uint64]unconfirmedCrash                           // by the ID of the ReportsFlush
	sweepDue    time.Time                                             // when the next sweep is due, if nothing else calls sweep
}

func newQuarantineSync(self string, s sender, store storer.Store, tracker *quarantiner.Tracker, log *zap.Logger) *quarantineSync {
	return &quarantineSync{self: self, sender: s, log: log, tracker: tracker, add: receiveBy(tracker), store: persister.NewQuarantine(store)}
}

// receiveBy returns a function that adds entries to a tracker.
func receiveBy(t *quarantiner.Tracker) func(time.Time, quarantiner.Entry, bool) bool {
	return func(now time.Time, e quarantiner.Entry, _ bool) bool { return t.Receive(now, e) }
}

// quarantineReceived contains the requests that another host has quarantined.
type quarantineReceived struct {
	from    string
	entries []quarantiner.Entry
}

// announceNew logs new entries and sends them to all hosts, not only to the deciders:
// each of them may decide later, or may have received fewer reports than this one.
func (q *quarantineSync) announceNew(now time.Time) {
	q.announceCleared(now)
	added := q.tracker.DrainQuarantined()
	if len(added) == 0 {
		return
	}
	for _, h := range added {
		q.logQuarantined("its workers ended one after another", h)
	}
	q.send(q.roster.Hosts(), added)
	q.publish(now)
}

// released is the remaining time of an entry by which a host reports that it released it before its
// time. Hosts of an older version ignore the entry.
const released = -1

// announceCleared logs what was released before its time, and reports it to all hosts.
func (q *quarantineSync) announceCleared(now time.Time) {
	var entries []quarantiner.Entry
	for _, f := range q.tracker.DrainCleared() {
		q.log.Info("quarantine", subjectField(f), zap.String("state", "let go"), zap.String("why", "it was shown to be sound"))
		entries = append(entries, quarantiner.Entry{Fingerprint: f, Remaining: released})
	}
	if len(entries) > 0 {
		q.send(q.roster.Hosts(), entries)
		q.publish(now)
	}
}

// release applies that another host released an entry before its time.
func (q *quarantineSync) release(f quarantiner.Fingerprint, why string) {
	if q.tracker.Release(f) {
		q.tracker.DrainCleared() // the other host reports it to all
		q.log.Info("quarantine", subjectField(f), zap.String("state", "let go"), zap.String("why", why))
	}
}

// sweep releases entries that have expired and updates the store.
func (q *quarantineSync) sweep(now time.Time) {
	q.sweepUnconfirmed(now)
	q.tracker.Sweep(now)
	for _, f := range q.tracker.DrainReleased() {
		q.log.Info("quarantine", subjectField(f), zap.String("state", "let go"), zap.String("why", "its time is over"))
	}
	q.publish(now)
	q.store.Sweep(now, q.owns(), q.tracker.List(now))
}

// owns reports whether this host has the role.
func (q *quarantineSync) owns() bool {
	owner, ok := q.roster.Owner(quarantineRole)
	return ok && owner.Name == q.self
}

// QuarantinedRequest is a request that is quarantined because it crashed workers.
type QuarantinedRequest struct {
	Fingerprint string        `json:"fingerprint"`
	Part        string        `json:"part,omitempty"` // of prompts; set if all requests with it are quarantined
	For         time.Duration `json:"for"`            // remaining time
	Workers     []string      `json:"workers"`        // first workers that it crashed
}

func (q *quarantineSync) state(now time.Time) []QuarantinedRequest {
	if q == nil {
		return nil
	}
	var out []QuarantinedRequest
	for _, h := range q.tracker.List(now) {
		x := QuarantinedRequest{Fingerprint: h.Fingerprint.String(), For: h.Remaining, Workers: h.Workers}
		if id, ok := h.Fingerprint.Part(); ok {
			x.Part = attributor.PartID(id).String()
		}
		out = append(out, x)
	}
	return out
}

// publish makes the quarantine visible to other goroutines.
func (q *quarantineSync) publish(now time.Time) {
	ends := map[quarantiner.Fingerprint]time.Time{}
	parts := int64(0)
	for _, h := range q.tracker.List(now) {
		ends[h.Fingerprint] = now.Add(h.Remaining)
		if _, ok := h.Fingerprint.Part(); ok {
			parts++
		}
	}
	q.count.Store(int64(len(ends)))
	q.parts.Store(parts)
	q.published.Store(&ends)
}

// Quarantined implements server.Quarantine.
func (q *quarantineSync) Quarantined(f quarantiner.Fingerprint) (time.Duration, bool) {
	published := q.published.Load()
	if published == nil {
		return 0, false
	}
	remaining := time.Until((*published)[f])
	return remaining, remaining > 0
}

func (q *quarantineSync) logQuarantined(why string, h quarantiner.Entry) {
	q.log.Warn("quarantine", subjectField(h.Fingerprint), zap.String("state", "held back"), zap.String("why", why),
		zap.Strings("workers", h.Workers), zap.Duration("for", h.Remaining), zap.Duration("span", h.Duration))
}

// subjectField returns the log field for what a fingerprint stands for.
func subjectField(f quarantiner.Fingerprint) zap.Field {
	if id, ok := f.Part(); ok {
		return zap.Stringer("part", attributor.PartID(id))
	}
	return zap.Stringer("fingerprint", f)
}

// receive merges the entries of another host.
func (q *quarantineSync) receive(now time.Time, e quarantineReceived) {
	if q == nil {
		return
	}
	q.merge(now, "another host holds it back: "+e.from, e.entries, false)
}

// merge adds entries of other hosts or of the store to the quarantine, and returns those
// that are new to this host.
func (q *quarantineSync) merge(now time.Time, why string, entries []quarantiner.Entry, stored bool) []quarantiner.Entry {
	var added []quarantiner.Entry
	for _, h := range entries {
		if h.Remaining == released {
			q.release(h.Fingerprint, why)
			continue
		}
		if q.add(now, h, stored) {
			q.logQuarantined(why, h)
			added = append(added, h)
		}
	}
	q.publish(now)
	return added
}

// handleStoreResult handles the result of a call to the store. New entries that were read
// are sent to all hosts: they may have started at the same time as this one.
func (q *quarantineSync) handleStoreResult(now time.Time, e persister.Result) {
	if err := e.Malformed(); err != nil {
		q.log.Warn("quarantine store", zap.String("call", e.Call()), zap.NamedError("left_out", err))
	}
	if err := e.Err(); err != nil {
		q.log.Warn("quarantine store", zap.String("call", e.Call()), zap.Error(err))
	}
	if added := q.merge(now, "the store has it", q.store.Done(now, e), true); len(added) > 0 {
		q.send(q.roster.Hosts(), added)
	}
}

// storeRestored handles that the store was restored from an older snapshot.
func (q *quarantineSync) storeRestored() {
	if q != nil {
		q.store.StoreRestored()
	}
}

// setRoster applies a new roster, and sends the quarantine to hosts that have just started.
func (q *quarantineSync) setRoster(now time.Time, r registrar.Roster) {
	if q == nil {
		return
	}
	previousRoster := q.roster
	q.roster = r
	entries := q.tracker.List(now)
	if len(entries) == 0 || !q.introducesHosts(previousRoster) {
		return
	}
	var started []registrar.Record
	for _, h := range r.Hosts() {
		if _, old := previousRoster.Find(h.Name); !old {
			started = append(started, h)
		}
	}
	q.send(started, entries)
}

// introducesHosts reports whether this host is the first owner of the role that was on the
// previous roster.
func (q *quarantineSync) introducesHosts(previousRoster registrar.Roster) bool {
	for _, h := range q.roster.Owners(quarantineRole, introducerCount) {
		if _, old := previousRoster.Find(h.Name); old {
			return h.Name == q.self
		}
	}
	return false
}

// send sends entries to hosts.
func (q *quarantineSync) send(hosts []registrar.Record, entries []quarantiner.Entry) {
	var m messenger.Quarantine
	for _, h := range entries {
		m.Entries = append(m.Entries, messenger.QuarantineEntry{Fingerprint: uint64(h.Fingerprint), Remaining: h.Remaining, Duration: h.Duration, Workers: h.Workers})
	}
	var addresses []string
	for _, h := range hosts {
		if h.Name != q.self {
			addresses = append(addresses, h.Control)
		}
	}
	if err := q.sender.SendAll(addresses, m); err != nil {
		q.log.Warn("sending quarantine failed", zap.Error(err))
	}
}

func decodeQuarantine(m messenger.Quarantine) []quarantiner.Entry {
	var out []quarantiner.Entry
	for _, h := range m.Entries {
		out = append(out, quarantiner.Entry{Fingerprint: quarantiner.Fingerprint(h.Fingerprint), Remaining: h.Remaining, Duration: h.Duration, Workers: h.Workers})
	}
	return out
}

// register registers the metric of quarantined requests.
func (q *quarantineSync) register(r prometheus.Registerer) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cicadawood_quarantined_requests", Help: "Requests that are held back as they ended workers.",
	}, func() float64 { return float64(q.count.Load()) }), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cicadawood_quarantined_parts", Help: "Of these, parts of prompts: all requests with them are held back.",
	}, func() float64 { return float64(q.parts.Load()) }))
}

func (quarantineReceived) event() {}

// quarantineStored has the result of a call to the store.
type quarantineStored struct{ result persister.Result }

func (quarantineStored) event() {}

// runStore makes the calls to the store until ctx ends.
func (q *quarantineSync) runStore(ctx context.Context) {
	q.store.Run(ctx, func(r persister.Result) { q.report(quarantineStored{result: r}) })
}
