package messenger

import "time"

const (
	kindSeek   = "seek2"
	kindSought = "sought2"
)

// PlacementRequest asks a host that decides for others for a worker.
type PlacementRequest struct {
	_msgpack struct{}      `msgpack:",as_array"` //nolint:unused // read by msgpack
	ID       uint64        `msgpack:"id"`        // of this question of the host that asks
	Reply    string        `msgpack:"reply"`     // where its answer goes, IP:port
	Zone     string        `msgpack:"zone"`      // of the host that asks
	Service  string        `msgpack:"service"`
	Keys     []uint64      `msgpack:"keys"` // of the prompt's parts, in order
	Tokens   []int         `msgpack:"tokens"`
	Prompt   int           `msgpack:"prompt"` // tokens
	Output   int           `msgpack:"output"` // tokens
	Rank     int           `msgpack:"rank"`
	Left     time.Duration `msgpack:"left"`
	Patience time.Duration `msgpack:"patience"`
	Target   time.Duration `msgpack:"target"`
	Gap      time.Duration `msgpack:"gap"`
	Exclude  []string      `msgpack:"exclude"`  // workers
	Tier     int           `msgpack:"tier"`     // of the route
	Expected int           `msgpack:"expected"` // tokens of output that the caller expects

	Fingerprint uint64 `msgpack:"fingerprint"` // of what it asks for; 0 is not known
}

// PlacementReply answers a PlacementRequest: a worker, or why none.
type PlacementReply struct {
	_msgpack struct{}      `msgpack:",as_array"` //nolint:unused // read by msgpack
	ID       uint64        `msgpack:"id"`        // of the PlacementRequest
	Flight   uint64        `msgpack:"flight"`    // the request's id among all hosts; 0 where it was refused
	Worker   string        `msgpack:"worker"`
	Wait     time.Duration `msgpack:"wait"`
	Pause    time.Duration `msgpack:"pause"`
	Read     int           `msgpack:"read"`    // tokens
	Why      string        `msgpack:"why"`     // it was refused
	After    time.Duration `msgpack:"after"`   // when there may be room
	Source   string        `msgpack:"source"`  // address of the worker to fetch memory from; "" for none
	Filling  bool          `msgpack:"filling"` // half of the worker's slots are taken, or more
	Basis    *Basis        `msgpack:"basis"`   // what a refusal was decided by; nil where it is none
	Limit    float64       `msgpack:"limit"`   // requests a second that the worker said it takes; 0 is any number
}

// Basis is what a refusal was decided by; see placer.Basis.
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

func (PlacementRequest) kind() string { return kindSeek }
func (PlacementReply) kind() string   { return kindSought }
