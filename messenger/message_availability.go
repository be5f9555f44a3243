package messenger

import "time"

const (
	kindLeavingWorkers = "leaving"
	kindWorkerBackoff  = "backoff"
)

// LeavingWorkers reports the worker processes that stated in an answer that they
// are leaving.
type LeavingWorkers struct {
	_msgpack  struct{}        `msgpack:",as_array"` //nolint:unused // read by msgpack
	Processes []WorkerProcess `msgpack:"processes"`
}

// WorkerProcess identifies one process of a worker; see observer.Process.
type WorkerProcess struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Worker      string   `msgpack:"worker"`
	Incarnation string   `msgpack:"incarnation"`
}

// WorkerBackoff follows a WorkerRefused if the backend server stated for how
// long it wants no calls.
type WorkerBackoff struct {
	_msgpack   struct{}      `msgpack:",as_array"` //nolint:unused // read by msgpack
	Address    string        `msgpack:"address"`
	RetryAfter time.Duration `msgpack:"after"`
}

func (LeavingWorkers) kind() string { return kindLeavingWorkers }
func (WorkerBackoff) kind() string  { return kindWorkerBackoff }
