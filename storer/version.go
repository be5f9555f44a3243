package storer

import "fmt"

const (
	// revisionBits is the number of bits of a Version that hold the revision. At 1000
	// changes per second they last for 500 years.
	revisionBits = 44
	// MaxRevision is the largest revision that a Version can hold.
	MaxRevision = 1<<revisionBits - 1
	// MaxEra is the largest era that a Version can hold.
	MaxEra = 1<<(64-revisionBits) - 1
)

// Version identifies a change in the store, made of an era and a revision. A store that is
// restored from an older snapshot assigns revisions a second time; each restore begins a
// new era. Versions are therefore ordered by era, then by revision, and denote the same
// change only if both are equal. Later versions are larger. The zero Version means none, or
// before all others.
type Version uint64

// NewVersion returns the version of a revision in an era, limited to MaxRevision and MaxEra.
func NewVersion(era, revision uint64) Version {
	return Version(min(era, MaxEra)<<revisionBits | min(revision, MaxRevision))
}

// Era returns how often the store had been restored from an older snapshot; 0 if the store
// does not report it.
func (v Version) Era() uint64 { return uint64(v) >> revisionBits }

// Revision returns the store's number of the change, which is unique within an era.
func (v Version) Revision() uint64 { return uint64(v) & MaxRevision }

// String returns era and revision, such as 2/1207.
func (v Version) String() string { return fmt.Sprintf("%d/%d", v.Era(), v.Revision()) }
