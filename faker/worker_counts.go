package faker

import (
	"net/http"
	"time"
)

// LimitSince returns when the worker began to report a limit.
func (k *Worker) LimitSince() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.limitSince
}

// RunsOf returns how often the worker ran a request.
func (k *Worker) RunsOf(request string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.runs[request]
}

// Runs returns the number of runs of all requests.
func (k *Worker) Runs() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, r := range k.runs {
		n += r
	}
	return n
}

// Canceled returns how many requests were canceled before a worker with NeverAnswer
// answered them.
func (k *Worker) Canceled() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.canceled
}

// RequestHeader returns the header of the last run of a request.
func (k *Worker) RequestHeader(request string) http.Header {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.headers[request]
}

// Broken returns the number of answers that the worker broke by an EarlyAnswer or an OddHead.
func (k *Worker) Broken() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.broken
}

// Crossed returns how many second answers the worker sent after the next request on their connection
// had arrived.
func (k *Worker) Crossed() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.crossed
}
