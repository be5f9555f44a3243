package messenger

import "time"

const kindShared = "shared3"

// FlightUpdate tells another host what this one sent to workers since the last FlightUpdate,
// in order: requests sent, those whose first event came, those that ended.
type FlightUpdate struct {
	_msgpack struct{}    `msgpack:",as_array"` //nolint:unused // read by msgpack
	Sent     []Flight    `msgpack:"sent"`
	Begun    []uint64    `msgpack:"begun"`
	Ended    []FlightEnd `msgpack:"ended"`
	// Took is how long each of Begun took to its first event, in that order.
	Took []time.Duration `msgpack:"took"`
	// Refused is what no worker got, a sum for each service and tier.
	Refused []Offer `msgpack:"refused"`
	// Running is what was sent before the receiver started, or began to listen.
	Running []Flight `msgpack:"running"`
	// Limits is what workers named, or name no more.
	Limits []WorkerLimit `msgpack:"limits"`
}

// WorkerLimit is how many requests a second a worker takes from all hosts together.
type WorkerLimit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Worker   string   `msgpack:"worker"`
	Rate     float64  `msgpack:"rate"` // 0 is any number
}

// Offer is requests of one service and route's tier.
type Offer struct {
	_msgpack struct{}      `msgpack:",as_array"` //nolint:unused // read by msgpack
	Service  string        `msgpack:"service"`
	Tier     int           `msgpack:"tier"`
	Count    int           `msgpack:"count"`
	Output   int           `msgpack:"output"` // tokens that all of them expect
	Read     time.Duration `msgpack:"read"`   // that an engine would have to read for all of them
}

// Flight is one request on its way to a worker.
type Flight struct {
	_msgpack struct{}      `msgpack:",as_array"` //nolint:unused // read by msgpack
	ID       uint64        `msgpack:"id"`
	Worker   string        `msgpack:"worker"`
	Read     int           `msgpack:"read"` // tokens that the worker has to read
	Hold     int           `msgpack:"hold"` // tokens that it takes up there
	Left     time.Duration `msgpack:"left"` // its answer is over by then
	Gap      time.Duration `msgpack:"gap"`  // target for the longest pause in its stream
	Keys     []uint64      `msgpack:"keys"` // of the prompt's parts, in order
	Tokens   []int         `msgpack:"tokens"`
	Host     string        `msgpack:"host"`   // that sends it
	Rank     int           `msgpack:"rank"`   // 0 is the most urgent
	Fetch    int           `msgpack:"fetch"`  // tokens that the worker fetches from another
	Tier     int           `msgpack:"tier"`   // of its route
	Output   int           `msgpack:"output"` // tokens, guessed
	Begun    bool          `msgpack:"begun"`  // its first event was seen

	Fingerprint uint64 `msgpack:"fingerprint"` // of what it asks for; 0 is not known
}

// FlightEnd is one request that ended.
type FlightEnd struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	ID       uint64   `msgpack:"id"`
	Outcome  int      `msgpack:"outcome"` // a placer.Outcome
}

func (FlightUpdate) kind() string { return kindShared }
