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
	maxValueBytes    = 1 << 20
	maxHistoryEvents = 4096
	// defaultPageSize is the maximum number of objects in one answer if PageSize is 0.
	defaultPageSize = 500
)

// Platform is a fake of the platform's store: objects by kind and name, revisions,
// conditional writes, lists by page and watches, with faults on demand.
type Platform struct {
	// Hosts is the host list.
	Hosts HostList
	// PageSize is the maximum number of objects in one answer; 0 means 500.
	PageSize int

	mu           sync.Mutex
	revision     uint64
	objects      map[string]platform.Object // by kind/name
	history      []change
	droppedUpTo  uint64        // history up to this revision was dropped
	changed      chan struct{} // closed and replaced at every change
	faults       Faults
	reads        int
	writes       int
	callsByKind  map[string]int // calls, by method and kind
	era          uint64
	undos        []undo            // oldest first
	writtenInEra map[string]uint64 // the era of each object's last change
}

// Faults are the faults of a Platform.
type Faults struct {
	Down  bool          `json:"down"`  // every call answers 503
	Delay time.Duration `json:"delay"` // before every call
	Lose  int           `json:"lose"`  // number of writes that take effect and whose replies are lost
}

type change struct {
	kind    string
	object  platform.Object
	deleted bool
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{objects: map[string]platform.Object{}, changed: make(chan struct{}), era: 1, writtenInEra: map[string]uint64{}, callsByKind: map[string]int{}}
}

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Calls returns the reads and writes served so far; a waiting watch counts as one read.
func (p *Platform) Calls() (reads, writes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

// CallsByKind returns the calls so far by method and kind of object, such as "GET hosts".
func (p *Platform) CallsByKind() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.callsByKind)
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /objects/{kind}", p.withFaults(p.list))
	m.HandleFunc("POST /objects/{kind}", p.withFaults(p.create))
	m.HandleFunc("GET /objects/{kind}/{name}", p.withFaults(p.get))
	m.HandleFunc("PUT /objects/{kind}/{name}", p.withFaults(p.replace))
	m.HandleFunc("DELETE /objects/{kind}/{name}", p.withFaults(p.remove))
	m.HandleFunc("POST /forget", func(http.ResponseWriter, *http.Request) { p.DropHistory() })
	m.HandleFunc("GET /hosts", p.withFaults(p.Hosts.get))
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

// withFaults counts a call and applies the faults that precede it.
func (p *Platform) withFaults(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.setEraHeader(w)
		f := p.faults
		if r.Method == http.MethodGet {
			p.reads++
		} else {
			p.writes++
		}
		p.callsByKind[r.Method+" "+r.PathValue("kind")]++
		p.mu.Unlock()
		time.Sleep(f.Delay)
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

// Put writes an object as its owner would, bypassing all faults.
func (p *Platform) Put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a test passed a value without a JSON form
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.putObject(kind, platform.Object{Metadata: platform.Metadata{Name: name}, Spec: text})
}

// PutRaw is Put with the text of a spec, which may be anything that another writer may have left.
func (p *Platform) PutRaw(kind, name, spec string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.putObject(kind, platform.Object{Metadata: platform.Metadata{Name: name}, Spec: json.RawMessage(spec)})
}

// Has reports whether there is an object of a kind.
func (p *Platform) Has(kind string) bool { return p.Count(kind) > 0 }

// Count returns the number of objects of a kind.
func (p *Platform) Count(kind string) int { return len(p.Names(kind)) }

// Names returns the sorted names of the objects of a kind.
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

// Delete removes an object as its owner would, bypassing all faults.
func (p *Platform) Delete(kind, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deleteObject(kind, name)
}

// DropHistory drops the history: watches from an older revision get 410 Gone.
func (p *Platform) DropHistory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history, p.droppedUpTo = nil, p.revision
	p.notifyWatchers()
}

// putObject writes an object under the next revision. One whose content does not change
// keeps its revision.
func (p *Platform) putObject(kind string, o platform.Object) platform.Object {
	key := kind + "/" + o.Metadata.Name
	old, known := p.objects[key]
	if known && string(old.Spec) == string(o.Spec) {
		return old
	}
	p.recordUndo(key)
	p.revision++
	o.Metadata.Revision, o.Metadata.Created = p.revision, p.revision
	if known {
		o.Metadata.Created = old.Metadata.Created
	}
	p.objects[key] = o
	p.addChange(change{kind: kind, object: o})
	return o
}

// deleteObject removes an object under the next revision.
func (p *Platform) deleteObject(kind, name string) {
	o, known := p.objects[kind+"/"+name]
	if !known {
		return
	}
	p.recordUndo(kind + "/" + name)
	p.revision++
	delete(p.objects, kind+"/"+name)
	o.Metadata.Revision = p.revision
	p.addChange(change{kind: kind, object: o, deleted: true})
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.setEraHeader(w)
	o, ok := p.objects[r.PathValue("kind")+"/"+r.PathValue("name")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeText(w, encodeObject(o))
}

// create handles POST: the object must be new.
func (p *Platform) create(w http.ResponseWriter, r *http.Request) {
	o, ok := decodeObject(w, r)
	if !ok {
		return
	}
	kind := r.PathValue("kind")
	p.mu.Lock()
	p.setEraHeader(w)
	old, known := p.objects[kind+"/"+o.Metadata.Name]
	if known {
		p.mu.Unlock()
		writeJSON(w, http.StatusConflict, old)
		return
	}
	p.finishWrite(w, func() platform.Object { return p.putObject(kind, o) })
}

// replace handles PUT: the object must exist, at the revision that is given, if any.
func (p *Platform) replace(w http.ResponseWriter, r *http.Request) {
	o, ok := decodeObject(w, r)
	if !ok {
		return
	}
	kind := r.PathValue("kind")
	o.Metadata.Name = r.PathValue("name")
	p.mu.Lock()
	p.setEraHeader(w)
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
	p.finishWrite(w, func() platform.Object { return p.putObject(kind, o) })
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	p.mu.Lock()
	p.setEraHeader(w)
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
	p.finishWrite(w, func() platform.Object { p.deleteObject(kind, name); return old })
}

// finishWrite performs a write, unlocks, and answers unless the reply is to be lost.
func (p *Platform) finishWrite(w http.ResponseWriter, write func() platform.Object) {
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

func decodeObject(w http.ResponseWriter, r *http.Request) (platform.Object, bool) {
	var o platform.Object
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes+maxMetadataBytes))
	if err == nil {
		err = json.Unmarshal(text, &o)
	}
	if err == nil && len(o.Spec) > maxValueBytes {
		err = errors.New("the value is too large")
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return o, err == nil
}

// maxMetadataBytes is the room for metadata in a body in addition to the value.
const maxMetadataBytes = 4 << 10

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
	pageSize := p.PageSize
	if pageSize == 0 {
		pageSize = defaultPageSize
	}
	p.mu.Lock()
	p.setEraHeader(w)
	var items [][]byte
	hasMore, revision := false, p.revision
	for _, key := range slices.Sorted(maps.Keys(p.objects)) {
		if !strings.HasPrefix(key, prefix) || key <= prefix+q.Get(platform.ParamAfter) {
			continue
		}
		if len(items) == pageSize {
			hasMore = true
			break
		}
		items = append(items, encodeObject(p.objects[key]))
	}
	p.mu.Unlock()
	writeText(w, encodePage(items, hasMore, revision))
}
