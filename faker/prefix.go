package faker

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	prefixBytes = 256 // bytes of a prompt that identify its prefix
	maxPrefixes = 64  // prefixes in the cache
)

// prefixCache is a cache of prompt prefixes of limited size that evicts the least recently
// used one. The zero value is empty.
type prefixCache struct{ recent []uint64 }

// lookup returns whether the prompt's prefix is cached, and caches it.
func (p *prefixCache) lookup(prompt []byte) bool {
	key := xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
	i := slices.Index(p.recent, key)
	if i >= 0 {
		p.recent = slices.Delete(p.recent, i, i+1)
	}
	p.recent = append(p.recent, key)
	if len(p.recent) > maxPrefixes {
		p.recent = p.recent[1:]
	}
	return i >= 0
}
