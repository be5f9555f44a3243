// Package storer is the port to the platform's store of objects; package platform has
// its adapter.
//
// Everything the system must keep lives behind the Store interface. Values are
// opaque bytes of at most MaxValueBytes; versions grow with every write to any object.
package storer

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the largest value, in bytes, that the platform takes.
const MaxValueBytes = 1 << 20

// Errors of a Store. Adapters return them wrapped.
var (
	// ErrNotFound says that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict says that a condition did not hold; nothing was written.
	ErrConflict = errors.New("condition failed")
	// ErrUnavailable says that the call certainly took no effect.
	ErrUnavailable = errors.New("object api unavailable")
	// ErrUnknown says that a write may have taken effect: its reply was lost.
	// Settle it by reading back, never by assuming.
	ErrUnknown = errors.New("write outcome unknown")
)

// Object is one stored value.
type Object struct {
	Key     string
	Value   []byte
	Version Version
	// Deleted marks the last event of an object that is gone; it is set by Watch only.
	Deleted bool
}

// Condition guards a write. The zero value writes whatever is there.
type Condition struct {
	// Match is the version that the object must have; 0 asks for none.
	Match Version
	// Absent demands that the object does not exist.
	Absent bool
}

// Store is the Object API.
type Store interface {
	// Get reads one object.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes one object and returns its new version.
	Put(ctx context.Context, key string, value []byte, c Condition) (Version, error)
	// Delete removes one object.
	Delete(ctx context.Context, key string, c Condition) error
	// List reads all objects below a prefix, and the revision the list stands at.
	List(ctx context.Context, prefix string) ([]Object, Version, error)
	// Watch waits at most wait for changes below prefix after a revision, and
	// returns them in order with the revision to go on from. A revision that the
	// platform no longer remembers, or one of an earlier era, is ErrConflict: list again.
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Object, Version, error)
}
