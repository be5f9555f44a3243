package keeper

import (
	"time"

	"github.com/cicadawood/cicadawood/storer"
)

// Settings are the limits and intervals of a keeper. Zero fields take the defaults of
// WithDefaults.
type Settings struct {
	WritesPerSecond  float64       // sustained rate of commits
	Burst            float64       // commits that may follow one another without delay
	MaxOperations    int           // operations in flight
	MaxRecords       int           // records in memory
	AnswerCacheBytes int           // answers in memory; beyond it, the oldest are dropped
	MaxAnswerBytes   int           // largest answer that is recorded
	ArchiveTailBytes int           // size of the head's tail above which it is archived
	Retention        time.Duration // minimum time for which a record is kept
	OutcomeGrace     time.Duration // maximum time for which an answer waits for its outcome to be recorded
	RetryInterval    time.Duration // between tries of a store that is down, and suggested to callers
	MaxTries         int           // workers tried for a call that each of them certainly did not run
	LayoutEra        uint64        // era of the store in which the partitions were laid out, without heads
}

// WithDefaults fills the zero fields.
func (s Settings) WithDefaults() Settings {
	set(&s.WritesPerSecond, 12)
	set(&s.Burst, 2*s.WritesPerSecond)
	set(&s.MaxOperations, 512)
	set(&s.MaxRecords, 20_000)
	set(&s.AnswerCacheBytes, 4<<20)
	set(&s.MaxAnswerBytes, 4<<10)
	set(&s.ArchiveTailBytes, 8<<10)
	set(&s.Retention, 6*time.Hour)
	set(&s.OutcomeGrace, 500*time.Millisecond)
	set(&s.RetryInterval, 250*time.Millisecond)
	set(&s.MaxTries, 8)
	return s
}

