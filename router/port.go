// Package router answers the callers of host routes: it finds a request's route
// by host name and path, checks its key and its limits, has it placed on a worker,
// passes the answer on, and decides what may be repeated after a failure.
//
// What headers are called is a Dialect's matter, where requests go a Placer's.
package router

import (
	"context"
	"net/http"
	"time"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/placer"
)

// Part is one part of a prompt, as a caller names it.
type Part struct {
	ID     string
	Tokens int
}

// RequestHead is what a caller says in a request's head.
type RequestHead struct {
	ID             string        // of this one try of the caller
	Deadline       time.Duration // that the caller waits; 0 where it does not say
	Model          string
	Prompt         int // tokens
	MaxOutput      int // tokens at most
	ExpectedOutput int // tokens of output that the caller expects; 0 where it does not say
	Parts          []Part
	LastEventID    string // the last event that the caller has of a stream
}

// WorkerHead is what a worker is told besides the caller's request.
type WorkerHead struct {
	Worker       string        // any other worker is not to run it
	TimeLeft     time.Duration // nobody waits for the answer any longer
	Organisation string        // "" where the route asks for no key
	Engine       bool
	Rank         int    // among Ranks; 0 is the most urgent
	Ranks        int    // that the configuration in force tells apart
	Source       string // address of the worker to fetch the prompt's memory from; "" for none
	LastEventID  string // the stream is to go on after this event; "" leaves the caller's
}

// Load is a worker's own count of its requests.
type Load struct {
	Known                   bool
	Running, Waiting, Slots int
}

// AnswerHead is what an answer's head says of the request.
type AnswerHead struct {
	ID          string // of the request that is answered; "" where it does not say
	Sealed      bool   // the worker vouches for the answer
	NotRun      bool   // the worker did not and will not run the request
	OtherWorker bool   // another worker has the address now
	Load        Load
	Limit       Limit
}

// Limit is how many requests a second a worker says that it takes from all hosts together.
type Limit struct {
	Rate    float64 // 0 is any number
	Invalid string  // what it said cannot be read
}

// Dialect is the port to what callers and workers call things.
type Dialect interface {
	// Key is the key of a request; false where it has none.
	Key(h http.Header) (string, bool)
	// ReadRequest reads a request's head.
	ReadRequest(h http.Header) RequestHead
	// WriteRequest makes a caller's header, without those of one connection, the worker's.
	WriteRequest(h http.Header, o WorkerHead)
	// ReadAnswer reads the head of a worker's answer.
	ReadAnswer(status int, h http.Header) AnswerHead
	// WriteAnswer completes the header of an answer that the system gives itself.
	WriteAnswer(h http.Header, id string, after time.Duration)
}

// Placement is where a request goes.
type Placement struct {
	ID           uint64
	Service      string
	Worker       placer.Worker
	ExpectedWait time.Duration // expected until the first event, or the answer
	Delay        time.Duration // it is to be sent only then
	PromptTokens int           // tokens that the worker is expected to read
	ListAge      time.Duration // of the list of workers that it was chosen from
	Source       string        // address of the worker that it is to fetch memory from; "" for none
	PlacedBy     string        // host that chose it; "" is this one
	HalfFull     bool          // half of the worker's slots are taken, or more
	RateLimit    float64       // requests a second that the worker said it takes; 0 is any number
}

// Refused is the error of a request that no worker should get now.
type Refused struct {
	Reason    string
	After     time.Duration
	RefusedBy string       // host that refused it; "" is this one
	Basis     placer.Basis // what that was decided by
}

// Error implements error.
func (r Refused) Error() string { return "refused: " + r.Reason }

// Placer is the port to the decision where requests go.
type Placer interface {
	// Place picks a worker. Its error is a Refused, or that of ctx. Again says that
	// the request was sent to a worker before.
	Place(ctx context.Context, a placer.Request, again bool) (Placement, error)
	// Started tells that the first event of a stream, or a whole answer, has come, so long
	// after the request was sent.
	Started(p Placement, took time.Duration)
	// RateReported tells how many requests a second the worker named as it answered; 0 where it
	// named none. It comes only where there is, or was, a limit.
	RateReported(p Placement, rate float64)
	// Ended tells how a request at its place ended. It is called once for each Place.
	Ended(p Placement, o placer.Outcome)
}

// Configuration is the port to the settings in force.
type Configuration interface {
	// Folder is the configuration in force and its generation; nil before the first.
	Folder() (*loader.Folder, uint64)
}
