package keeper

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// ErrRecord says that a stored head or segment can't be read.
var ErrRecord = errors.New("bad idempotency record")

// ID names an operation: a hash of its organisation, service and key.
type ID [16]byte

// NewID is the ID of a key, scoped by organisation and service.
func NewID(organisation, service, key string) ID {
	return ID(Hash([]byte(organisation), []byte(service), []byte(key)))
}

// Hash is the first 16 bytes of the SHA-256 of the parts, each with its length,
// so that no two lists of parts share a hash by where they are cut.
func Hash(parts ...[]byte) [16]byte {
	h := sha256.New()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%d:", len(p))
		_, _ = h.Write(p)
	}
	return [16]byte(h.Sum(nil)[:16])
}

// Partition is the partition, of so many, that keeps an operation.
func (id ID) Partition(count int) int { return int(xxhash.Sum64(id[:]) % uint64(max(count, 1))) }

// String is the ID in hex, for logs.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// State is how far a recorded operation came.
type State uint8

// States of a recorded operation.
const (
	Intended State = iota + 1 // may have run; never sent again
	Ran                       // ran; its answer is kept where it is small enough
	Void                      // intended, and certainly not run
)

// Answer is a backend server's answer, whole.
type Answer struct {
	Status int                 `msgpack:"status"`
	Header map[string][]string `msgpack:"header"`
	Body   []byte              `msgpack:"body"`
}

func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for k, vs := range a.Header {
		for _, v := range vs {
			n += len(k) + len(v) + 4
		}
	}
	return n
}

// Entry is one record of an operation. A later entry of the same ID replaces an
// earlier one. An Entry is never changed once made.
type Entry struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	ID       ID
	Hash     [16]byte // of the call's method, path and body
	At       int64    // Unix milliseconds, by the keeper's clock; used to forget only
	Dated    int64    // Unix milliseconds that the key itself carries; 0 for none
	State    State
	Answer   *Answer // nil where it was too large to keep
}

const entryOverhead = 64

func (e *Entry) size() int { return entryOverhead + e.Answer.size() }

// Stamp names one write of one keeper. No two writes share a stamp, so reading
// it back tells whether a write whose reply was lost took effect.
type Stamp struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Keeper      string
	Incarnation uint64
	Write       uint64
}

// Segment names an archived part of the log: an object that is written before
// the head names it, and never changed.
type Segment struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Epoch    uint64
	Sequence uint64
	Newest   int64 // the latest At in it
	Dated    int64 // the latest Dated in it
	Size     int   // bytes, about
	Level    uint8 // how often its entries have been merged
}

// Head is a partition's one authority: who keeps it, the open end of its log,
// and the segments before that. Every commit replaces it by a conditional write.
type Head struct {
	Epoch    uint64    `msgpack:"epoch"` // grows with every keeper
	Stamp    Stamp     `msgpack:"stamp"`
	Floor    int64     `msgpack:"floor"` // keys dated up to here may have been forgotten
	Segments []Segment `msgpack:"segments"`
	Tail     []*Entry  `msgpack:"tail"`
	// Era is one more than the store's era in which the head was written; 0 where its
	// writer did not know it.
	Era  uint64 `msgpack:"era"`
	Last int64  `msgpack:"last"` // the latest At of all that is in the log
	// LostUntil is the time, in Unix milliseconds, up to which keys may have run of which the
	// log knows nothing; 0 for none.
	LostUntil int64 `msgpack:"lost"`
}

// Prefix is where partitions live in the Object API.
const Prefix = "once/"

// HeadKey is the key of a partition's head object.
func HeadKey(partition int) string { return Prefix + strconv.Itoa(partition) + "/head" }

// Key is the key of a segment's object.
func (s Segment) Key(partition int) string {
	return fmt.Sprintf("%s%d/%d-%d", Prefix, partition, s.Epoch, s.Sequence)
}

// Encode is the head's stored form.
func (h Head) Encode() ([]byte, error) { return msgpack.Marshal(h) }

// DecodeHead reads a head's stored form.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := msgpack.Unmarshal(value, &h); err != nil {
		return Head{}, fmt.Errorf("%w: head: %v", ErrRecord, err)
	}
	return h, nil
}

// EncodeEntries is a segment's stored form.
func EncodeEntries(entries []*Entry) ([]byte, error) { return msgpack.Marshal(entries) }

// DecodeEntries reads a segment's stored form.
func DecodeEntries(value []byte) ([]*Entry, error) {
	var entries []*Entry
	if err := msgpack.Unmarshal(value, &entries); err != nil {
		return nil, fmt.Errorf("%w: segment: %v", ErrRecord, err)
	}
	return entries, nil
}

// DateOf is the time, in Unix milliseconds, that a key in the form of a UUID of
// version 7 (RFC 9562) carries, and 0 for any other key.
func DateOf(key string) int64 {
	hexes := strings.ReplaceAll(key, "-", "")
	if len(key) != 36 || len(hexes) != 32 || hexes[12] != '7' {
		return 0
	}
	ms, err := strconv.ParseInt(hexes[:12], 16, 64)
	if err != nil {
		return 0
	}
	return ms
}
