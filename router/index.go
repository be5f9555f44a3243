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
	return x
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