func set[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Call is one request for an operation, forwarded by an entry host that waits for its verdict.
type Call struct {
	ID       ID
	Hash     [16]byte
	KeyTime  int64  // Unix milliseconds that the key itself carries; 0 if none
	Request  string // unique among all requests
	From     string // entry host
	Deadline time.Time
}

// Result is the result of a call of the store.
type Result uint8

// Results of a call of the store.
const (
	Done     Result = iota + 1
	Missing         // no such object
	Conflict        // the condition did not hold; nothing was written
	Down            // certainly took no effect
	Lost            // may have taken effect
)

// Input is an event that a Keeper handles.
type Input interface{ input() }

// CallReceived is the arrival of a call.
type CallReceived struct{ Call Call }

// ReadyAnswered is an entry host's answer to Ready: whether it still waits for the request.
type ReadyAnswered struct {
	ID      ID
	Request string
	OK      bool
}

// Placed reports that an Acquire got a place.
type Placed struct {
	ID      ID
	Attempt int
}

// Unplaced reports that an Acquire got no place.
type Unplaced struct {
	ID         ID
	Attempt    int
	Reason     string
	RetryAfter time.Duration
}

// Answered is the result of a Send.
type Answered struct {
	ID      ID
	Attempt int
	Result  CallResult
	Answer  *Answer // if Result is CallRan
}

// CallResult states whether a call that was sent has run.
type CallResult uint8

// Results of a call that was sent.
const (
	CallRan     CallResult = iota + 1
	CallNotRun             // certainly not run
	CallUnknown            // may have run
)

// HeadWritten is the result of a WriteHead.
type HeadWritten struct {
	Stamp   Stamp
	Version storer.Version
	Result  Result
}

// HeadRead is the result of a ReadHead.
type HeadRead struct {
	Head    Head
	Version storer.Version
	Era     uint64 // era of the store, if it has no head
	Result  Result
}

// SegmentRead is the result of a ReadSegment.
type SegmentRead struct {
	Segment Segment
	Records []*Record
	Result  Result
}

// SegmentWritten is the result of a WriteSegment.
type SegmentWritten struct {
	Segment Segment
	Result  Result
}

// Retired reports that another host owns the partition now.
type Retired struct{}

// LoadRequested makes the keeper load its log before any call needs it, so that it is in
// memory during an outage of the store.
type LoadRequested struct{}

// StoreRestored reports that the store was restored from an older snapshot.
type StoreRestored struct {
	Era        uint64    // current era of the store
	OwnedSince time.Time // when this host became the owner, by its own roster; zero if it is not the owner
}

// Rejoined reports that this host was declared dead and has rejoined: the log in memory may
// be outdated.
type Rejoined struct{}

// Ticked reports the passage of time. It is needed regularly, as deadlines are checked then.
type Ticked struct{}

func (CallReceived) input()   {}
func (ReadyAnswered) input()  {}
func (Placed) input()         {}
func (Unplaced) input()       {}
func (Answered) input()       {}
func (HeadWritten) input()    {}
func (HeadRead) input()       {}
func (SegmentRead) input()    {}
func (SegmentWritten) input() {}
func (Retired) input()        {}
func (LoadRequested) input()  {}
func (StoreRestored) input()  {}
func (Rejoined) input()       {}
func (Ticked) input()         {}

// Output is an action that the caller of a Keeper carries out.
type Output interface{ output() }

// Acquire requests a place on a worker for the call of a request. Its result is a Placed or
// an Unplaced.
type Acquire struct {
	ID      ID
	Request string
	Attempt int
}

// Release gives back a place, or cancels an Acquire in flight.
type Release struct {
	ID      ID
	Attempt int
}

// Ready asks an entry host whether it still waits for a request. Its result is a
// ReadyAnswered.
type Ready struct {
	To      string
	ID      ID
	Request string
	Order   uint64
}

// Send sends the call of a request to the worker on which the attempt has its place. It is
// the only output that can make an operation run. Its result is an Answered.
type Send struct {
	ID      ID
	Request string
	Attempt int
}

// WriteHead writes the head if its version is Match; 0 requires that there is none.
type WriteHead struct {
	Head  Head
	Match storer.Version
}

// ReadHead reads the head.
type ReadHead struct{}

// WriteSegment writes a segment's object. It needs no condition, as no other keeper uses
// the segment's name.
type WriteSegment struct {
	Segment Segment
	Records []*Record
}

// ReadSegment reads a segment's object.
type ReadSegment struct{ Segment Segment }

// DropSegment deletes the object of a segment that no head names any more.
type DropSegment struct{ Segment Segment }

// Reply sends the verdict on a request to its entry host.
type Reply struct {
	To      string
	Request string
	Verdict Verdict
}

// Kind is the kind of a Verdict.
type Kind uint8

// Kinds of a Verdict.
const (
	KindRan     Kind = iota + 1 // ran; the answer is included
	KindGone                    // ran; its answer is not kept
	KindNotRun                  // this request did not run and will not
	KindUnknown                 // may have run
	KindReused                  // the key belongs to another call; this one did not run
	KindMoved                   // did not run here; ask the partition's owner
)

var kindNames = [...]string{"", "ran", "gone", "not_run", "unknown", "reused", "moved"}

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return ""
	}
	return kindNames[k]
}

// Verdict is a keeper's decision about a request.
type Verdict struct {
	Kind       Kind
	Reason     string
	RetryAfter time.Duration // to wait before asking again; 0 if not specified
	Order      uint64        // order number of the operation or, without one, of the keeper's newest; 0 if the log was not loaded
	Answer     *Answer
}

func (Acquire) output()      {}
func (Release) output()      {}
func (Ready) output()        {}
func (Send) output()         {}
func (WriteHead) output()    {}
func (ReadHead) output()     {}
func (WriteSegment) output() {}
func (ReadSegment) output()  {}
func (DropSegment) output()  {}
func (Reply) output()        {}

// Reasons of a Verdict.
const (
	ReasonStore    = "store_down"
	ReasonDeadline = "deadline"
	ReasonFull     = "once_full"
	ReasonBusy     = "once_busy"
	ReasonExpired  = "key_expired"
	ReasonRestored = "store_restored"
	ReasonFuture   = "key_in_future"
	ReasonMoved    = "keeper_moved"
	ReasonWorkers  = "worker_unreachable"
	ReasonCaller   = "caller_gone"
)
