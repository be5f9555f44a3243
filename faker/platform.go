package faker

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxValue   = 1 << 20
	maxHistory = 4096
)

// Platform is a fake of the platform's Object API: versions, conditional
// updates, lists and watches, with faults on demand.
type Platform struct {
	// Hosts is the host list.
	Hosts HostList

	mu       sync.Mutex
	revision uint64
	objects  map[string]object
	history  []change
	changed  chan struct{} // closed and renewed at every change
	faults   Faults
	reads    int
	writes   int
}

// Faults are what a Platform does wrong.
type Faults struct {
	Down  bool          `json:"down"`  // every call answers 503
	Delay time.Duration `json:"delay"` // before every call
	Lose  int           `json:"lose"`  // that many writes take effect and lose their reply
}

type object struct {
	value   []byte
	version uint64
}

type change struct {
	key     string
	object  object
	deleted bool
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{objects: map[string]object{}, changed: make(chan struct{})}
}

// SetFaults sets what goes wrong from now on.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Calls is the reads and writes served so far; a waiting watch counts as one read.
func (p *Platform) Calls() (reads, writes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

// Handler is the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /objects", p.guard(p.list))
	m.HandleFunc("GET /objects/{key...}", p.guard(p.get))
	m.HandleFunc("PUT /objects/{key...}", p.guard(p.put))
	m.HandleFunc("DELETE /objects/{key...}", p.guard(p.delete))
	m.HandleFunc("GET /hosts", p.guard(p.Hosts.get))
	m.HandleFunc("PUT /hosts", p.Hosts.put)
	m.HandleFunc("POST /faults", p.setFaults)
	m.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		reads, writes := p.Calls()
		_ = json.NewEncoder(w).Encode(struct {
			Reads  int `json:"reads"`
			Writes int `json:"writes"`
		}{reads, writes})
	})
	return m
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

// guard applies the faults that come before a call.
func (p *Platform) guard(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		if r.Method == http.MethodGet {
			p.reads++
		} else {
			p.writes++
		}
		p.mu.Unlock()
		time.Sleep(f.Delay)
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	o, ok := p.objects[r.PathValue("key")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("ETag", etag(o.version))
	if r.Header.Get("If-None-Match") == etag(o.version) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(o.value)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	key := r.PathValue("key")
	if !p.holds(r, key) {
		p.mu.Unlock()
		http.Error(w, "condition failed", http.StatusPreconditionFailed)
		return
	}
	p.revision++
	o := object{value: value, version: p.revision}
	p.objects[key] = o
	p.record(change{key: key, object: o})
	lose := p.lose()
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", etag(o.version))
}

func (p *Platform) delete(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := r.PathValue("key")
	if _, ok := p.objects[key]; !ok {
		http.NotFound(w, r)
		return
	}
	if !p.holds(r, key) {
		http.Error(w, "condition failed", http.StatusPreconditionFailed)
		return
	}
	p.revision++
	delete(p.objects, key)
	p.record(change{key: key, object: object{version: p.revision}, deleted: true})
	if p.lose() {
		panic(http.ErrAbortHandler)
	}
}

// lose takes one of the writes that are to lose their reply.
func (p *Platform) lose() bool {
	if p.faults.Lose == 0 {
		return false
	}
	p.faults.Lose--
	return true
}

// holds checks a write's conditions (RFC 9110, section 13).
func (p *Platform) holds(r *http.Request, key string) bool {
	o, ok := p.objects[key]
	if r.Header.Get("If-None-Match") == "*" && ok {
		return false
	}
	if m := r.Header.Get("If-Match"); m != "" && (!ok || m != etag(o.version)) {
		return false
	}
	return true
}

func (p *Platform) record(c change) {
	p.history = append(p.history, c)
	if len(p.history) > maxHistory {
		p.history = slices.Clone(p.history[len(p.history)-maxHistory:])
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("prefix")
	if q.Has("after") {
		p.watch(w, r, prefix)
		return
	}
	p.mu.Lock()
	l := listing{Revision: p.revision}
	for _, key := range slices.Sorted(maps.Keys(p.objects)) {
		if strings.HasPrefix(key, prefix) {
			l.Objects = append(l.Objects, listed{Key: key, Value: p.objects[key].value, Version: p.objects[key].version})
		}
	}
	p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(l)
}

type listing struct {
	Revision uint64   `json:"revision"`
	Objects  []listed `json:"objects"`
}

type listed struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// watch answers at the first change below the prefix after a revision, or when
// the wait is over.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request, prefix string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		p.mu.Lock()
		if p.faults.Down {
			p.mu.Unlock()
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if len(p.history) > 0 && after+1 < p.history[0].object.version && len(p.history) == maxHistory {
			p.mu.Unlock()
			http.Error(w, "revision is forgotten", http.StatusGone)
			return
		}
		l := p.since(prefix, after)
		changed := p.changed
		p.mu.Unlock()
		if len(l.Objects) > 0 {
			_ = json.NewEncoder(w).Encode(l)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			_ = json.NewEncoder(w).Encode(l)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) since(prefix string, after uint64) listing {
	l := listing{Revision: max(after, p.revision)}
	for _, c := range p.history {
		if c.object.version > after && strings.HasPrefix(c.key, prefix) {
			l.Objects = append(l.Objects, listed{Key: c.key, Value: c.object.value, Version: c.object.version, Deleted: c.deleted})
		}
	}
	return l
}

func etag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }
