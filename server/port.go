// Package server is the entry role: it reads and checks callers' requests, acquires a
// place on a backend server for each, and answers.
package server

import (
	"context"
	"errors"
	"time"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/quarantiner"
)

// ErrCallerGone means that the caller disconnected while its request waited.
var ErrCallerGone = errors.New("caller disconnected")

// Refusal is the error for a request that got no place and was not run.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration // when the caller may retry
}

// Error implements error.
func (r Refusal) Error() string { return "refused: " + r.Reason }

// Place is a slot of a worker, reserved for one request until Release.
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
	FirstByte time.Duration // time to the first byte; 0 if none arrived
	Failed    bool          // the failure is attributed to the worker

	Fingerprint  quarantiner.Fingerprint // of the request; 0 if unknown
	ClosedByPeer bool                    // the worker closed or reset the connection during the request
	Took         time.Duration           // time since the request was sent; 0 if it was not
}

// Allocator hands out places on workers.
type Allocator interface {
	// Acquire waits for a place in one of the service's cells. It returns a Refusal, or
	// ErrCallerGone if ctx ends first.
	Acquire(ctx context.Context, service string, a messenger.Ask) (Place, error)
	// Progress reports how many tokens a request has received at its place so far.
	Progress(p Place, tokens int)
	// Release releases a place. It must be called once for each Place.
	Release(p Place, u Usage)
}

// Limiter enforces the rate limits of organisations.
type Limiter interface {
	// Admit charges a request of about tokens, or returns how long the caller should
	// wait before retrying. Usage by less urgent tiers is no reason to refuse a request.
	Admit(organisation string, tier, tokens int) (retryAfter time.Duration, ok bool)
	// Settle corrects the tokens charged by Admit by the difference to the actual
	// number, which may be negative.
	Settle(organisation string, tier, tokens int)
}

// Quarantine holds the requests that are quarantined because the workers that ran them
// ended.
type Quarantine interface {
	// Quarantined reports whether a request is quarantined, and for how long.
	Quarantined(f quarantiner.Fingerprint) (time.Duration, bool)
}

// Configuration is the port to the configuration in force.
type Configuration interface {
	// Folder returns the configuration in force and its generation; nil before the first
	// is loaded.
	Folder() (*loader.Folder, uint64)
}
