package loader

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Kinds of service.
const (
	KindEngine = "engine" // speaks the OpenAI interface
	KindPlain  = "plain"  // any HTTP service
)

// Class is one service class.
type Class struct {
	Tier  int      `json:"tier"`  // 0 is the most urgent
	First Duration `json:"first"` // target for the first byte of the answer
	Whole Duration `json:"whole"` // target for the whole answer, and the default deadline
	Share float64  `json:"share"` // guaranteed part of worker time while waiting, 0 to 1
}

// Organisation is one customer of the system.
type Organisation struct {
	Keys     []string `json:"keys"`     // sha256:HEX of each API key
	Requests float64  `json:"requests"` // a second, over all hosts; 0 is no limit
	Tokens   float64  `json:"tokens"`   // a second, over all hosts; 0 is no limit
	Classes  []string `json:"classes"`  // allowed
}

// Route gives the requests it matches a class. The first that matches counts.
type Route struct {
	Model  string `json:"model"`  // engines: the model's name
	Method string `json:"method"` // plain services: "" is any
	Path   string `json:"path"`   // plain services: a prefix
	Class  string `json:"class"`
	Once   bool   `json:"once"` // must not be repeated
}

// Worker is one backend server of a service.
type Worker struct {
	Name    string `json:"name"`
	Address string `json:"address"` // IP:port
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"` // requests at once
}

// Service is one backend service.
type Service struct {
	Kind    string   `json:"kind"`
	Models  []string `json:"models"`
	Routes  []Route  `json:"routes"`
	Workers []Worker `json:"workers"`
	Hosts   bool     `json:"hosts"` // take workers from the platform's host list too
	Cell    int      `json:"cell"`  // most workers under one dispatcher; 0 is all
	Fencing bool     `json:"fencing"`
	Resume  bool     `json:"resume"` // engines: a stream that broke can be resumed
}

// Folder is the merged configuration. A parsed Folder is never changed.
type Folder struct {
	Classes       map[string]Class        `json:"classes"`
	Organisations map[string]Organisation `json:"organisations"`
	Services      map[string]Service      `json:"services"`
}

// Files is a folder's raw text by file name: what is pushed and pulled.
type Files map[string]string

// ReadFiles reads the *.json and *.jsonc files of a directory.
func ReadFiles(dir string) (Files, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("read folder: %w", err)
	}
	files := Files{}
	for _, e := range entries {
		ext := filepath.Ext(e.Name())
		if e.IsDir() || strings.HasPrefix(e.Name(), ".") || (ext != ".json" && ext != ".jsonc") {
			continue
		}
		text, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, fmt.Errorf("read folder: %w", err)
		}
		files[e.Name()] = string(text)
	}
	return files, nil
}

// Parse merges the files in name order and checks the whole. The error joins
// every Problem found.
func (f Files) Parse() (*Folder, error) {
	m := merger{
		folder: &Folder{Classes: map[string]Class{}, Organisations: map[string]Organisation{}, Services: map[string]Service{}},
		home:   map[string]*document{},
		keys:   map[string]string{},
	}
	for _, name := range slices.Sorted(maps.Keys(f)) {
		m.file(name, []byte(f[name]))
	}
	m.check()
	if len(m.problems) > 0 {
		return nil, errors.Join(m.problems...)
	}
	return m.folder, nil
}

// merger collects files, and where each name was defined.
type merger struct {
	folder   *Folder
	home     map[string]*document // by section/name
	keys     map[string]string    // organisation by key
	problems []error
}

func (m *merger) file(name string, text []byte) {
	d, err := newDocument(name, text)
	if err != nil {
		m.problems = append(m.problems, err)
		return
	}
	var part Folder
	if err := d.decode(&part); err != nil {
		m.problems = append(m.problems, err)
		return
	}
	merge(m, d, "classes", m.folder.Classes, part.Classes)
	merge(m, d, "organisations", m.folder.Organisations, part.Organisations)
	merge(m, d, "services", m.folder.Services, part.Services)
}

