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

	"github.com/cicadawood/cicadawood/measurer"
)

// ErrRecord is returned for a stored head or segment that can't be decoded.
var ErrRecord = errors.New("bad idempotency record")

// ID identifies an operation. It is a hash of its organisation, service and key.
type ID [16]byte

// NewID returns the ID of a key, scoped by organisation and service.
func NewID(organisation, service, key string) ID {
	return ID(Hash([]byte(organisation), []byte(service), []byte(key)))
}

// Hash returns the first 16 bytes of the SHA-256 of the parts, each prefixed by its length,
// so that lists of parts with the same concatenation have different hashes.
func Hash(parts ...[]byte) [16]byte {
	h := sha256.New()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%d:", len(p))
		_, _ = h.Write(p)
	}
	return [16]byte(h.Sum(nil)[:16])
}

// Partition returns the number, below count, of the partition that has the operation.
func (id ID) Partition(count int) int { return int(xxhash.Sum64(id[:]) % uint64(max(count, 1))) }

// String returns the ID in hex, for logs.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// State is the state of a recorded operation.
type State uint8

// States of a recorded operation.
const (
	Intended State = iota + 1 // may have run; never sent again
	Ran                       // ran; its answer is recorded if it is small enough
	Void                      // intended, but certainly did not run
)

// Answer is a backend server's complete answer.
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

// Record is the state of an operation in the log. A later record with the same ID replaces
// an earlier one. A Record is immutable.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	ID       ID
	Hash     [16]byte // hash of the call's method, path and body
	At       int64    // Unix milliseconds, by the keeper's clock; used for ordering and expiry only
	KeyTime  int64    // Unix milliseconds that the key itself carries; 0 if none
	State    State
	Answer   *Answer // nil if it is too large to keep
}

// recordOverheadBytes is the approximate size of a stored record without its answer.
const recordOverheadBytes = 64

func (e *Record) size() int { return recordOverheadBytes + e.Answer.size() }

// Stamp identifies one write of one keeper. No two writes share a stamp, so reading it back
// shows whether a write whose reply was lost took effect.
type Stamp struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Keeper      string
	Incarnation uint64
	Write       uint64
}

// Segment refers to an archived part of the log: an immutable object that is written before
// the head names it.
type Segment struct {
	_msgpack      struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Epoch         uint64
	Sequence      uint64
	NewestAt      int64 // latest At of its records
	NewestKeyTime int64 // latest KeyTime of its records
	Size          int   // approximate bytes
	Level         uint8 // number of merges that its records went through
}

// Head is the authoritative state of a partition: its current keeper, the tail of its log,
// and the segments before the tail. Every commit replaces it by a conditional write.
type Head struct {
	Epoch    uint64    `msgpack:"epoch"` // increases with every keeper
	Stamp    Stamp     `msgpack:"stamp"`
	Floor    int64     `msgpack:"floor"` // latest key date among expired records, in Unix milliseconds
	Segments []Segment `msgpack:"segments"`
	Tail     []*Record `msgpack:"tail"`
	// Era is one more than the store's era in which the head was written; 0 if its writer
	// did not record it.
	Era  uint64 `msgpack:"era"`
	Last int64  `msgpack:"last"` // latest At of all records in the log
	// LostUntil is the time, in Unix milliseconds, up to which keys may have run whose
	// records the log has lost; 0 if none.
	LostUntil int64 `msgpack:"lost"`
}

// Prefix is the prefix of the partitions' keys in the Object API.
const Prefix = "once/"

// HeadKey returns the key of a partition's head object.
func HeadKey(partition int) string { return Prefix + strconv.Itoa(partition) + "/head" }

// Key returns the key of a segment's object.
func (s Segment) Key(partition int) string {
	return fmt.Sprintf("%s%d/%d-%d", Prefix, partition, s.Epoch, s.Sequence)
}

// Encode returns the stored form of a head.
func (h Head) Encode() ([]byte, error) { return msgpack.Marshal(h) }

// DecodeHead decodes the stored form of a head.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := unmarshal(value, &h); err != nil {
		return Head{}, fmt.Errorf("%w: head: %v", ErrRecord, err)
	}
	return h, nil
}

// unmarshal decodes a msgpack text whose stated lengths are within it.
func unmarshal(text []byte, into any) error {
	if err := measurer.Check(text); err != nil {
		return err
	}
	return msgpack.Unmarshal(text, into)
}

// EncodeRecords returns the stored form of a segment.
func EncodeRecords(records []*Record) ([]byte, error) { return msgpack.Marshal(records) }

// DecodeRecords decodes the stored form of a segment.
func DecodeRecords(value []byte) ([]*Record, error) {
	var records []*Record
	if err := unmarshal(value, &records); err != nil {
		return nil, fmt.Errorf("%w: segment: %v", ErrRecord, err)
	}
	return records, nil
}

// KeyTimeOf returns the time, in Unix milliseconds, that a key carries if it is a UUID of
// version 7 (RFC 9562), and 0 for any other key.
func KeyTimeOf(key string) int64 {
	digits := strings.ReplaceAll(key, "-", "")
	if len(key) != 36 || len(digits) != 32 || digits[12] != '7' {
		return 0
	}
	ms, err := strconv.ParseInt(digits[:12], 16, 64)
	if err != nil {
		return 0
	}
	return ms
}
