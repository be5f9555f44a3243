package placer

import "github.com/cicadawood/cicadawood/attributor"

// Part is one part of a prompt. Its Key also covers all parts before it, as attributor.Keys
// returns it: a cached part is only of use to a request if those are cached too.
type Part struct {
	Key    uint64
	Tokens int
}

// PartIDs returns the IDs of the parts of a prompt.
func PartIDs(parts []Part) []attributor.PartID {
	keys := make([]uint64, 0, len(parts))
	for _, p := range parts {
		keys = append(keys, p.Key)
	}
	return attributor.IDs(keys)
}

// SharedParts returns the IDs of the parts of a prompt that other requests may have, too: all but
// the last, which is the request's own.
func SharedParts(parts []Part) []attributor.PartID {
	if len(parts) < 2 {
		return nil
	}
	return PartIDs(parts[:len(parts)-1])
}
