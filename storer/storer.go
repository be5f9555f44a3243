// Package storer defines the interface to the platform's object store; package platform
// implements it.
//
// All persistent state of the system is accessed through Store. Values are opaque bytes of
// at most MaxValueBytes; versions grow with every write to any object.
package storer

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the size of the largest value that the platform accepts.
const MaxValueBytes = 1 << 20

// Errors of a Store. Implementations return them wrapped.
var (
	// ErrNotFound reports that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict reports that a condition did not hold; nothing was written.
	ErrConflict = errors.New("condition failed")
	// ErrUnavailable reports that the call failed and certainly had no effect.
	ErrUnavailable = errors.New("object api unavailable")
	// ErrThrottled reports, beside ErrUnavailable, that the store is up but accepts no more calls for
	// now.
	ErrThrottled = errors.New("too many calls")
	// ErrUnreadable reports that the store answered, and the object can't be decoded. The object that
	// comes with it has no value, and its version as far as that could be decoded.
	ErrUnreadable = errors.New("object can't be decoded")
	// ErrUnknown reports that the reply to a write was lost: the write may have taken
	// effect. Callers must read the object back to find out.
	ErrUnknown = errors.New("write outcome unknown")
)

// Object is a stored value with its key and version.
type Object struct {
	Key     string
	Value   []byte
	Version Version
	// Deleted marks the deletion of the object; it is set by Watch only.
	Deleted bool
}

// Condition is the precondition of a write. The zero value writes unconditionally.
type Condition struct {
	// Match is the version that the object must have; 0 means any.
	Match Version
	// Absent requires that the object does not exist.
	Absent bool
}

// Store is the platform's Object API.
type Store interface {
	// Get reads one object. With ErrUnreadable it returns the object without a value.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes one object and returns its new version.
	Put(ctx context.Context, key string, value []byte, c Condition) (Version, error)
	// Delete removes one object.
	Delete(ctx context.Context, key string, c Condition) error
	// List reads all objects with a key prefix, and returns the revision of the list.
	List(ctx context.Context, prefix string) ([]Object, Version, error)
	// Watch waits at most wait for changes below prefix after a revision, and returns them
	// in order with the revision to continue from. It returns ErrConflict for a revision
	// that the platform has discarded, or one of an earlier era: the caller must list again.
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Object, Version, error)
}
