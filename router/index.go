package router

import (
	"cmp"
	"crypto/sha256"
	"net"
	"slices"
	"strings"

	"github.com/cicadawood/cicadawood/loader"
)

// index is what each request looks up, made once for each configuration.
type index struct {
	folder     *loader.Folder
	generation uint64
	hosts      map[string][]target          // the longest prefix first
	keys       map[[sha256.Size]byte]string // organisation by the hash of a key
	tiers      []int                        // that requests may have, ascending
	routeTiers []int                        // that routes have, ascending
}

// target is a route with its name.
type target struct {
	loader.HostRoute
	name string
}

func newIndex(f *loader.Folder, generation uint64) *index {
	x := &index{folder: f, generation: generation, hosts: map[string][]target{}, keys: f.Holders()}
	for name, r := range f.Routes {
		x.hosts[r.Host] = append(x.hosts[r.Host], target{HostRoute: r, name: name})
	}
	for _, list := range x.hosts {
		slices.SortFunc(list, func(a, b target) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.name, b.name))
		})
	}
	x.tiers, x.routeTiers = tiersOf(f)
	return x
}

// tiersOf is the tiers that requests may have, and those of routes alone.
func tiersOf(f *loader.Folder) (all, routes []int) {
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

// route is the route of a request for host, with or without a port, and path.
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

// organisation is the organisation that holds a key. What is compared is a hash
// that the caller can't steer, so that the time it takes tells nothing of the keys.
func (x *index) organisation(key string) (string, bool) {
	name, ok := x.keys[sha256.Sum256([]byte(key))]
	return name, ok
}

// tier is the urgency of a request: the organisation's, where it has one.
func (x *index) tier(t target, organisation string) int {
	if o := x.folder.Organisations[organisation]; o.Tier != nil {
		return *o.Tier
	}
	return t.Tier
}

// rank is the place of a request among all in the order of urgency: by its tier, and
// among those of one tier by the route's. Failure: an engine with more requests than
// slots takes the least urgent off its streams, and knows what is urgent from us
// alone. Told the tier only, it takes off whichever came last: a chat in mid-stream,
// while a long plan of an organisation of the same tier runs on.
func (x *index) rank(t target, organisation string) int {
	tier, _ := slices.BinarySearch(x.tiers, x.tier(t, organisation))
	route, _ := slices.BinarySearch(x.routeTiers, t.Tier)
	return tier*len(x.routeTiers) + route
}

// ranks is the number of ranks.
func (x *index) ranks() int { return len(x.tiers) * len(x.routeTiers) }

// service picks a route's service by the weights. share is from 0 to 1.
func (t target) service(share float64) string {
	sum := 0
	for _, s := range t.Services {
		sum += s.Weight
	}
	at := share * float64(sum)
	for _, s := range t.Services {
		if at -= float64(s.Weight); at < 0 {
			return s.Service
		}
	}
	return t.Services[len(t.Services)-1].Service
}
