package attributor

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// partBits is the length of a PartID in bits. Among a million parts two have the same one
	// with a chance of 1 in 1,000,000 for each.
	partBits = 40
	partMask = 1<<partBits - 1
)

// PartID identifies a part of prompts by the caller's name for it, wherever it stands in a prompt
// and whatever the model. It has 40 bits.
type PartID uint64

// String returns the ID in hexadecimal, as it is logged.
func (p PartID) String() string {
	return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, uint64(p))[3:])
}

// ParseID parses an ID as String returns it.
func ParseID(text string) (PartID, error) {
	const digits = partBits / 4
	n, err := strconv.ParseUint(text, 16, partBits)
	if err != nil || len(text) != digits {
		return 0, fmt.Errorf("%q is not the ID of a part, of %d hexadecimal digits", text, digits)
	}
	return PartID(n), nil
}

// IDOf returns the ID of the part that callers name so.
func IDOf(name string) PartID { return PartID(xxhash.Sum64String(name) & partMask) }

// Keys returns a key for each part of a prompt that also covers all parts before it and the model,
// as engines cache a part for one model and by what precedes it. IDs recovers the parts' own IDs
// from the keys, so that they need no room of their own in messages.
func Keys(model string, names []string) []uint64 {
	keys := make([]uint64, 0, len(names))
	before := xxhash.Sum64String(model) &^ partMask
	for _, name := range names {
		key := before ^ xxhash.Sum64String(name)
		keys = append(keys, key)
		before = scramble(key)
	}
	return keys
}

// IDs returns the IDs of a prompt's parts, given their keys.
func IDs(keys []uint64) []PartID {
	ids := make([]PartID, 0, len(keys))
	before := uint64(0) // the model is not in the low bits
	for _, key := range keys {
		ids = append(ids, PartID((key^before)&partMask))
		before = scramble(key)
	}
	return ids
}

// scramble returns what the key of the next part is combined with.
func scramble(key uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, key))
}

// Join returns IDs as they are logged, separated by commas.
func Join(ids []PartID) string {
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, id.String())
	}
	return strings.Join(names, ",")
}
