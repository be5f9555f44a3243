package keeper

import (
	"time"

	"github.com/cicadawood/cicadawood/storer"
)

// Settings bound a keeper. Zero fields take the defaults of WithDefaults.
type Settings struct {
	WritesPerSecond  float64       // commits a second in the long run
	Burst            float64       // commits that may follow one another at once
	MaxOperations    int           // operations in flight
	MaxRecords       int           // records in memory
	AnswerCacheBytes int           // bytes of answers in memory
	MaxAnswerBytes   int           // bytes of the largest answer that is kept
	MaxTailBytes     int           // bytes of the head's tail before it is archived
	Retention        time.Duration // for which a record is kept at least
	OutcomeGrace     time.Duration // for which an answer waits for its outcome to be recorded
	RetryInterval    time.Duration // between tries of a store that is down
	MaxTries         int           // workers tried when each says that it did not run the call
	LayoutEra        uint64        // era of the store in which the partitions had no heads yet
}

// WithDefaults fills the zero fields.
func (s Settings) WithDefaults() Settings {
	set(&s.WritesPerSecond, 12)
	set(&s.Burst, 2*s.WritesPerSecond)
	set(&s.MaxOperations, 512)
	set(&s.MaxRecords, 20_000)
	set(&s.AnswerCacheBytes, 4<<20)
	set(&s.MaxAnswerBytes, 4<<10)
	set(&s.MaxTailBytes, 8<<10)
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

// Call is one request for an operation, from an entry that waits for its end.
type Call struct {
	ID       ID
	Hash     [16]byte
	Dated    int64
	Request  string // unique among all requests
	From     string // the entry's host
	Deadline time.Time
}

// Result is how a call of the store ended.
type Result uint8

// Results of a call of the store.
const (
	Done     Result = iota + 1
	Missing         // no such object
	Conflict        // the condition did not hold; nothing was written
	Down            // certainly took no effect
	Lost            // may have taken effect
)

// Input is what a keeper takes in.
type Input interface{ input() }

// CallReceived is a call that arrives.
type CallReceived struct{ Call Call }

// ReadyAnswered is an entry's word on Ready: whether it still waits for the request.
type ReadyAnswered struct {
	ID      ID
	Request string
	OK      bool
}

// Placed says that Acquire got a place.
type Placed struct {
	ID      ID
	Attempt int
}

// Unplaced says that Acquire got none.
type Unplaced struct {
	ID      ID
	Attempt int
	Reason  string
	After   time.Duration
}

// Answered is the end of a Send.
type Answered struct {
	ID      ID
	Attempt int
	Result  CallResult
	Answer  *Answer // where Fate is FateRan
}

// CallResult is what is known of a call that was sent.
type CallResult uint8

// Fates of a call that was sent.
const (
	CallRan     CallResult = iota + 1
	CallNotRun             // certainly not run
	CallUnknown            // may have run
)

// HeadWritten is the end of a WriteHead.
type HeadWritten struct {
	Stamp   Stamp
	Version storer.Version
	Result  Result
}

// HeadRead is the end of a ReadHead.
type HeadRead struct {
	Head    Head
	Version storer.Version
	Era     uint64 // of the store, where it has no head
	Result  Result
}

// SegmentRead is the end of a ReadSegment.
type SegmentRead struct {
	Segment Segment
	Entries []*Entry
	Result  Result
}

// SegmentWritten is the end of a WriteSegment.
type SegmentWritten struct {
	Segment Segment
	Result  Result
}

// Retired says that another host owns the partition now.
type Retired struct{}

// LoadRequested has the keeper read its log before it is asked for, so that it knows it
// in an outage of the store.
type LoadRequested struct{}

// StoreRestored says that the store came back from an older copy of itself.
type StoreRestored struct {
	Era        uint64    // that it is in now
	OwnedSince time.Time // since when this host owns the partition, by its own roster; zero where it does not
}

// Rejoined says that this host was declared dead and is back: what the keeper
// knows may be old.
type Rejoined struct{}

// Ticked lets time pass.
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

// Output is what a keeper wants done.
type Output interface{ output() }

// Acquire asks for a place for the call of a request.
type Acquire struct {
	ID      ID
	Request string
	Attempt int
}

// Release gives a place back, or withdraws an Acquire that has no end yet.
type Release struct {
	ID      ID
	Attempt int
}

// Ready asks an entry whether it still waits for a request. Its end is a Went.
type Ready struct {
	To      string
	ID      ID
	Request string
	Epoch   uint64
}

// Send sends the call of a request to the place of the attempt. It is the only
// output that can make an operation run. Its end is an Answered.
type Send struct {
	ID      ID
	Request string
	Attempt int
}

// WriteHead writes the head if its version is Match; 0 demands that there is none.
type WriteHead struct {
	Head  Head
	Match storer.Version
}

// ReadHead reads the head.
type ReadHead struct{}

// WriteSegment writes a segment's object, unconditionally: its name is this
// keeper's alone, and so is its content.
type WriteSegment struct {
	Segment Segment
	Entries []*Entry
}

// ReadSegment reads a segment's object.
type ReadSegment struct{ Segment Segment }

// DropSegment deletes a segment's object, which no head names any more.
type DropSegment struct{ Segment Segment }

// Reply is the keeper's last word to an entry about a request.
type Reply struct {
	To      string
	Request string
	Verdict Verdict
}

// Kind is the kind of a Verdict.
type Kind uint8

// Kinds of a Verdict.
const (
	KindRan     Kind = iota + 1 // the answer is there
	KindGone                    // ran; its answer is not kept
	KindNotRun                  // this request was not run and will not be
	KindUnknown                 // may have run
	KindReused                  // the key belongs to another call; this one was not run
	KindMoved                   // not run here: ask the partition's owner
)

var kindNames = [...]string{"", "ran", "gone", "not_run", "unknown", "reused", "moved"}

// String is the kind's name in logs and metrics.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return ""
	}
	return kindNames[k]
}

// Verdict is what became of a request.
type Verdict struct {
	Kind   Kind
	Reason string
	After  time.Duration
	Epoch  uint64 // of the keeper that speaks; 0 where it had not read the log
	Answer *Answer
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
