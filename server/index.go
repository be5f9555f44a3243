package server

import (
	"crypto/sha256"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/cicadawood/cicadawood/loader"
)

// index is what each request looks up, made once for each configuration.
type index struct {
	folder *loader.Folder
	keys   map[[sha256.Size]byte]string // organisation by the hash of an API key
	models map[string]target
	lowest int // the least urgent tier
}

// target is where a model is served.
type target struct {
	service string
	route   loader.Route
}

func newIndex(f *loader.Folder) *index {
	x := &index{folder: f, keys: f.Holders(), models: map[string]target{}}
	for _, name := range slices.Sorted(maps.Keys(f.Services)) {
		x.addModels(name, f.Services[name])
	}
	for _, c := range f.Classes {
		x.lowest = max(x.lowest, c.Tier)
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

// organisation finds the organisation by the request's API key. What is
// compared is a hash that the caller can't steer, so that the time it takes
// tells nothing of the keys.
func (x *index) organisation(r *http.Request) (string, bool) {
	k, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || k == "" {
		return "", false
	}
	name, ok := x.keys[sha256.Sum256([]byte(k))]
	return name, ok
}

// look is the index of the configuration in force, nil before the first.
func (s *Server) look() *index {
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
