// Package keeper decides whether a call that must not be repeated may run.
//
// A Keeper owns one partition of operation keys. It is a state machine without side
// effects: the caller passes in the time and an Input, and carries out the Outputs that
// are returned. Its log has one head object, which is replaced by conditional writes only.
// The following holds:
//
//   - a call is sent only after its intent is recorded, and after the entry host that
//     forwarded it has confirmed that the request still waits;
//   - a new keeper first seals the log: it replaces the head with one of its own epoch,
//     after which no write of an earlier keeper can succeed, however long that keeper was
//     paused;
//   - a call whose intent is recorded without an outcome may have run, and is never sent
//     again.
//
// None of this depends on a clock: clocks only end waiting and expire old records.
package keeper

import (
	"time"

	"github.com/cicadawood/cicadawood/storer"
)

// phase is the state of a keeper's takeover of its partition.
type phase uint8

const (
	phaseIdle    phase = iota // nothing loaded
	phaseReading              // reading the head
	phaseSealing              // writing its epoch into the head
	phaseLoading              // reading the segments
	phaseReady
)

// Keeper owns one partition of operation keys. It is not safe for concurrent use.
type Keeper struct {
	settings    Settings
	name        string
	incarnation uint64
	phase       phase

	head       Head           // as last read or written
	version    storer.Version // of head; 0 if there is none
	era        uint64         // of the store, as of the last read or write
	ownedEra   uint64         // latest era of the store for which the host confirmed that it still owned the partition
	writes     uint64         // stamps issued
	unsettled  []*commit      // writes on top of version whose result is unknown
	busy       bool           // a read or write of the head is in flight
	staleCall  bool           // the read or write in flight began before the log was discarded
	uncertain  bool           // a write may have taken effect: read the head before the next write
	retryAt    time.Time      // when to try the store again; zero unless it is down
	tokens     float64        // token bucket of commits and confirming reads
	refilledAt time.Time      // when tokens were last refilled

	loadWanted  bool           // load the log although no call waits for it
	retired     bool           // another host owns the partition
	queued      []Call         // waiting until the log is loaded
	unconfirmed []*unconfirmed // "not run" and "reused" verdicts that wait for a confirmed head
	ops         map[ID]*operation
	serial      uint64 // operations started so far
	acquires    int    // number of the last Acquire
	records     map[ID]*Record
	lastAt      int64     // latest At of any record
	loadedAt    int64     // lastAt when the log was loaded
	readAt      time.Time // when the read began of the head from which the log was loaded
	answers     fifo
	pending     queue // records not yet in the log

	missingSegments map[Segment]bool // requested by the load in progress
	loaded          map[Segment][]*Record
	archive         *archive
	merge           *merge
	sequence        uint64 // of the last segment named
}

// New returns a keeper for one partition on the named host. The incarnation must differ
// between restarts of a host, so that no two writes share a Stamp.
func New(host string, incarnation uint64, s Settings) *Keeper {
	s = s.WithDefaults()
	return &Keeper{
		settings: s, name: host, incarnation: incarnation, tokens: s.Burst,
		ops: map[ID]*operation{}, records: map[ID]*Record{}, pending: newQueue(),
	}
}

// Handle applies one input and returns the resulting outputs, in order.
func (k *Keeper) Handle(now time.Time, in Input) []Output {
	var out outputs
	switch in := in.(type) {
	case CallReceived:
		k.receiveCall(&out, now, in.Call)
	case ReadyAnswered:
		k.readyAnswered(&out, now, in)
	case Placed:
		k.placed(&out, now, in)
	case Unplaced:
		k.unplaced(&out, now, in)
	case Answered:
		k.answered(&out, now, in)
	case HeadWritten:
		k.headWritten(&out, now, in)
	case HeadRead:
		k.headRead(&out, now, in)
	case SegmentRead:
		k.segmentRead(&out, now, in)
	case SegmentWritten:
		k.segmentWritten(&out, now, in)
	case Retired:
		k.retire(&out, now)
	case LoadRequested:
		k.retired = false
		k.loadWanted = k.phase == phaseIdle
	case StoreRestored:
		k.storeRestored(&out, in)
	case Rejoined:
		k.forgetLog(&out)
	case Ticked:
		k.tick(&out, now)
	}
	k.startStoreCalls(&out, now)
	return out
}

// outputs collects the outputs of one input.
type outputs []Output

func (o *outputs) add(x Output) { *o = append(*o, x) }

func (o *outputs) reply(c Call, v Verdict) {
	o.add(Reply{To: c.From, Request: c.Request, Verdict: v})
}

// latestOrder returns the order number of the newest operation: the epoch in the upper 32
// bits, a serial number in the lower ones. It increases within an epoch and with every
// epoch, across all keepers of the partition. It is 0 while the log isn't loaded.
func (k *Keeper) latestOrder() uint64 {
	if k.phase != phaseReady {
		return 0
	}
	return k.head.Epoch<<32 | k.serial
}

func (k *Keeper) receiveCall(out *outputs, now time.Time, c Call) {
	k.retired = k.retired && k.ops[c.ID] != nil
	if k.phase == phaseReady {
		k.admit(out, now, c)
		return
	}
	switch {
	case k.down(now):
		out.reply(c, k.notLoaded(ReasonStore))
	case len(k.queued) >= k.settings.MaxOperations:
		out.reply(c, k.notLoaded(ReasonBusy))
	default:
		k.queued = append(k.queued, c)
	}
}

