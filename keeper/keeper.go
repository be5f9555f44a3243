// Package keeper decides whether a call that must not be repeated may run.
//
// A Keeper keeps one partition of operation keys. It is pure: time comes in as
// an argument, what happened as an Input, and what is to be done goes out as
// Outputs. Its log is one head object, replaced by conditional writes only:
//
//   - a call is sent only after its intent is recorded, and after the entry that
//     asked has said that it still waits;
//   - a new keeper first replaces the head with its own epoch, after which no
//     write of an earlier keeper can succeed, however long that one was paused;
//   - a recorded intent without an outcome may have run, and is never sent again.
//
// No clock decides about any of this: clocks only end waiting and forget.
package keeper

import (
	"time"

	"github.com/cicadawood/cicadawood/storer"
)

// phase is how far a keeper has come in taking its partition.
type phase uint8

const (
	phaseIdle    phase = iota // knows nothing
	phaseReading              // reads the head
	phaseSealing              // writes its epoch into the head
	phaseLoading              // reads the segments
	phaseReady
)

// Keeper keeps one partition. It is not safe for concurrent use.
type Keeper struct {
	settings Settings
	name     string
	incarn   uint64
	phase    phase

	head     Head           // as last confirmed
	version  storer.Version // of head; 0 where there is none
	era      uint64         // of the store, at the last read or write
	owned    uint64         // the latest era of the store in which the host still owned the partition
	writes   uint64         // stamps given out
	tried    []*commit
	busy     bool      // a read or write of the head is under way
	outlived bool      // the call under way began before a rejoin
	unsure   bool      // a write may have taken effect: read back first
	retryAt  time.Time // of the store, while it is down; zero while it is not
	tokens   float64   // commits that may start at once
	filled   time.Time // when tokens were last counted

	open     bool // to be read although nobody asks
	retired  bool // another host owns the partition
	early    []Call
	doubts   []*doubt // "not run" that waits for the head
	ops      map[ID]*operation
	serial   uint64
	attempts int // Acquires so far
	records  map[ID]*Entry
	lastAt   int64
	loadedAt int64     // lastAt when the log was loaded
	readAt   time.Time // when the head was read that the log was loaded by
	answers  fifo
	pending  queue

	wanted   map[Segment]bool // segments still to read
	loaded   map[Segment][]*Entry
	archive  *archive
	merge    *merge
	sequence uint64
}

// New returns the keeper of a partition on the host of that name. Incarnations
// of a host differ, so that its stamps do.
func New(host string, incarnation uint64, s Settings) *Keeper {
	s = s.WithDefaults()
	return &Keeper{
		settings: s, name: host, incarn: incarnation, tokens: s.Burst,
		ops: map[ID]*operation{}, records: map[ID]*Entry{}, pending: newQueue(),
	}
}

// Handle takes one input and returns what it causes, in order.
func (k *Keeper) Handle(now time.Time, in Input) []Output {
	var out outputs
	switch in := in.(type) {
	case CallReceived:
		k.ask(&out, now, in.Call)
	case ReadyAnswered:
		k.went(&out, now, in)
	case Placed:
		k.placed(&out, now, in)
	case Unplaced:
		k.unplaced(&out, now, in)
	case Answered:
		k.answered(&out, now, in)
	case HeadWritten:
		k.wrote(&out, now, in)
	case HeadRead:
		k.headRead(&out, now, in)
	case SegmentRead:
		k.segmentRead(&out, now, in)
	case SegmentWritten:
		k.segmentWrote(&out, now, in)
	case Retired:
		k.retire(&out, now)
	case LoadRequested:
		k.retired = false
		k.open = k.phase == phaseIdle
	case StoreRestored:
		k.restored(&out, in)
	case Rejoined:
		k.rejoin(&out)
	case Ticked:
		k.tick(&out, now)
	}
	k.pump(&out, now)
	return out
}

// outputs collects what one input causes.
type outputs []Output

func (o *outputs) add(x Output) { *o = append(*o, x) }

func (o *outputs) reply(c Call, v Verdict) {
	o.add(Reply{To: c.From, Request: c.Request, Verdict: v})
}

// order is the place of the keeper's newest operation among all of its
// partition: it grows within an epoch and with every epoch.
func (k *Keeper) order() uint64 {
	if k.phase != phaseReady {
		return 0
	}
	return k.head.Epoch<<32 | k.serial
}

func (k *Keeper) ask(out *outputs, now time.Time, c Call) {
	k.retired = k.retired && k.ops[c.ID] != nil
	if k.phase == phaseReady {
		k.admit(out, now, c)
		return
	}
	switch {
	case k.down(now):
		out.reply(c, k.unread(ReasonStore))
	case len(k.early) >= k.settings.MaxOperations:
		out.reply(c, k.unread(ReasonBusy))
	default:
		k.early = append(k.early, c)
	}
}

