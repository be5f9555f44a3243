package router

import (
	"cmp"
	"crypto/sha256"
	"net"
	"slices"
	"strings"

	"github.com/cicadawood/cicadawood/loader"
)

// index holds the lookup tables for requests, built once per configuration.
type index struct {
	folder     *loader.Folder
	generation uint64
	hosts      map[string][]target          // by host name; longest prefix first
	keys       map[[sha256.Size]byte]string // organisation by the hash of an API key
	tiers      []int                        // all tiers that a request can have, ascending
	routeTiers []int                        // all tiers of routes, ascending
}

// target is a route with its name.
type target struct {
	loader.HostRoute
	name string
}

func newIndex(f *loader.Folder, generation uint64) *index {
	x := &index{folder: f, generation: generation, hosts: map[string][]target{}, keys: f.OrganisationsByKeyHash()}
	for name, r := range f.Routes {
		x.hosts[r.Host] = append(x.hosts[r.Host], target{HostRoute: r, name: name})
	}
	for _, list := range x.hosts {
		slices.SortFunc(list, func(a, b target) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.name, b.name))
		})
	}
	x.tiers, x.routeTiers = tiersIn(f)
	return x
}

// tiersIn returns the tiers that requests can have, and those of routes alone.
func tiersIn(f *loader.Folder) (all, routes []int) {
	for _, r := range f.Routes {
		routes = append(routes, r.Tier)
	}
	all = slices.Clone(routes)
	for _, o := range f.Organisations {
		if o.Tier != nil {
			all = append(all, *o.Tier)
		}
	}
	slices.Sort(all)
	slices.Sort(routes)
	return slices.Compact(all), slices.Compact(routes)
}

// route returns the route for a path and a host, with or without a port.
func (x *index) route(host, path string) (target, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	path, _, _ = strings.Cut(path, "?")
	for _, t := range x.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, t.Prefix) {
			return t, true
		}
	}
	return target{}, false
}

// organisation returns the organisation that owns an API key. The lookup compares
// hashes, which the caller can't choose, so its timing reveals nothing about the keys.
func (x *index) organisation(key string) (string, bool) {
	name, ok := x.keys[sha256.Sum256([]byte(key))]
	return name, ok
}

// tier returns the tier of a request: its organisation's, or the route's if the
// organisation has none.
func (x *index) tier(t target, organisation string) int {
	if o := x.folder.Organisations[organisation]; o.Tier != nil {
		return *o.Tier
	}
	return t.Tier
}

// rank returns the position of a request in the order of urgency: by tier, and within a
// tier by the route's tier. When an engine has more requests than slots, it suspends the
// least urgent streams, and it knows the urgency only from the router. Given only the
// tier, it would preempt the stream that arrived last: an interactive chat, while a long
// planning request of an organisation of the same tier continued.
func (x *index) rank(t target, organisation string) int {
	tier, _ := slices.BinarySearch(x.tiers, x.tier(t, organisation))
	route, _ := slices.BinarySearch(x.routeTiers, t.Tier)
	return tier*len(x.routeTiers) + route
}

// ranks returns the number of ranks.
func (x *index) ranks() int { return len(x.tiers) * len(x.routeTiers) }

// servicesFrom returns the services that the route leads to, first the given one.
func (t target) servicesFrom(first string) []string {
	out := []string{first}
	for _, s := range t.Services {
		if s.Weight > 0 && s.Service != first {
			out = append(out, s.Service)
		}
	}
	return out
}

// service picks one of the route's services by weight. share is in [0, 1).
func (t target) service(share float64) string {
	sum := 0
	for _, s := range t.Services {
		sum += s.Weight
	}
	position := share * float64(sum)
	for _, s := range t.Services {
		if position -= float64(s.Weight); position < 0 {
			return s.Service
		}
	}
	return t.Services[len(t.Services)-1].Service
}
