package messenger

import "time"

const (
	kindQuarantine   = "quarantine"
	kindWorkerReport = "mark"
)

// Quarantine passes on the requests that the sender has quarantined.
type Quarantine struct {
	_msgpack struct{}          `msgpack:",as_array"` //nolint:unused // read by msgpack
	Entries  []QuarantineEntry `msgpack:"held"`
}

// QuarantineEntry is one quarantined request; see quarantiner.Entry.
type QuarantineEntry struct {
	_msgpack    struct{}      `msgpack:",as_array"` //nolint:unused // read by msgpack
	Fingerprint uint64        `msgpack:"fingerprint"`
	Remaining   time.Duration `msgpack:"for"`
	Duration    time.Duration `msgpack:"span"`    // in all
	Workers     []string      `msgpack:"workers"` // the first ones that it ended
}

// Events of a WorkerReport.
const (
	WorkerCrashed  = iota // a worker ended while it ran the request
	WorkerAnswered        // a worker answered a request that had ended others
	WorkerAlive           // a worker that seemed to have ended is still alive
)

// WorkerReport reports how a request ended at a worker to the host that counts
// these events for all hosts.
type WorkerReport struct {
	_msgpack    struct{}      `msgpack:",as_array"` //nolint:unused // read by msgpack
	Event       int           `msgpack:"what"`
	Fingerprint uint64        `msgpack:"fingerprint"`
	Worker      string        `msgpack:"worker"`
	Took        time.Duration `msgpack:"took"` // since the request was sent, or for an answer since it began
}

func (WorkerReport) kind() string { return kindWorkerReport }
func (Quarantine) kind() string   { return kindQuarantine }

const (
	kindReportsFlush   = "flush"
	kindReportsFlushed = "flushed"
)

// ReportsFlush asks the receiver to confirm that it has counted all WorkerReports
// that the sender sent it before.
type ReportsFlush struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	ID       uint64   `msgpack:"id"`
}

// ReportsFlushed answers a ReportsFlush. What the reports led to was sent before.
type ReportsFlushed struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	ID       uint64   `msgpack:"id"`
}

func (ReportsFlush) kind() string   { return kindReportsFlush }
func (ReportsFlushed) kind() string { return kindReportsFlushed }
