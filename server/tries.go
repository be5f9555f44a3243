package server

import (
	"context"
	"errors"

	"github.com/cicadawood/cicadawood/forwarder"
	"github.com/cicadawood/cicadawood/loader"
)

// triesMost is how often a request is tried, preemptions aside.
const triesMost = 4

// Errors of a try, beside the forwarder's.
var (
	errPreempted = errors.New("preempted")
	errCaller    = errors.New("caller takes nothing more")
	errShort     = errors.New("the stream ended before its end mark")
	errEngine    = errors.New("the engine failed in the stream")
	errBusy      = errors.New("the backend server answered that it can't")
	errUnframed  = errors.New("the end of the answer can't be told from a cut")
	errNoResume  = errors.New("the engine did not resume where it was asked to")
)

// step is what follows a try that failed.
type step int

const (
	giveUp    step = iota
	reconnect      // the same place by a new connection
	askAgain       // another place
)

// facts is what a step is decided by.
type facts struct {
	once        bool // the call must not be repeated
	passed      bool // part of the answer has reached the caller
	resumable   bool // the rest of the answer can be had alone
	reconnected bool // the place was tried by a new connection already
	tries       int  // that ended
	err         error
}

// next decides what follows a failed try. A call that must not be repeated is
// sent again only after a try that certainly did not run. Once part of an answer has reached the caller, only the rest
// may follow: an answer from its start would double that part.
func (f facts) next() step {
	switch {
	case f.once && !errors.Is(f.err, forwarder.ErrNotRun), f.passed && !f.resumable, errors.Is(f.err, errCaller):
		return giveUp
	case errors.Is(f.err, errPreempted):
		return askAgain
	case f.tries >= triesMost:
		return giveUp
	case errors.Is(f.err, forwarder.ErrSilent) && !f.reconnected:
		// Something between the two ends may have lost track of the connection:
		// that is no fault of the worker.
		return reconnect
	default:
		return askAgain
	}
}

// blames says whether an error speaks against the worker.
func blames(err error) bool {
	for _, x := range []error{errPreempted, errCaller, forwarder.ErrStale, context.Canceled, context.DeadlineExceeded} {
		if errors.Is(err, x) {
			return false
		}
	}
	return err != nil
}

// cause names an error in metrics and logs.
func cause(err error) string {
	for _, c := range []struct {
		err  error
		name string
	}{
		{errPreempted, "preempted"},
		{errCaller, "caller"},
		{errShort, "short"},
		{errEngine, "engine"},
		{errBusy, "busy"},
		{errUnframed, "unframed"},
		{errNoResume, "noresume"},
		{forwarder.ErrStale, "stale"},
		{forwarder.ErrSilent, "silent"},
		{forwarder.ErrMismatched, "crossed"},
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

// excluded is how many workers of a service a request may exclude, so that one
// is left in the smallest of its cells.
func excluded(s loader.Service) int {
	n := len(s.Workers)
	if n == 0 {
		return 1 // the host list names them
	}
	if s.Cell > 0 {
		n /= (n + s.Cell - 1) / s.Cell
	}
	return n - 1
}