// unread is what a keeper says that has not read its log. This request was not
// run, but its key may have been, for an earlier request whose answer was lost:
// to call that "not run" would have a caller book a second time.
func (k *Keeper) unread(reason string) Verdict {
	return Verdict{Kind: KindUnknown, Reason: reason, After: k.settings.RetryInterval}
}

// down says that the store was down when last tried, and is not to be tried yet.
func (k *Keeper) down(now time.Time) bool { return now.Before(k.retryAt) }

// tick ends what has waited too long.
func (k *Keeper) tick(out *outputs, now time.Time) {
	waiting := k.early[:0]
	for _, c := range k.early {
		if now.Before(c.Deadline) {
			waiting = append(waiting, c)
			continue
		}
		out.reply(c, k.unread(ReasonDeadline))
	}
	k.early = waiting
	for _, op := range k.sorted() {
		k.age(out, now, op)
	}
	k.undecide(out, func(d *doubt) bool { return !now.Before(d.until) })
	if k.retired && k.phase == phaseReady && !k.busy && len(k.ops) == 0 && k.pending.len() == 0 {
		k.lost(out) // the memory is not needed any more
	}
}

// outage answers at once what needs the store. An operation whose intent is
// recorded goes on: it needs the store only for its outcome.
func (k *Keeper) outage(out *outputs, now time.Time) {
	k.retryAt = now.Add(k.settings.RetryInterval)
	if k.phase < phaseLoading {
		// A seal that still arrives does no harm: the next one goes on top of it.
		k.phase, k.tried, k.unsure = phaseIdle, nil, false
	}
	early := k.early
	k.early = nil
	for _, c := range early {
		out.reply(c, k.unread(ReasonStore))
	}
	for _, op := range k.sorted() {
		switch {
		case op.stage == stageAnswered:
			k.finish(out, op)
		case !op.recorded:
			k.dropUnsure(out, now, op, Verdict{Kind: KindNotRun, Reason: ReasonStore, After: k.settings.RetryInterval})
		}
	}
	k.undecide(out, func(d *doubt) bool {
		d.verdict.Reason = ReasonStore
		return true
	})
}

// lost gives the partition up: another keeper has sealed it. Nothing that is
// not sent yet is sent any more. Calls under way go on, and their callers get
// the answers; the next keeper takes them for calls that may have run.
func (k *Keeper) lost(out *outputs) {
	for _, op := range k.sorted() {
		switch op.stage {
		case stageAnswered:
			k.finish(out, op)
		case stageSent:
		default:
			// Never "not run", though this keeper did not send it: it stood on an old
			// log, and the key may have run for an earlier request under the keeper
			// that sealed it. That one knows.
			k.drop(out, op, Verdict{Kind: KindMoved, Reason: ReasonMoved})
		}
	}
	for _, c := range k.early {
		out.reply(c, Verdict{Kind: KindMoved, Reason: ReasonMoved})
	}
	for _, d := range k.doubts {
		out.reply(d.call, Verdict{Kind: KindMoved, Reason: ReasonMoved})
	}
	k.phase, k.early, k.doubts = phaseIdle, nil, nil
	k.head, k.version, k.tried = Head{}, 0, nil
	k.busy, k.unsure, k.archive, k.merge = false, false, nil, nil
	k.records, k.answers, k.pending = map[ID]*Entry{}, fifo{}, newQueue()
}

// retire hands the partition over: what has no place yet asks the next keeper,
// what has one ends here.
func (k *Keeper) retire(out *outputs, _ time.Time) {
	k.retired = true
	for _, c := range k.early {
		out.reply(c, Verdict{Kind: KindMoved, Reason: ReasonMoved})
	}
	k.early = nil
	for _, op := range k.sorted() {
		if op.intent == nil {
			k.drop(out, op, Verdict{Kind: KindMoved, Reason: ReasonMoved})
		}
	}
}

// InFlight says whether an operation is in flight.
func (k *Keeper) InFlight(id ID) bool { return k.ops[id] != nil }

// Summary is a keeper's state in figures, for a dump.
type Summary struct {
	Ready       bool   `json:"ready"`
	Down        bool   `json:"down"` // the store did not answer
	Epoch       uint64 `json:"epoch"`
	Operations  int    `json:"operations"`
	Unconfirmed int    `json:"doubts"` // refusals that wait for the head
	Sent        int    `json:"sent"`
	Records     int    `json:"records"`
	Pending     int    `json:"pending"` // records not yet in the store
	Segments    int    `json:"segments"`
	Answers     int    `json:"answers"` // bytes in memory
}

// Summary returns the keeper's state in figures.
func (k *Keeper) Summary() Summary {
	s := Summary{
		Ready: k.phase == phaseReady, Down: !k.retryAt.IsZero(), Epoch: k.head.Epoch, Operations: len(k.ops), Unconfirmed: len(k.doubts),
		Records: len(k.records), Pending: k.pending.len(), Segments: len(k.head.Segments), Answers: k.answers.bytes,
	}
	for _, op := range k.ops {
		if op.stage == stageSent {
			s.Sent++
		}
	}
	return s
}
