// Package publisher accepts configurations and follows the one in force.
//
// The whole folder is one object in the Object API. A push is accepted by one
// conditional write of that object. Decisions are pure: rebase and Tracker take
// what was read, and the time, as arguments; Pusher and Follower do the I/O.
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
	// maxRaces is how often a push goes again after it lost a race.
	maxRaces = 16
	// maxReadings is how often a lost reply is tried to be settled by reading.
	maxReadings = 6
	// readPause is between two such readings.
	readPause = 300 * time.Millisecond
)

// Errors of a push.
var (
	// ErrRaced says that other pushes landed first, each time this one tried.
	ErrRaced = errors.New("other pushes landed first")
	// ErrOutcomeUnknown says that the push may have landed.
	ErrOutcomeUnknown = errors.New("the push may have landed; push again: the same push lands once")
	// ErrRestored says that the platform holds an older generation than the folder
	// was pulled at: it was restored from a backup.
	ErrRestored = errors.New("the platform is older than this folder")
	// ErrInvalidMerge says that the folder checks, but not together with the head.
	ErrInvalidMerge = errors.New("does not check together with the head")
)

// Change is what an operator wants in force.
type Change struct {
	Files loader.Files // the whole folder
	Base  Base         // what it was pulled at
	// Restore puts the folder in place of a head that is older than its base.
	Restore bool
}

// Result is a push that is in the head.
type Result struct {
	Generation uint64 // that the push landed as
	Head       Head   // the head that holds it, maybe with later pushes on top
	Rebased    bool   // the head had moved on from the base
	Repeated   bool   // the same push, or all it changes, was there already
}

// Pusher pushes changes to a store.
type Pusher struct {
	Store storer.Store
	// Now is the time, and Pause waits; both default to the system's clock.
	Now   func() time.Time
	Sleep func(context.Context, time.Duration)
}

func (p Pusher) now() time.Time {
	if p.Now == nil {
		return time.Now()
	}
	return p.Now()
}

func (p Pusher) pause(ctx context.Context, d time.Duration) {
	if p.Sleep == nil {
		pause(ctx, d)
		return
	}
	p.Sleep(ctx, d)
}

// Push brings c into the head: at once where the head is c's base, else rebased
// onto the head. Its error is a *ConflictError, one of this package's errors, or
// loader Problems.
func (p Pusher) Push(ctx context.Context, c Change) (Result, error) {
	if _, err := c.Files.Parse(); err != nil {
		return Result{}, err
	}
	nonce := c.Base.nonce(c.Files)
	t := attempt{Pusher: p, change: c, nonce: nonce}
	for range maxRaces {
		head, err := t.read(ctx)
		if err != nil {
			return Result{}, err
		}
		r, err := t.once(ctx, head)
		if !errors.Is(err, ErrRaced) {
			return r, err
		}
	}
	if t.doubt {
		return Result{}, fmt.Errorf("push: %w", ErrOutcomeUnknown)
	}
	return Result{}, fmt.Errorf("push: %w, %d times", ErrRaced, maxRaces)
}

// attempt is one push under way.
type attempt struct {
	Pusher
	change Change
	nonce  string
	// doubt says that a write's reply was lost, and doubtful is the head that it
	// was made on.
	doubt    bool
	doubtful Head
}

// read reads the head. While the outcome of a write is in doubt it insists, and
// a failure says so.
func (t *attempt) read(ctx context.Context) (Head, error) {
	head, err := Read(ctx, t.Store)
	for i := 1; t.doubt && err != nil && i < maxReadings; i++ {
		t.pause(ctx, readPause)
		head, err = Read(ctx, t.Store)
	}
	if err != nil && t.doubt {
		return Head{}, fmt.Errorf("push: %w: %v", ErrOutcomeUnknown, err)
	}
	if err != nil {
		return Head{}, fmt.Errorf("push: %w", err)
	}
	if _, landed := head.landedAs(t.nonce); !landed && t.doubt && head.version != t.doubtful.version {
		// The doubtful write had the older version as its condition: it can't land
		// any more. Whether it did shows only as far back as the head remembers.
		if !head.remembers(t.doubtful.Generation) {
			return Head{}, fmt.Errorf("push: %w: too many pushes landed since", ErrOutcomeUnknown)
		}
		t.doubt = false
	}
	return head, nil
}

// once tries on top of one head. ErrRaced asks for another try on a newer one.
func (t *attempt) once(ctx context.Context, head Head) (Result, error) {
	// The nonce is looked for first, in every head that is read: a write whose
	// reply was lost shows there, also under later pushes. To take such a write
	// for failed would land it twice or report a clash with itself.
	if g, ok := head.landedAs(t.nonce); ok {
		return Result{Generation: g, Head: head, Repeated: !t.doubt}, nil
	}
	files, err := t.merge(head)
	if err != nil {
		return Result{}, err
	}
	rebased := head.Generation != t.change.Base.Generation && head.Generation != 0
	if maps.Equal(files, head.Files) {
		return Result{Generation: head.Generation, Head: head, Rebased: rebased, Repeated: true}, nil
	}
	next, err := head.next(files, t.nonce, t.seconds())
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
		// Read back and see. Where the head did not move, the same write goes
		// again on the same condition: of the two at most one can land.
		t.doubt, t.doubtful = true, head
		return Result{}, ErrRaced
	case t.doubt:
		return Result{}, fmt.Errorf("push: %w: %v", ErrOutcomeUnknown, err)
	default:
		return Result{}, fmt.Errorf("push: nothing landed: %w: %v", ErrUnreadable, err)
	}
}

// merge is the whole that the push would put in force on top of head.
func (t *attempt) merge(head Head) (loader.Files, error) {
	switch {
	case head.Generation == 0:
		return t.change.Files, nil
	case head.Generation < t.change.Base.Generation && t.change.Restore:
		return t.change.Files, nil
	case head.Generation < t.change.Base.Generation:
		return nil, fmt.Errorf("push: %w: generation %d against %d", ErrRestored, head.Generation, t.change.Base.Generation)
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

// seconds is the time in seconds, the least generation of a push.
func (t *attempt) seconds() uint64 { return uint64(max(0, t.now().Unix())) }
