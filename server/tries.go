package server

import (
	"context"
	"errors"

	"github.com/cicadawood/cicadawood/forwarder"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/reserver"
)

// maxTries is the maximum number of tries of a request, not counting preempted ones.
const maxTries = 4

// Errors of a try, in addition to the forwarder's.
var (
	errPreempted    = errors.New("preempted")
	errCallerWrite  = errors.New("writing to the caller failed")
	errTruncated    = errors.New("the stream ended without its end marker")
	errEngineFailed = errors.New("the engine reported an error in the stream")
	errBusy         = errors.New("the backend server answered that it is busy")
	errUnframed     = errors.New("the answer is unframed: a truncated body can't be detected")
	errNotResumed   = errors.New("the engine did not resume at the requested token")
)

// action is the reaction to a failed try.
type action int

const (
	giveUp    action = iota
	reconnect        // same place, new connection
	nextPlace
)

// facts are the inputs to the choice of an action.
type facts struct {
	once        bool // the call must not be repeated
	headSent    bool // the caller has part of the answer
	resumable   bool // the answer can be continued after that part
	reconnected bool // the place was already tried with a new connection
	tries       int  // finished tries
	err         error
}

// nextAction returns the action after a failed try. A call that must not be repeated is sent
// again only after a try that certainly did not run. Once the caller has part of an
// answer, only the remaining part may follow: an answer from the start would repeat that
// part.
func (f facts) nextAction() action {
	switch {
	case f.once && !errors.Is(f.err, forwarder.ErrNotRun), f.headSent && !f.resumable, f.headSent && errors.Is(f.err, reserver.ErrTooManyEvents), errors.Is(f.err, errCallerWrite):
		return giveUp
	case errors.Is(f.err, errPreempted):
		return nextPlace
	case f.tries >= maxTries:
		return giveUp
	case errors.Is(f.err, forwarder.ErrSilent) && !f.reconnected:
		// A middlebox may have dropped the connection, which is no fault of the worker.
		return reconnect
	default:
		return nextPlace
	}
}

// blamesWorker reports whether an error is attributed to the worker.
func blamesWorker(err error) bool {
	for _, x := range []error{errPreempted, errCallerWrite, forwarder.ErrStale, forwarder.ErrPath, context.Canceled, context.DeadlineExceeded} {
		if errors.Is(err, x) {
			return false
		}
	}
	return err != nil
}

// causeLabel returns the label of an error in metrics and logs.
func causeLabel(err error) string {
	for _, c := range []struct {
		err  error
		name string
	}{
		{errPreempted, "preempted"},
		{errCallerWrite, "caller"},
		{errTruncated, "short"},
		{errEngineFailed, "engine"},
		{reserver.ErrTooManyEvents, "endless"},
		{errBusy, "busy"},
		{errUnframed, "unframed"},
		{errNotResumed, "noresume"},
		{forwarder.ErrStale, "stale"},
		{forwarder.ErrPath, "path"},
		{forwarder.ErrSilent, "silent"},
		{forwarder.ErrMismatched, "crossed"},
		{forwarder.ErrMalformed, "malformed"},
		{forwarder.ErrNotRun, "notrun"},
		{forwarder.ErrClosedByPeer, "ended"},
		{context.DeadlineExceeded, "deadline"},
	} {
		if errors.Is(err, c.err) {
			return c.name
		}
	}
	return "cut"
}

// maxExcluded returns how many workers of a service a request may exclude, so that at
// least one is left in its smallest cell.
func maxExcluded(s loader.Service) int {
	n := len(s.Workers)
	if n == 0 {
		return 1 // workers come from the host list
	}
	if s.CellSize > 0 {
		n /= (n + s.CellSize - 1) / s.CellSize
	}
	return n - 1
}
