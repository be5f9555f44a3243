package messenger

import "time"

const (
	kindPlacementRequest = "seek2"
	kindPlacementReply   = "sought2"
	kindBoundRequest     = "seekbound"
)

// PlacementRequest asks a host that places requests for others for a worker.
type PlacementRequest struct {
	_msgpack          struct{}      `msgpack:",as_array"` //nolint:unused // read by msgpack
	ID                uint64        `msgpack:"id"`        // of this request of the asking host
	Reply             string        `msgpack:"reply"`     // address to answer, IP:port
	Zone              string        `msgpack:"zone"`      // of the asking host
	Service           string        `msgpack:"service"`
	Keys              []uint64      `msgpack:"keys"`     // of the prompt's parts, in order
	Tokens            []int         `msgpack:"tokens"`   // of the prompt's parts, in order
	Prompt            int           `msgpack:"prompt"`   // tokens
	Output            int           `msgpack:"output"`   // tokens, estimated
	Rank              int           `msgpack:"rank"`     // 0 is the most urgent
	Left              time.Duration `msgpack:"left"`     // until no caller waits for the answer any more
	FirstEventTimeout time.Duration `msgpack:"patience"` // until the caller leaves without a first event; 0 is Left
	Target            time.Duration `msgpack:"target"`   // for the answer, or a stream's first event
	Gap               time.Duration `msgpack:"gap"`      // target for the longest pause in a stream; 0 for none
	Exclude           []string      `msgpack:"exclude"`  // workers
	Tier              int           `msgpack:"tier"`     // of the route
	Expected          int           `msgpack:"expected"` // tokens of output that the caller expects

	Fingerprint uint64 `msgpack:"fingerprint"` // of the request's content; 0 if unknown
}

// BoundRequest is a PlacementRequest for a stream that goes on only at the software that began
// it. It is a message of its own, so that hosts of an older version can't answer it: they would
// ignore the condition.
type BoundRequest struct {
	_msgpack    struct{}         `msgpack:",as_array"` //nolint:unused // read by msgpack
	Request     PlacementRequest `msgpack:"request"`
	Worker      string           `msgpack:"worker"` // that began the stream
	Incarnation string           `msgpack:"incarnation"`
	Version     string           `msgpack:"version"`
}

// PlacementReply answers a PlacementRequest with a worker, or with the reason
// why there is none.
type PlacementReply struct {
	_msgpack   struct{}      `msgpack:",as_array"` //nolint:unused // read by msgpack
	ID         uint64        `msgpack:"id"`        // of the PlacementRequest
	Flight     uint64        `msgpack:"flight"`    // the request's ID among all hosts; 0 if it was refused
	Worker     string        `msgpack:"worker"`
	Wait       time.Duration `msgpack:"wait"`    // until the first event or the answer, expected
	Delay      time.Duration `msgpack:"pause"`   // before the request may be sent
	Prefill    int           `msgpack:"read"`    // tokens that the worker has to read
	Reason     string        `msgpack:"why"`     // of a refusal
	RetryAfter time.Duration `msgpack:"after"`   // until there may be room
	Source     string        `msgpack:"source"`  // address of the worker to fetch memory from; "" for none
	HalfFull   bool          `msgpack:"filling"` // half or more of the worker's slots are in use
	Basis      *Basis        `msgpack:"basis"`   // of a refusal; nil if there is none
	RateLimit  float64       `msgpack:"limit"`   // requests per second that the worker accepts; 0 is unlimited
}

// Basis is the figures on which a refusal was based; see placer.Basis. It is
// encoded as a map, so its field names are part of the protocol.
type Basis struct {
	Worker  string
	Slots   int
	Taken   int
	Kept    int
	Queue   time.Duration
	Wait    time.Duration
	Bound   time.Duration
	End     time.Duration
	Free    int
	Wanted  int
	Offered float64
	Held    time.Duration
	Age     time.Duration
}

func (PlacementRequest) kind() string { return kindPlacementRequest }
func (BoundRequest) kind() string     { return kindBoundRequest }
func (PlacementReply) kind() string   { return kindPlacementReply }
