package messenger

import "time"

const kindFlightUpdate = "shared3"

// FlightUpdate reports a host's requests to workers since its last
// FlightUpdate, in order: requests sent, requests whose first event arrived,
// and requests that ended.
type FlightUpdate struct {
	_msgpack struct{}    `msgpack:",as_array"` //nolint:unused // read by msgpack
	Sent     []Flight    `msgpack:"sent"`
	Begun    []uint64    `msgpack:"begun"`
	Ended    []FlightEnd `msgpack:"ended"`
	// Took is the time that each of Begun took to its first event, in the same
	// order.
	Took []time.Duration `msgpack:"took"`
	// Refused is the requests that got no worker, summed by service and tier.
	Refused []OfferedLoad `msgpack:"refused"`
	// Running is the requests that were sent before the receiver started or
	// began to receive updates.
	Running []Flight `msgpack:"running"`
	// Limits is the rate limits that workers named, or no longer name.
	Limits []WorkerLimit `msgpack:"limits"`
}

// BrittlePrefix precedes the name of a worker in a WorkerLimit whose Rate is the
// number of requests that it may turn away in a second. Hosts of an older
// version know no worker of that name, and ignore the entry.
const BrittlePrefix = "brittle/"

// WorkerLimit is the rate of requests that a worker accepts from all hosts
// together.
type WorkerLimit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Worker   string   `msgpack:"worker"`
	Rate     float64  `msgpack:"rate"` // requests per second; 0 is unlimited
}

// OfferedLoad sums requests of one service and of one tier of its routes; see
// placer.OfferedLoad.
type OfferedLoad struct {
	_msgpack struct{}      `msgpack:",as_array"` //nolint:unused // read by msgpack
	Service  string        `msgpack:"service"`
	Tier     int           `msgpack:"tier"`
	Count    int           `msgpack:"count"`
	Output   int           `msgpack:"output"` // tokens that all of them expect
	Prefill  time.Duration `msgpack:"read"`   // that an engine would need to read all their prompts
}

// Flight is one request on its way to, or at, a worker; see placer.Flight.
type Flight struct {
	_msgpack struct{}      `msgpack:",as_array"` //nolint:unused // read by msgpack
	ID       uint64        `msgpack:"id"`
	Worker   string        `msgpack:"worker"`
	Prefill  int           `msgpack:"read"`   // tokens that the worker has to read
	Hold     int           `msgpack:"hold"`   // tokens that it occupies there
	Left     time.Duration `msgpack:"left"`   // its answer has ended by then
	Gap      time.Duration `msgpack:"gap"`    // target for the longest pause in its stream
	Keys     []uint64      `msgpack:"keys"`   // of the prompt's parts, in order
	Tokens   []int         `msgpack:"tokens"` // of the prompt's parts, in order
	Host     string        `msgpack:"host"`   // that sent it
	Rank     int           `msgpack:"rank"`   // 0 is the most urgent
	Fetch    int           `msgpack:"fetch"`  // tokens that the worker fetches from another
	Tier     int           `msgpack:"tier"`   // of its route
	Output   int           `msgpack:"output"` // tokens, estimated
	Begun    bool          `msgpack:"begun"`  // its first event has arrived

	Fingerprint uint64 `msgpack:"fingerprint"` // of the request's content; 0 if unknown
}

// FlightEnd is one request that ended.
type FlightEnd struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	ID       uint64   `msgpack:"id"`
	Outcome  int      `msgpack:"outcome"` // a placer.Outcome
}

func (FlightUpdate) kind() string { return kindFlightUpdate }