func merge[T any](m *merger, d *document, section string, into, part map[string]T) {
	for _, name := range slices.Sorted(maps.Keys(part)) {
		key := section + "/" + name
		if other := m.home[key]; other != nil {
			reason := fmt.Sprintf("defined already at %s:%d", other.file, other.at(section, name))
			m.problems = append(m.problems, Problem{File: d.file, Line: d.at(section, name), Field: key, Reason: reason})
			continue
		}
		m.home[key] = d
		into[name] = part[name]
	}
}

func (m *merger) fault(path []string, reason string) {
	d := m.home[path[0]+"/"+path[1]]
	m.problems = append(m.problems, Problem{File: d.file, Line: d.at(path...), Field: strings.Join(path, "/"), Reason: reason})
}

func (m *merger) check() {
	for _, name := range slices.Sorted(maps.Keys(m.folder.Classes)) {
		m.class(name, m.folder.Classes[name])
	}
	for _, name := range slices.Sorted(maps.Keys(m.folder.Organisations)) {
		m.organisation(name, m.folder.Organisations[name])
	}
	for _, name := range slices.Sorted(maps.Keys(m.folder.Services)) {
		m.service(name, m.folder.Services[name])
	}
}

func (m *merger) class(name string, c Class) {
	at := func(f string) []string { return []string{"classes", name, f} }
	if c.Tier < 0 {
		m.fault(at("tier"), "must not be negative")
	}
	if c.Whole <= 0 {
		m.fault(at("whole"), "must be a positive duration")
	}
	if c.Share < 0 || c.Share >= 1 {
		m.fault(at("share"), "must be at least 0 and under 1")
	}
}

func (m *merger) organisation(name string, o Organisation) {
	at := func(f ...string) []string { return append([]string{"organisations", name}, f...) }
	for i, k := range o.Keys {
		hash, ok := strings.CutPrefix(k, "sha256:")
		if raw, err := hex.DecodeString(hash); !ok || err != nil || len(raw) != sha256.Size {
			m.fault(at("keys", fmt.Sprint(i)), "is not sha256: and 64 hex digits")
		}
		if other, taken := m.keys[k]; taken {
			m.fault(at("keys", fmt.Sprint(i)), "is a key of organisation "+other+" already")
		}
		m.keys[k] = name
	}
	if o.Requests < 0 || o.Tokens < 0 {
		m.fault(at("requests"), "limits must not be negative")
	}
	for i, c := range o.Classes {
		if _, ok := m.folder.Classes[c]; !ok {
			m.fault(at("classes", fmt.Sprint(i)), fmt.Sprintf("no class %q", c))
		}
	}
}

func (m *merger) service(name string, s Service) {
	at := func(f ...string) []string { return append([]string{"services", name}, f...) }
	if s.Kind != KindEngine && s.Kind != KindPlain {
		m.fault(at("kind"), fmt.Sprintf("is %q, not engine or plain", s.Kind))
	}
	if len(s.Workers) == 0 && !s.Hosts {
		m.fault(at("workers"), "none given, and hosts is not set")
	}
	for i, r := range s.Routes {
		if _, ok := m.folder.Classes[r.Class]; !ok {
			m.fault(at("routes", fmt.Sprint(i), "class"), fmt.Sprintf("no class %q", r.Class))
		}
		if r.Model != "" && !slices.Contains(s.Models, r.Model) {
			m.fault(at("routes", fmt.Sprint(i), "model"), fmt.Sprintf("no model %q in this service", r.Model))
		}
	}
	seen := map[string]bool{}
	for i, w := range s.Workers {
		if w.Name == "" || seen[w.Name] {
			m.fault(at("workers", fmt.Sprint(i)), fmt.Sprintf("name %q is empty or given twice", w.Name))
		}
		seen[w.Name] = true
		if w.Slots <= 0 {
			m.fault(at("workers", fmt.Sprint(i)), "slots must be positive")
		}
	}
}

// HashKey is the form in which an API key stands in the settings.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}
