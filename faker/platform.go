package faker

import (
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cicadawood/cicadawood/platform"
)

const (
	maxValue   = 1 << 20
	maxHistory = 4096
	// pageMost is the most objects of one answer, unless Page says another number.
	pageMost = 500
)

// Platform is a fake of the platform's store: objects by kind and name, revisions,
// conditional writes, lists by page and watches, with faults on demand.
type Platform struct {
	// Hosts is the host list.
	Hosts HostList
	// PageSize is the most objects of one answer; 0 is 500.
	PageSize int

	mu       sync.Mutex
	revision uint64
	objects  map[string]platform.Object // by kind/name
	history  []change
	forgot   uint64        // history up to this revision is gone
	changed  chan struct{} // closed and renewed at every change
	faults   Faults
	reads    int
	writes   int
	kinds    map[string]int // calls, by method and kind
	era      uint64
	undos    []undo            // oldest first
	written  map[string]uint64 // the era of each object's last change
}

// Faults are what a Platform does wrong.
type Faults struct {
	Down  bool          `json:"down"`  // every call answers 503
	Delay time.Duration `json:"delay"` // before every call
	Lose  int           `json:"lose"`  // that many writes take effect and lose their reply
}

type change struct {
	kind    string
	object  platform.Object
	deleted bool
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{objects: map[string]platform.Object{}, changed: make(chan struct{}), era: 1, written: map[string]uint64{}, kinds: map[string]int{}}
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

// CallsByKind is the calls so far by method and kind of object, such as "GET hosts".
func (p *Platform) CallsByKind() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.kinds)
}

// Handler is the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /objects/{kind}", p.guard(p.list))
	m.HandleFunc("POST /objects/{kind}", p.guard(p.create))
	m.HandleFunc("GET /objects/{kind}/{name}", p.guard(p.get))
	m.HandleFunc("PUT /objects/{kind}/{name}", p.guard(p.replace))
	m.HandleFunc("DELETE /objects/{kind}/{name}", p.guard(p.remove))
	m.HandleFunc("POST /forget", func(http.ResponseWriter, *http.Request) { p.DropHistory() })
	m.HandleFunc("GET /hosts", p.guard(p.Hosts.get))
	m.HandleFunc("PUT /hosts", p.Hosts.put)
	m.HandleFunc("POST /faults", p.setFaults)
	m.HandleFunc("POST /restore", p.postRestore)
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
		p.date(w)
		f := p.faults
		if r.Method == http.MethodGet {
			p.reads++
		} else {
			p.writes++
		}
		p.kinds[r.Method+" "+r.PathValue("kind")]++
		p.mu.Unlock()
		time.Sleep(f.Delay)
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

// Put writes an object as its owner would, past all faults.
func (p *Platform) Put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a test's own value
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store(kind, platform.Object{Metadata: platform.Metadata{Name: name}, Spec: text})
}

// Has says whether there is an object of a kind.
func (p *Platform) Has(kind string) bool { return p.Count(kind) > 0 }

// Count is how many objects of a kind there are.
func (p *Platform) Count(kind string) int { return len(p.Names(kind)) }

