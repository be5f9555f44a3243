package placer

import (
	"time"

	"github.com/cicadawood/cicadawood/quarantiner"
)

// Worker is one backend server that may get requests.
type Worker struct {
	Name        string
	Service     string
	Address     string
	Zone        string
	Slots       int           // requests at once
	CacheTokens int           // tokens that an engine keeps; 0 for a plain service
	EventTokens int           // tokens of one event of an engine's stream
	TokenBytes  int           // bytes that a token takes in an engine's memory
	LinkMbps    float64       // megabits a second at which it fetches memory from another; 0 where it can't
	ColdFor     time.Duration // it is slow for that much longer
	Instance    string        // differs after a restart under the same name
}

// Part is one part of a prompt. Key names it together with all parts before it:
// a part is of use to a request only where those are there too.
type Part struct {
	Key    uint64
	Tokens int
}

// Request is a request that wants a worker.
type Request struct {
	Service           string
	Zone              string // of the host that sends it; "" is the view's
	Parts             []Part
	Prompt            int           // tokens, all parts included; 0 for a plain service
	Output            int           // tokens, guessed
	Expected          int           // tokens of output that the caller expects; 0 where it does not say
	Rank              int           // among all that engines are told; 0 is the most urgent
	Tier              int           // of its route alone; 0 is the most urgent
	Left              time.Duration // until nobody waits for the answer any more
	FirstEventTimeout time.Duration // until the caller leaves for want of a first event; 0 is Left
	Target            time.Duration // for the answer, or a stream's first event
	Gap               time.Duration // target for the longest pause in a stream; 0 is none
	Exclude           []string      // workers that had it already

	Fingerprint quarantiner.Fingerprint // of what it asks for; 0 is not known
}

// Flight is a request on its way to, or at, a worker. It is what hosts tell each
// other.
type Flight struct {
	ID      uint64
	Worker  string
	Parts   []Part
	Prefill int           // tokens of the prompt that the worker has to read
	Hold    int           // tokens that it takes up there
	Left    time.Duration // its answer is over by then
	Gap     time.Duration // target for the longest pause in its stream; 0 is none
	Rank    int           // 0 is the most urgent
	Tier    int           // of its route alone
	Fetch   int           // tokens of the prompt that the worker fetches from another
	Output  int           // tokens, guessed

	Fingerprint quarantiner.Fingerprint // of what it asks for; 0 is not known
}

// Refusal says that no worker should get a request now.
type Refusal struct {
	RetryAfter time.Duration // when there may be room
	Reason     string
}

// Choice is where a request goes.
type Choice struct {
	Worker  Worker
	Flight  Flight
	Wait    time.Duration // expected until its first event, or its answer
	Delay   time.Duration // it is to be sent only then
	Source  string        // address of the worker that it is to fetch memory from; "" where it reads all
	Filling bool          // with it, half of its worker's slots are taken or more
	Basis   Basis         // what it was decided by, where it was refused
}

// Outcome is how a request at a worker ended.
type Outcome int

// Outcomes of a flight.
const (
	Answered     Outcome = iota
	Errored              // the worker said that it failed
	Refused              // the worker said that it did not run the request
	WrongWorker          // another worker has the address
	Broken               // no answer, or one that broke off
	Canceled             // the caller went away, or the time was up
	Disconnected         // its worker closed the connection under it, as one that crashes does
)
