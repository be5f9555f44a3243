package registrar

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// observersPerHost is how many hosts hear each host's heartbeats: two must
// agree that one is dead, and one of the three may die with it.
const observersPerHost = 3

// ring says who observes whom: the next hosts after each one, on a ring of its
// region where that is large enough, else of all hosts. So a host sends and
// gets a constant number of heartbeats in a fleet of any size, and regions that
// lose each other suspect nobody.
type ring struct {
	observers map[string][]string // by host
	observed  map[string][]string // by observer
}

func newRing(hosts []Record) ring {
	r := ring{observers: map[string][]string{}, observed: map[string][]string{}}
	regions := map[string][]Record{}
	for _, h := range hosts {
		regions[h.Region] = append(regions[h.Region], h)
	}
	all := interleave(hosts)
	for _, members := range regions {
		order := all
		if len(members) > observersPerHost {
			order = interleave(members)
		}
		for _, h := range members {
			r.place(h.Name, order)
		}
	}
	return r
}

func (r ring) place(host string, order []string) {
	at := slices.Index(order, host)
	for i := 1; i <= min(observersPerHost, len(order)-1); i++ {
		o := order[(at+i)%len(order)]
		r.observers[host] = append(r.observers[host], o)
		r.observed[o] = append(r.observed[o], host)
	}
}

// interleave orders hosts so that neighbours are of different zones where zones
// are of near equal size: a zone that fails must not take a host's observers
// with it.
func interleave(hosts []Record) []string {
	type place struct {
		name string
		zone string
		hash uint64
		at   float64
	}
	zones := map[string][]*place{}
	var places []*place
	for _, h := range hosts {
		p := &place{name: h.Name, zone: h.Zone, hash: xxhash.Sum64String(h.Name)}
		places = append(places, p)
		zones[h.Zone] = append(zones[h.Zone], p)
	}
	for _, z := range zones {
		slices.SortFunc(z, func(a, b *place) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name)) })
		for i, p := range z {
			p.at = (float64(i) + 0.5) / float64(len(z))
		}
	}
	slices.SortFunc(places, func(a, b *place) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.zone, b.zone), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(places))
	for i, p := range places {
		names[i] = p.name
	}
	return names
}
