package placer

import (
	"time"

	"github.com/cicadawood/cicadawood/quarantiner"
	"github.com/cicadawood/cicadawood/resumer"
)

// Worker is a backend server that may get requests.
type Worker struct {
	Name        string
	Service     string
	Address     string
	Zone        string
	Slots       int           // maximum of concurrent requests
	CacheTokens int           // tokens that fit into an engine's KV cache; 0 for a plain service
	EventTokens int           // tokens in one event of an engine's stream
	TokenBytes  int           // bytes that a token takes in an engine's KV cache
	LinkMbps    float64       // rate at which it fetches cached tokens from another engine; 0 if it can't
	WarmUp      time.Duration // remaining time for which it is slow after its start
	Incarnation string        // changes when the worker restarts under the same name
	Version     string        // of its software; "" if unknown
}

// Software returns the worker as package resumer sees it.
func (w Worker) Software() resumer.Worker {
	return resumer.Worker{Service: w.Service, Name: w.Name, Incarnation: w.Incarnation, Version: w.Version}
}

// Request is a request to be placed at a worker.
type Request struct {
	Service           string
	Zone              string // of the sending host; "" is the view's
	Parts             []Part
	Prompt            int           // tokens, including all parts; 0 for a plain service
	Output            int           // tokens, estimated
	Expected          int           // output tokens that the caller expects; 0 if it does not say
	Rank              int           // urgency among all requests at the engines; 0 is the most urgent
	Tier              int           // urgency of its route alone; 0 is the most urgent
	Left              time.Duration // time until the caller's deadline
	FirstEventTimeout time.Duration // time until the caller gives up waiting for a first event; 0 is Left
	Target            time.Duration // time to the answer, or to a stream's first event
	Gap               time.Duration // maximum pause in a stream; 0 is no target
	Exclude           []string      // workers that already had the request
	Backoffs          []Backoff     // workers that want no requests from the sending host

	// Resumed states that the request goes on with a stream that its caller has begun to
	// receive, and Bound which worker began it; nil lets it go on at any worker.
	Resumed bool
	Bound   *resumer.Worker
	Stream  resumer.Key // of the caller's attempt

	Fingerprint quarantiner.Fingerprint // of the request's content; 0 if unknown
	Caller      string                  // ID of the caller's request, for logs
}

// Flight is a request on its way to a worker or at it. Hosts report their flights to each
// other.
type Flight struct {
	ID      uint64
	Worker  string
	Parts   []Part
	Prefill int           // prompt tokens that the worker has to prefill
	Hold    int           // tokens that it takes up in the worker's KV cache
	Left    time.Duration // time within which its answer ends
	Gap     time.Duration // target for the longest pause in its stream; 0 is none
	Rank    int           // urgency among all requests; 0 is the most urgent
	Tier    int           // urgency of its route alone
	Fetch   int           // prompt tokens that the worker fetches from another one
	Output  int           // tokens, estimated

	Fingerprint quarantiner.Fingerprint // of the request's content; 0 if unknown
}

// Refusal states that no worker should get a request now.
type Refusal struct {
	RetryAfter time.Duration // time until there may be room
	Reason     string
}

// Choice is the result of placing a request.
type Choice struct {
	Worker  Worker
	Flight  Flight
	Wait    time.Duration // expected time to the first event, or to a plain service's answer
	Delay   time.Duration // to wait before sending the request
	Source  string        // address of the worker to fetch cached tokens from; "" if it prefills all
	Filling bool          // with this request, at least half of the worker's slots are taken
	Basis   Basis         // what a refusal was based on
}

// Outcome is how a request at a worker ended.
type Outcome int

// Outcomes of a flight.
const (
	Answered     Outcome = iota
	Errored              // the worker answered with an error
	Refused              // the worker reported that it did not run the request
	WrongWorker          // the address now belongs to another worker
	Broken               // no answer, or an incomplete one
	Canceled             // the caller went away, or its deadline passed
	Disconnected         // the worker closed the connection before it answered, as it does when it crashes
	Silent               // no answer in time, but the worker may go on
	Unproven             // answered, but not shown to have run to its end
)

// FromWorker reports whether the worker that was meant wrote an answer.
func (o Outcome) FromWorker() bool { return o.answered() || o == Errored || o == Refused }

// answered reports whether a worker answered, not with an error.
func (o Outcome) answered() bool { return o == Answered || o == Unproven }
