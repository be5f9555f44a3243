package messenger

import "time"

const (
	kindQuarantine = "quarantine"
	kindMark       = "mark"
)

// Quarantine tells another host which requests the sender holds back.
type Quarantine struct {
	_msgpack struct{}          `msgpack:",as_array"` //nolint:unused // read by msgpack
	Entries  []QuarantineEntry `msgpack:"held"`
}

// QuarantineEntry is one request that is held back; see quarantiner.Held.
type QuarantineEntry struct {
	_msgpack    struct{}      `msgpack:",as_array"` //nolint:unused // read by msgpack
	Fingerprint uint64        `msgpack:"fingerprint"`
	For         time.Duration `msgpack:"for"` // from now on
	Span        time.Duration `msgpack:"span"`
	Workers     []string      `msgpack:"workers"` // that it ended, the first ones
}

// Events of a WorkerReport.
const (
	WorkerEnded    = iota // a worker ended with a request
	WorkerAnswered        // a worker answered a request that ended others
	WorkerAlive           // a worker goes on that seemed to have ended
)

// WorkerReport tells the host that counts how a request at a worker ended.
type WorkerReport struct {
	_msgpack    struct{}      `msgpack:",as_array"` //nolint:unused // read by msgpack
	Event       int           `msgpack:"what"`
	Fingerprint uint64        `msgpack:"fingerprint"`
	Worker      string        `msgpack:"worker"`
	Took        time.Duration `msgpack:"took"` // since it was sent, or for an answer since that came
}

func (WorkerReport) kind() string { return kindMark }
func (Quarantine) kind() string   { return kindQuarantine }