// notLoaded returns the verdict of a keeper that has not loaded its log. This request did
// not run, but an earlier request with the same key may have, and its answer may have been
// lost: on "not run", the caller would book a second time.
func (k *Keeper) notLoaded(reason string) Verdict {
	return Verdict{Kind: KindUnknown, Reason: reason, RetryAfter: k.settings.RetryInterval}
}

// down reports whether the store was down when last tried and must not be retried yet.
func (k *Keeper) down(now time.Time) bool { return now.Before(k.retryAt) }

// tick ends waits that are past their deadlines.
func (k *Keeper) tick(out *outputs, now time.Time) {
	waiting := k.queued[:0]
	for _, c := range k.queued {
		if now.Before(c.Deadline) {
			waiting = append(waiting, c)
			continue
		}
		out.reply(c, k.notLoaded(ReasonDeadline))
	}
	k.queued = waiting
	for _, op := range k.operationsByOrder() {
		k.expireWaiters(out, now, op)
	}
	k.abandonUnconfirmed(out, func(u *unconfirmed) bool { return !now.Before(u.deadline) })
	if k.retired && k.phase == phaseReady && !k.busy && len(k.ops) == 0 && k.pending.len() == 0 {
		k.relinquish(out) // the log isn't needed in memory any more
	}
}

// storeFailed immediately answers the calls that need the store. An operation whose intent
// is recorded continues: it needs the store only to record its outcome.
func (k *Keeper) storeFailed(out *outputs, now time.Time) {
	k.retryAt = now.Add(k.settings.RetryInterval)
	if k.phase < phaseLoading {
		// A seal that takes effect later does no harm: the next one replaces it.
		k.phase, k.unsettled, k.uncertain = phaseIdle, nil, false
	}
	queued := k.queued
	k.queued = nil
	for _, c := range queued {
		out.reply(c, k.notLoaded(ReasonStore))
	}
	for _, op := range k.operationsByOrder() {
		switch {
		case op.stage == stageAnswered:
			k.finish(out, op)
		case !op.recorded:
			k.dropUnsent(out, now, op, Verdict{Kind: KindNotRun, Reason: ReasonStore, RetryAfter: k.settings.RetryInterval})
		}
	}
	k.abandonUnconfirmed(out, func(u *unconfirmed) bool {
		u.verdict.Reason = ReasonStore
		return true
	})
}

// relinquish gives up the partition, as when another keeper has sealed it. Calls that have
// not been sent are dropped. Calls in flight continue, and their callers get the answers;
// to the next keeper they are calls that may have run.
func (k *Keeper) relinquish(out *outputs) {
	for _, op := range k.operationsByOrder() {
		switch op.stage {
		case stageAnswered:
			k.finish(out, op)
		case stageSent:
		default:
			// Never "not run", although this keeper did not send it: its log is
			// outdated, and the key may have run for another request under the keeper
			// that sealed the log. Only that keeper knows.
			k.drop(out, op, Verdict{Kind: KindMoved, Reason: ReasonMoved})
		}
	}
	for _, c := range k.queued {
		out.reply(c, Verdict{Kind: KindMoved, Reason: ReasonMoved})
	}
	for _, u := range k.unconfirmed {
		out.reply(u.call, Verdict{Kind: KindMoved, Reason: ReasonMoved})
	}
	k.phase, k.queued, k.unconfirmed = phaseIdle, nil, nil
	k.head, k.version, k.unsettled = Head{}, 0, nil
	k.busy, k.uncertain, k.archive, k.merge = false, false, nil, nil
	k.records, k.answers, k.pending = map[ID]*Record{}, fifo{}, newQueue()
}

// retire hands the partition over: calls without a place are referred to the next keeper,
// the others are finished here.
func (k *Keeper) retire(out *outputs, _ time.Time) {
	k.retired = true
	for _, c := range k.queued {
		out.reply(c, Verdict{Kind: KindMoved, Reason: ReasonMoved})
	}
	k.queued = nil
	for _, op := range k.operationsByOrder() {
		if op.intent == nil {
			k.drop(out, op, Verdict{Kind: KindMoved, Reason: ReasonMoved})
		}
	}
}

// InFlight reports whether an operation is in flight.
func (k *Keeper) InFlight(id ID) bool { return k.ops[id] != nil }

// Summary is a keeper's counters, for state dumps.
type Summary struct {
	Ready       bool   `json:"ready"`
	Down        bool   `json:"down"` // the store did not answer when last tried
	Epoch       uint64 `json:"epoch"`
	Operations  int    `json:"operations"`
	Unconfirmed int    `json:"doubts"` // verdicts that wait for a confirmed head
	Sent        int    `json:"sent"`
	Records     int    `json:"records"`
	Pending     int    `json:"pending"` // records not yet in the log
	Segments    int    `json:"segments"`
	Answers     int    `json:"answers"` // bytes of answers in memory
}

// Summary returns the keeper's counters.
func (k *Keeper) Summary() Summary {
	s := Summary{
		Ready: k.phase == phaseReady, Down: !k.retryAt.IsZero(), Epoch: k.head.Epoch, Operations: len(k.ops), Unconfirmed: len(k.unconfirmed),
		Records: len(k.records), Pending: k.pending.len(), Segments: len(k.head.Segments), Answers: k.answers.bytes,
	}
	for _, op := range k.ops {
		if op.stage == stageSent {
			s.Sent++
		}
	}
	return s
}
