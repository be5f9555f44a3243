package faker

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	prefixBytes   = 256 // of a prompt, that decide its prefix
	prefixEntries = 64  // prefixes kept
)

// prefixes is a prompt-prefix cache of limited memory: the least recently used
// goes first. The zero value is empty.
type prefixes struct{ recent []uint64 }

// hit says whether the prompt's prefix is cached, and caches it.
func (p *prefixes) hit(prompt []byte) bool {
	key := xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
	i := slices.Index(p.recent, key)
	if i >= 0 {
		p.recent = slices.Delete(p.recent, i, i+1)
	}
	p.recent = append(p.recent, key)
	if len(p.recent) > prefixEntries {
		p.recent = p.recent[1:]
	}
	return i >= 0
}
