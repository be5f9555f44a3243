// Package server is the entry role: it reads callers' requests, checks them,
// gets them a place on a backend server, and answers.
package server

import (
	"context"
	"errors"
	"time"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/quarantiner"
)

// ErrCallerGone says that the caller went away while its request waited.
var ErrCallerGone = errors.New("caller went away")

// Refusal is the final answer to a request that got no place: it was not run.
type Refusal struct {
	Reason string
	After  time.Duration // when to come back
}

// Error implements error.
func (r Refusal) Error() string { return "refused: " + r.Reason }

// Place is one place on a worker, held until Release.
type Place struct {
	Request string
	Cell    string
	Worker  loader.Worker
	Fence   uint64 // the epoch of the dispatcher that granted it
	// Preempted is closed when a higher tier needs the place.
	Preempted <-chan struct{}
}

// Usage is what a request used of its place.
type Usage struct {
	Tokens    int
	FirstByte time.Duration // to the first byte; 0 where none came
	Failed    bool          // the worker failed it

	Fingerprint  quarantiner.Fingerprint // of the request; 0 is not known
	ClosedByPeer bool                    // the worker's end of the connection closed under it
	Took         time.Duration           // since it was sent; 0 where it was not
}

// Allocator hands out places on workers.
type Allocator interface {
	// Acquire waits for a place in one of the service's cells. Its error is a
	// Refusal, or ErrGone when ctx ends first.
	Acquire(ctx context.Context, service string, a messenger.Ask) (Place, error)
	// Progress tells how many tokens a request has had of its place so far.
	Progress(p Place, tokens int)
	// Release gives a place back. Every Place is released once.
	Release(p Place, u Usage)
}

// Limiter holds organisations to their limits.
type Limiter interface {
	// Admit charges one request of about tokens, or says when to come back. What
	// less urgent tiers used is no reason to refuse one.
	Admit(organisation string, tier, tokens int) (after time.Duration, ok bool)
	// Settle charges tokens more, or fewer, than Admit was told.
	Settle(organisation string, tier, tokens int)
}

// Quarantine is the requests that are held back as they ended workers.
type Quarantine interface {
	// Held says whether a request is held back, and for how long.
	Held(f quarantiner.Fingerprint) (time.Duration, bool)
}

// Configuration is what the server reads of the settings in force.
type Configuration interface {
	// Folder is the configuration in force and its generation; nil before the first.
	Folder() (*loader.Folder, uint64)
}
