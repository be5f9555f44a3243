package server

import (
	"crypto/sha256"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/cicadawood/cicadawood/loader"
)

// index holds the lookup tables for requests, built once per configuration.
type index struct {
	folder     *loader.Folder
	keys       map[[sha256.Size]byte]string // organisation by the hash of an API key
	models     map[string]target
	lowestTier int // tier of the least urgent class
}

// target is the service and route of a model.
type target struct {
	service string
	route   loader.Route
}

func newIndex(f *loader.Folder) *index {
	x := &index{folder: f, keys: f.OrganisationsByKeyHash(), models: map[string]target{}}
	for _, name := range slices.Sorted(maps.Keys(f.Services)) {
		x.addModels(name, f.Services[name])
	}
	for _, c := range f.Classes {
		x.lowestTier = max(x.lowestTier, c.Tier)
	}
	return x
}

func (x *index) addModels(name string, s loader.Service) {
	if s.Kind != loader.KindEngine {
		return
	}
	for _, m := range s.Models {
		i := slices.IndexFunc(s.Routes, func(r loader.Route) bool { return r.Model == "" || r.Model == m })
		if _, taken := x.models[m]; i >= 0 && !taken {
			x.models[m] = target{service: name, route: s.Routes[i]}
		}
	}
}

// organisation returns the organisation of the request's API key. The lookup compares
// hashes, which the caller can't choose, so its timing reveals nothing about the keys.
func (x *index) organisation(r *http.Request) (string, bool) {
	k, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || k == "" {
		return "", false
	}
	name, ok := x.keys[sha256.Sum256([]byte(k))]
	return name, ok
}

// currentIndex returns the index of the configuration in force, or nil before the first
// is loaded.
func (s *Server) currentIndex() *index {
	f, _ := s.config.Folder()
	if f == nil {
		return nil
	}
	if x := s.index.Load(); x != nil && x.folder == f {
		return x
	}
	x := newIndex(f)
	s.index.Store(x)
	return x
}
