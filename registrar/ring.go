package registrar

import (
	"cmp"
	"slices"
)

const (
	// observersPerHost is how many hosts hear each host's heartbeats: two must
	// agree that one is dead, and one of the three may die with it.
	observersPerHost = 3
	// fanout is how many hosts, besides its observers, each host passes news on to.
	fanout = 2
)

// ring says who observes whom: the next hosts after each one, on a ring of its
// region where that is large enough, else of all hosts. So a host sends and
// gets a constant number of heartbeats in a fleet of any size, and regions that
// lose each other suspect nobody. It knows of one host, of those that this one
// observes, and whom else it passes news on to.
type ring struct {
	self       string
	observers  map[string][]string // by host
	observed   []string            // by this one
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

// setObservers takes the observers of this host, and of those that it observes itself, of the
// hosts of a region in an order.
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

// successors is the n hosts that come after one.
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

// neighboursOf is the hosts that have the highest rendezvous weights for one: who comes
// or goes changes few of them, so that connections are kept.
func neighboursOf(hosts []*member, self *member) []string {
	return namesOf(heaviest(hosts, fanout, func(h *member) (uint64, bool) { return mix(self.nameHash ^ mix(h.nameHash)), h != self }))
}

// heaviest is up to n of a list, those with the heaviest weights first; false leaves one out.
func heaviest[T any](list []T, n int, weight func(T) (uint64, bool)) []T {
	var out []T
	var weights []uint64
	for _, x := range list {
		w, ok := weight(x)
		if n == 0 || !ok || len(out) == n && w <= weights[n-1] {
			continue
		}
		at, _ := slices.BinarySearchFunc(weights, w, func(a, b uint64) int { return cmp.Compare(b, a) })
		out, weights = slices.Insert(out, at, x), slices.Insert(weights, at, w)
		out, weights = out[:min(n, len(out))], weights[:min(n, len(weights))]
	}
	return out
}

// interleave orders hosts so that neighbours are of different zones where zones
// are of near equal size: a zone that fails must not take a host's observers
// with it.
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
