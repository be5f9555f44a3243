package registrar

import (
	"cmp"
	"slices"
)

const (
	// observersPerHost is the number of hosts that receive each host's heartbeats: two
	// must agree that it is dead, and one of the three may fail together with it.
	observersPerHost = 3
	// fanout is the number of hosts, besides its observers, to which each host sends
	// roster updates.
	fanout = 2
)

// ring assigns observers to hosts: the hosts that follow each one on a ring of its region
// if the region is large enough, else on a ring of all hosts. So the number of heartbeats
// that a host sends and receives doesn't depend on the size of the fleet, and regions that
// lose their connections to each other don't suspect each other's hosts. The ring holds
// only what concerns this host: its own observers, the hosts that it observes with their
// observers, and its neighbours for roster updates.
type ring struct {
	self       string
	observers  map[string][]string // by host
	observed   []string            // hosts that this host observes
	neighbours []string
}

func newRing(hosts []*member, self *member) ring {
	r := ring{self: self.fact.Name, observers: map[string][]string{}, neighbours: neighboursOf(hosts, self)}
	regions := map[string][]*member{}
	for _, h := range hosts {
		regions[h.fact.Region] = append(regions[h.fact.Region], h)
	}
	var all []*member
	for region, members := range regions {
		order := members
		if len(members) <= observersPerHost && all == nil {
			all = interleave(hosts)
		}
		if len(members) <= observersPerHost {
			order = all
		} else if region == self.fact.Region {
			order = interleave(members)
		}
		r.setObservers(region, order, self)
	}
	return r
}

// setObservers records, from the order of a ring, the observers of this host and of the
// hosts that it observes, as far as they are in the given region.
func (r *ring) setObservers(region string, order []*member, self *member) {
	at := slices.Index(order, self)
	if at < 0 {
		return
	}
	n := min(observersPerHost, len(order)-1)
	for i := -n; i <= 0; i++ {
		h := order[(at+i+len(order))%len(order)]
		if h.fact.Region != region {
			continue
		}
		r.observers[h.fact.Name] = namesOf(successors(order, at+i+len(order), n))
		if i < 0 {
			r.observed = append(r.observed, h.fact.Name)
		}
	}
}

// successors returns the n hosts that follow position at on the ring.
func successors(order []*member, at, n int) []*member {
	var out []*member
	for i := 1; i <= n; i++ {
		out = append(out, order[(at+i)%len(order)])
	}
	return out
}

func namesOf(hosts []*member) []string {
	var out []string
	for _, h := range hosts {
		out = append(out, h.fact.Name)
	}
	return out
}

// neighboursOf returns the hosts with the highest rendezvous weights for self. A host that
// joins or leaves changes few of them, so most connections are kept.
func neighboursOf(hosts []*member, self *member) []string {
	return namesOf(heaviest(hosts, fanout, func(h *member) (uint64, bool) { return mix(self.nameHash ^ mix(h.nameHash)), h != self }))
}

// heaviest returns up to n elements of list in descending order of weight, without those
// for which weightOf returns false.
func heaviest[T any](list []T, n int, weightOf func(T) (uint64, bool)) []T {
	var out []T
	var weights []uint64
	for _, x := range list {
		w, ok := weightOf(x)
		if n == 0 || !ok || len(out) == n && w <= weights[n-1] {
			continue
		}
		at, _ := slices.BinarySearchFunc(weights, w, func(a, b uint64) int { return cmp.Compare(b, a) })
		out, weights = slices.Insert(out, at, x), slices.Insert(weights, at, w)
		out, weights = out[:min(n, len(out))], weights[:min(n, len(weights))]
	}
	return out
}

// interleave orders hosts so that neighbours on the ring are in different zones if the
// zones are of about equal size: the failure of a zone must not take a host and its
// observers down together.
func interleave(hosts []*member) []*member {
	type place struct {
		host *member
		at   float64
	}
	zones := map[string][]*member{}
	for _, h := range hosts {
		zones[h.fact.Zone] = append(zones[h.fact.Zone], h)
	}
	places := make([]place, 0, len(hosts))
	for _, z := range zones {
		slices.SortFunc(z, func(a, b *member) int {
			return cmp.Or(cmp.Compare(a.nameHash, b.nameHash), cmp.Compare(a.fact.Name, b.fact.Name))
		})
		for i, h := range z {
			places = append(places, place{h, (float64(i) + 0.5) / float64(len(z))})
		}
	}
	slices.SortFunc(places, func(a, b place) int {
		if a.at != b.at {
			return cmp.Compare(a.at, b.at)
		}
		return cmp.Or(cmp.Compare(a.host.fact.Zone, b.host.fact.Zone), cmp.Compare(a.host.fact.Name, b.host.fact.Name))
	})
	order := make([]*member, len(places))
	for i, p := range places {
		order[i] = p.host
	}
	return order
}
