// Package registrar keeps the roster: which hosts are there, and which of them
// owns a role. Ownership follows from the roster by rendezvous hashing, so no
// host is set aside and no vote is taken.
//
// Members decides, and is pure; Registrar joins it to the Object API and to the
// messenger.
package registrar

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Record is one host as the others see it.
type Record struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Control     string `json:"control"`
	Admin       string `json:"admin"`
	Incarnation uint64 `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	// Weight is the hundredths of a core that the host has; 0 where it does not say.
	Weight int `json:"weight,omitempty"`
	// Unreachable says that the host lives but can't be reached from here. It is this
	// host's own view and never leaves it.
	Unreachable bool `json:"parted,omitempty"`
}

// Roster is the hosts known to be alive, by name. It is never changed once made.
type Roster struct {
	hosts  []Record
	hashes []uint64 // of the names
}

// NewRoster returns the roster of these hosts.
func NewRoster(hosts ...Record) Roster {
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b Record) int { return strings.Compare(a.Name, b.Name) })
	r := Roster{hosts: hosts, hashes: make([]uint64, len(hosts))}
	for i, h := range hosts {
		r.hashes[i] = xxhash.Sum64String(h.Name)
	}
	return r
}

// Hosts is every host of the roster, in name order.
func (r Roster) Hosts() []Record { return slices.Clone(r.hosts) }

// Find is the record of a host.
func (r Roster) Find(name string) (Record, bool) {
	i, ok := slices.BinarySearchFunc(r.hosts, name, func(h Record, n string) int { return strings.Compare(h.Name, n) })
	if !ok {
		return Record{}, false
	}
	return r.hosts[i], true
}

// Owner is the host that owns a role: the highest rendezvous weight among the
// hosts that are not leaving and can be reached from here.
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

// Owners is up to n hosts that own a role in turn: should the first die, the second
// owns it, and so on. Hosts with half the most processor or more go first: a role for
// the whole fleet is no burden that the smallest should bear.
func (r Roster) Owners(role string, n int) []Record {
	hash := xxhash.Sum64String(role)
	most := 0
	at := make([]int, 0, len(r.hosts))
	for i := range r.hosts {
		if h := &r.hosts[i]; !h.Leaving && !h.Unreachable {
			at = append(at, i)
			most = max(most, h.Weight)
		}
	}
	pick := func(n int, large bool) []int {
		return heaviest(at, n, func(i int) (uint64, bool) {
			return mix(hash ^ r.hashes[i]), (2*r.hosts[i].Weight >= most) == large
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

// mix spreads the bits of x evenly (the finaliser of splitmix64). Two hashes
// joined so give each pair of role and host a weight of its own at a fraction of
// a hash's cost.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