// Names is the names of the objects of a kind, sorted.
func (p *Platform) Names(kind string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for key := range p.objects {
		if name, ok := strings.CutPrefix(key, kind+"/"); ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Delete removes an object as its owner would, past all faults.
func (p *Platform) Delete(kind, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(kind, name)
}

// DropHistory drops the history: watches from before are told so.
func (p *Platform) DropHistory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history, p.forgot = nil, p.revision
	p.wake()
}

// store writes an object under the next revision. One that is the same already
// keeps its revision.
func (p *Platform) store(kind string, o platform.Object) platform.Object {
	key := kind + "/" + o.Metadata.Name
	old, known := p.objects[key]
	if known && string(old.Spec) == string(o.Spec) {
		return old
	}
	p.keep(key)
	p.revision++
	o.Metadata.Revision, o.Metadata.Created = p.revision, p.revision
	if known {
		o.Metadata.Created = old.Metadata.Created
	}
	p.objects[key] = o
	p.record(change{kind: kind, object: o})
	return o
}

// drop removes an object under the next revision.
func (p *Platform) drop(kind, name string) {
	o, known := p.objects[kind+"/"+name]
	if !known {
		return
	}
	p.keep(kind + "/" + name)
	p.revision++
	delete(p.objects, kind+"/"+name)
	o.Metadata.Revision = p.revision
	p.record(change{kind: kind, object: o, deleted: true})
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.date(w)
	o, ok := p.objects[r.PathValue("kind")+"/"+r.PathValue("name")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

// create answers POST: the object must be new.
func (p *Platform) create(w http.ResponseWriter, r *http.Request) {
	o, ok := decode(w, r)
	if !ok {
		return
	}
	kind := r.PathValue("kind")
	p.mu.Lock()
	p.date(w)
	old, known := p.objects[kind+"/"+o.Metadata.Name]
	if known {
		p.mu.Unlock()
		writeJSON(w, http.StatusConflict, old)
		return
	}
	p.finish(w, func() platform.Object { return p.store(kind, o) })
}

// replace answers PUT: the object must be there, under the revision that is given.
func (p *Platform) replace(w http.ResponseWriter, r *http.Request) {
	o, ok := decode(w, r)
	if !ok {
		return
	}
	kind := r.PathValue("kind")
	o.Metadata.Name = r.PathValue("name")
	p.mu.Lock()
	p.date(w)
	old, known := p.objects[kind+"/"+o.Metadata.Name]
	switch {
	case !known:
		p.mu.Unlock()
		http.NotFound(w, r)
		return
	case o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		p.mu.Unlock()
		writeJSON(w, http.StatusConflict, old)
		return
	}
	p.finish(w, func() platform.Object { return p.store(kind, o) })
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	p.mu.Lock()
	p.date(w)
	old, known := p.objects[kind+"/"+name]
	revision := r.URL.Query().Get(platform.ParamRevision)
	switch {
	case !known:
		p.mu.Unlock()
		http.NotFound(w, r)
		return
	case revision != "" && revision != strconv.FormatUint(old.Metadata.Revision, 10):
		p.mu.Unlock()
		writeJSON(w, http.StatusConflict, old)
		return
	}
	p.finish(w, func() platform.Object { p.drop(kind, name); return old })
}

// finish does a write, unlocks, and answers unless the reply is to be lost.
func (p *Platform) finish(w http.ResponseWriter, write func() platform.Object) {
	o := write()
	lose := p.faults.Lose > 0
	if lose {
		p.faults.Lose--
	}
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, o)
}

func decode(w http.ResponseWriter, r *http.Request) (platform.Object, bool) {
	var o platform.Object
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue+leastBuffer))
	if err == nil {
		err = json.Unmarshal(text, &o)
	}
	if err == nil && len(o.Spec) > maxValue {
		err = errors.New("the value is too large")
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return o, err == nil
}

// leastBuffer is the bytes of a body beside the value.
const leastBuffer = 4 << 10

// raw is an object in its wire form.
func raw(o platform.Object) json.RawMessage {
	text, err := json.Marshal(o)
	if err != nil {
		panic(err) // of plain fields
	}
	return text
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if q.Has(platform.ParamWatch) {
		p.watch(w, r)
		return
	}
	prefix := r.PathValue("kind") + "/"
	most := p.PageSize
	if most == 0 {
		most = pageMost
	}
	p.mu.Lock()
	p.date(w)
	l := platform.Page{Revision: p.revision, Items: []json.RawMessage{}}
	for _, key := range slices.Sorted(maps.Keys(p.objects)) {
		if !strings.HasPrefix(key, prefix) || key <= prefix+q.Get(platform.ParamAfter) {
			continue
		}
		if len(l.Items) == most {
			l.HasMore = true
			break
		}
		l.Items = append(l.Items, raw(p.objects[key]))
	}
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, l)
}
