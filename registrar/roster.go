// Package registrar keeps the roster: which hosts are there, and which of them
// owns a role. Ownership follows from the roster by rendezvous hashing, so no
// host is set aside and no vote is taken.
//
// Members decides, and is pure; Registrar joins it to the Object API and to the
// messenger.
package registrar

import (
	"encoding/binary"
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
	// Parted says that the host lives but can't be reached from here. It is this
	// host's own view and never leaves it.
	Parted bool `json:"parted,omitempty"`
}

// Roster is the hosts known to be alive, by name. It is never changed once made.
type Roster struct{ hosts []Record }

// NewRoster returns the roster of these hosts.
func NewRoster(hosts ...Record) Roster {
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b Record) int { return strings.Compare(a.Name, b.Name) })
	return Roster{hosts: hosts}
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
	var best Record
	var weight uint64
	for _, h := range r.hosts {
		if h.Leaving || h.Parted {
			continue
		}
		if w := xxhash.Sum64String(role + "\x00" + h.Name); best.Name == "" || w > weight {
			best, weight = h, w
		}
	}
	return best, best.Name != ""
}

// Digest is equal for two rosters of the same hosts, incarnations and leavings;
// which hosts are parted does not count.
func (r Roster) Digest() uint64 {
	d := xxhash.New()
	var number [9]byte
	for _, h := range r.hosts {
		binary.BigEndian.PutUint64(number[:], h.Incarnation)
		number[8] = 0
		if h.Leaving {
			number[8] = 1
		}
		_, _ = d.WriteString(h.Name)
		_, _ = d.Write(number[:])
	}
	return d.Sum64()
}
