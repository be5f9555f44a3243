// Package publisher accepts configurations from operators and keeps the newest one in
// force on each host.
//
// A configuration is a folder of files, stored as one object in the Object API. A push is
// accepted by a single conditional write of that object. The decisions are free of I/O:
// rebase and Tracker receive the data read, and the time, as arguments; Pusher and Follower
// do the I/O.
package publisher

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/storer"
)

const (
	// maxAttempts limits the attempts of one push while other pushes land first.
	maxAttempts = 16
	// maxReadBacks limits the reads that determine the outcome of a write whose reply
	// was lost.
	maxReadBacks = 6
	// readBackInterval is the pause between two such reads.
	readBackInterval = 300 * time.Millisecond
)

// Errors of a push.
var (
	// ErrRaced reports that other pushes landed first at each attempt.
	ErrRaced = errors.New("other pushes landed first")
	// ErrOutcomeUnknown reports that the push may have landed. It is safe to push again.
	ErrOutcomeUnknown = errors.New("the push may have landed; push again: the same push lands once")
	// ErrRestored reports that the platform's generation is older than the one that the
	// folder was pulled at: the platform was restored from a backup.
	ErrRestored = errors.New("the platform is older than this folder")
	// ErrInvalidMerge reports a folder that is valid by itself, but not merged with the
	// head.
	ErrInvalidMerge = errors.New("not valid when merged with the head")
)

// Change is a folder that an operator wants in force.
type Change struct {
	Files loader.Files // all files of the folder
	Base  Base         // the head that the folder was pulled at
	// Restore allows the folder to replace a head that is older than its base.
	Restore bool
}

// Result describes a push that the head contains.
type Result struct {
	Generation uint64 // of the push
	Head       Head   // contains the push, and possibly later ones
	Rebased    bool   // the head had another generation than the base
	Repeated   bool   // the head contained this push, or all its changes, before
}

// Pusher pushes changes to a store.
type Pusher struct {
	Store storer.Store
	// Now returns the time and Sleep waits; both default to the system clock.
	Now   func() time.Time
	Sleep func(context.Context, time.Duration)
}

func (p Pusher) now() time.Time {
	if p.Now == nil {
		return time.Now()
	}
	return p.Now()
}

func (p Pusher) sleep(ctx context.Context, d time.Duration) {
	if p.Sleep == nil {
		sleep(ctx, d)
		return
	}
	p.Sleep(ctx, d)
}

// Push writes c to the store, rebased onto the head if that is not c's base. The error
// is a *ConflictError, one of this package's errors, or loader.Problems.
func (p Pusher) Push(ctx context.Context, c Change) (Result, error) {
	if _, err := c.Files.Parse(); err != nil {
		return Result{}, err
	}
	id := c.Base.pushID(c.Files)
	t := attempt{Pusher: p, change: c, id: id}
	for range maxAttempts {
		head, err := t.read(ctx)
		if err != nil {
			return Result{}, err
		}
		r, err := t.try(ctx, head)
		if !errors.Is(err, ErrRaced) {
			return r, err
		}
	}
	if t.unconfirmed {
		return Result{}, fmt.Errorf("push: %w", ErrOutcomeUnknown)
	}
	return Result{}, fmt.Errorf("push: %w, %d times", ErrRaced, maxAttempts)
}

// attempt is the state of one push in progress.
type attempt struct {
	Pusher
	change Change
	id     string
	// unconfirmed is set while the outcome of a write is unknown because its reply was
	// lost; unconfirmedBase is the head that the write was based on.
	unconfirmed     bool
	unconfirmedBase Head
}

// read reads the head. While the outcome of a write is unknown it retries, and a final
// failure is ErrOutcomeUnknown.
func (t *attempt) read(ctx context.Context) (Head, error) {
	head, err := Read(ctx, t.Store)
	for i := 1; t.unconfirmed && err != nil && i < maxReadBacks; i++ {
		t.sleep(ctx, readBackInterval)
		head, err = Read(ctx, t.Store)
	}
	if err != nil && t.unconfirmed {
		return Head{}, fmt.Errorf("push: %w: %v", ErrOutcomeUnknown, err)
	}
	if err != nil {
		return Head{}, fmt.Errorf("push: %w", err)
	}
	if _, landed := head.generationOf(t.id); !landed && t.unconfirmed && head.version != t.unconfirmedBase.version {
		// The condition of the unconfirmed write was the older version: it can't land any
		// more. Whether it landed before is known only for the pushes that the head still lists.
		if !head.recordsSince(t.unconfirmedBase.Generation) {
			return Head{}, fmt.Errorf("push: %w: too many pushes landed since", ErrOutcomeUnknown)
		}
		t.unconfirmed = false
	}
	return head, nil
}

// try attempts the push on top of one head. ErrRaced means that the caller is to read the
// head and try again.
func (t *attempt) try(ctx context.Context, head Head) (Result, error) {
	// Look for the push's ID first, in every head that is read: a write whose reply was
	// lost is listed there, also below later pushes. Treating such a write as failed would
	// land it twice, or report a conflict of the push with itself.
	if g, ok := head.generationOf(t.id); ok {
		return Result{Generation: g, Head: head, Repeated: !t.unconfirmed}, nil
	}
	files, err := t.merge(head)
	if err != nil {
		return Result{}, err
	}
	rebased := head.Generation != t.change.Base.Generation && head.Generation != 0
	if maps.Equal(files, head.Files) {
		return Result{Generation: head.Generation, Head: head, Rebased: rebased, Repeated: true}, nil
	}
	next, err := head.next(files, t.id, t.unixSeconds())
	if err != nil {
		return Result{}, fmt.Errorf("push: %w", err)
	}
	next.version, err = t.Store.Put(ctx, Key, next.packed, storer.Condition{Match: head.version, Absent: head.version == 0})
	switch {
	case err == nil:
		return Result{Generation: next.Generation, Head: next, Rebased: rebased}, nil
	case errors.Is(err, storer.ErrConflict):
		return Result{}, ErrRaced
	case errors.Is(err, storer.ErrUnknown):
		// Read the head back. If it did not change, the same write is sent again with the
		// same condition, so that at most one of the two can land.
		t.unconfirmed, t.unconfirmedBase = true, head
		return Result{}, ErrRaced
	case t.unconfirmed:
		return Result{}, fmt.Errorf("push: %w: %v", ErrOutcomeUnknown, err)
	default:
		return Result{}, fmt.Errorf("push: nothing landed: %w: %v", ErrUnreadable, err)
	}
}

// merge returns the files that the push would put in force on top of head.
func (t *attempt) merge(head Head) (loader.Files, error) {
	switch {
	case head.Generation == 0:
		return t.change.Files, nil
	case head.Generation < t.change.Base.Generation && t.change.Restore:
		return t.change.Files, nil
	case head.Generation < t.change.Base.Generation:
		return nil, fmt.Errorf("push: %w: its generation is %d, the folder's %d", ErrRestored, head.Generation, t.change.Base.Generation)
	}
	files, err := rebase(t.change.Base, t.change.Files, head)
	if err != nil {
		return nil, fmt.Errorf("push: %w", err)
	}
	if _, err := files.Parse(); err != nil {
		return nil, fmt.Errorf("push: %w: generation %d: %w", ErrInvalidMerge, head.Generation, err)
	}
	return files, nil
}

// unixSeconds returns the Unix time in seconds, the lowest generation of a new push.
func (t *attempt) unixSeconds() uint64 { return uint64(max(0, t.now().Unix())) }
