// Package registrar maintains the roster: which hosts are alive, and which of them
// owns a role. Ownership follows from the roster by rendezvous hashing, so there
// are no dedicated hosts and no elections.
//
// Members makes the decisions and does no I/O; Registrar connects it to the Object
// API and to the messenger.
package registrar

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Record describes one host to the others.
type Record struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Control     string `json:"control"`
	Admin       string `json:"admin"`
	Incarnation uint64 `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	// Weight is the host's processor capacity in hundredths of a core; 0 if unknown.
	Weight int `json:"weight,omitempty"`
	// Unreachable is set if the host is alive but can't be reached from this host. It is
	// a local view and is never sent to other hosts or stored.
	Unreachable bool `json:"parted,omitempty"`
}

// Roster is an immutable set of the hosts known to be alive, sorted by name.
type Roster struct {
	hosts  []Record
	hashes []uint64 // hashes of the names, in the order of hosts
}

// NewRoster returns the roster of the given hosts.
func NewRoster(hosts ...Record) Roster {
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b Record) int { return strings.Compare(a.Name, b.Name) })
	r := Roster{hosts: hosts, hashes: make([]uint64, len(hosts))}
	for i, h := range hosts {
		r.hashes[i] = xxhash.Sum64String(h.Name)
	}
	return r
}

// Hosts returns all hosts of the roster, sorted by name.
func (r Roster) Hosts() []Record { return slices.Clone(r.hosts) }

// Len returns the number of hosts.
func (r Roster) Len() int { return len(r.hosts) }

// Find returns the record of the named host.
func (r Roster) Find(name string) (Record, bool) {
	i, ok := slices.BinarySearchFunc(r.hosts, name, func(h Record, n string) int { return strings.Compare(h.Name, n) })
	if !ok {
		return Record{}, false
	}
	return r.hosts[i], true
}

// Owner returns the owner of a role: the host with the highest rendezvous weight among
// those that are neither leaving nor unreachable from this host.
func (r Roster) Owner(role string) (Record, bool) {
	best, weight := -1, uint64(0)
	hash := xxhash.Sum64String(role)
	for i := range r.hosts {
		if r.hosts[i].Leaving || r.hosts[i].Unreachable {
			continue
		}
		if w := mix(hash ^ r.hashes[i]); best < 0 || w > weight {
			best, weight = i, w
		}
	}
	if best < 0 {
		return Record{}, false
	}
	return r.hosts[best], true
}

// Owners returns up to n owners of a role in order of precedence: if the first fails, the
// second takes over, and so on. Hosts with at least half the processor capacity of the
// largest one come first, because a role for the whole fleet would overload the smallest.
func (r Roster) Owners(role string, n int) []Record {
	hash := xxhash.Sum64String(role)
	maxWeight := 0
	eligible := make([]int, 0, len(r.hosts))
	for i := range r.hosts {
		if h := &r.hosts[i]; !h.Leaving && !h.Unreachable {
			eligible = append(eligible, i)
			maxWeight = max(maxWeight, h.Weight)
		}
	}
	pick := func(n int, large bool) []int {
		return heaviest(eligible, n, func(i int) (uint64, bool) {
			return mix(hash ^ r.hashes[i]), (2*r.hosts[i].Weight >= maxWeight) == large
		})
	}
	owners := pick(n, true)
	owners = append(owners, pick(n-len(owners), false)...)
	var out []Record
	for _, i := range owners {
		out = append(out, r.hosts[i])
	}
	return out
}

// mix is the finaliser of splitmix64; it spreads the bits of x evenly. Applied to the
// XOR of two hashes it yields an independent weight for each pair of role and host, at a
// fraction of the cost of hashing the pair.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
