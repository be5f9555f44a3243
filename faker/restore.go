package faker

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cicadawood/cicadawood/platform"
)

// maxUndoAge is the maximum age of a snapshot that a Platform can be restored from.
const maxUndoAge = 30 * time.Second

// rewrittenKinds are the kinds whose owners, the operator and the workers, write their
// objects again after a restore. Objects of other kinds are lost.
var rewrittenKinds = []string{"config", "servers"}

// undo is an object before a change; one without a name did not exist.
type undo struct {
	at       time.Time
	key      string
	before   platform.Object
	revision uint64 // of the store before the change
}

// Revision returns the store's current revision, for RestoreTo.
func (p *Platform) Revision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

// Restore restores the store from a snapshot of the given age, as RestoreTo does.
func (p *Platform) Restore(age, rewriteAfter time.Duration) {
	to := time.Now().Add(-age)
	p.restore(rewriteAfter, func(u undo) bool { return u.at.After(to) })
}

// RestoreTo restores the store from the snapshot at a revision: its objects and its
// revision are reset to it, and the era is incremented. Later writes by the operator and the
// workers are written again after rewriteAfter; later writes by the system are lost.
func (p *Platform) RestoreTo(revision uint64, rewriteAfter time.Duration) {
	p.restore(rewriteAfter, func(u undo) bool { return u.revision >= revision })
}

// restore undoes the changes for which isLost returns true and starts a new era.
func (p *Platform) restore(rewriteAfter time.Duration, isLost func(undo) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := p.rewind(isLost)
	p.era++
	p.droppedUpTo = min(p.droppedUpTo, p.revision) // must not exceed the revision, or every watch would be refused
	p.history = slices.DeleteFunc(p.history, func(c change) bool { return c.object.Metadata.Revision > p.revision })
	p.notifyWatchers()
	time.AfterFunc(rewriteAfter, func() { p.rewrite(lost) })
}

// rewind undoes the latest changes for which isLost returns true. It returns the objects that
// their owners write again, by key and with their content before the restore; an object
// without a name had been deleted.
func (p *Platform) rewind(isLost func(undo) bool) map[string]platform.Object {
	lost := map[string]platform.Object{}
	for len(p.undos) > 0 && isLost(p.undos[len(p.undos)-1]) {
		u := p.undos[len(p.undos)-1]
		p.undos = p.undos[:len(p.undos)-1]
		kind, _, _ := strings.Cut(u.key, "/")
		if _, known := lost[u.key]; !known && slices.Contains(rewrittenKinds, kind) {
			lost[u.key] = p.objects[u.key]
		}
		if u.before.Metadata.Name == "" {
			delete(p.objects, u.key)
		} else {
			p.objects[u.key] = u.before
		}
		p.revision = u.revision
	}
	return lost
}

// rewrite writes the lost objects again, except those that were written in the new era.
func (p *Platform) rewrite(lost map[string]platform.Object) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(lost)) {
		if p.writtenInEra[key] == p.era {
			continue
		}
		kind, name, _ := strings.Cut(key, "/")
		if o := lost[key]; o.Metadata.Name != "" {
			p.putObject(kind, o)
		} else {
			p.deleteObject(kind, name)
		}
	}
}

// recordUndo saves an object before it changes.
func (p *Platform) recordUndo(key string) {
	now := time.Now()
	p.undos = append(p.undos, undo{at: now, key: key, before: p.objects[key], revision: p.revision})
	if now.Sub(p.undos[0].at) > 2*maxUndoAge { // prunes in batches, not at each change
		p.undos = slices.DeleteFunc(p.undos, func(u undo) bool { return now.Sub(u.at) > maxUndoAge })
	}
	p.writtenInEra[key] = p.era
}

// setEraHeader sets the current era in the head of an answer.
func (p *Platform) setEraHeader(w http.ResponseWriter) {
	w.Header().Set(platform.HeaderEra, strconv.FormatUint(p.era, 10))
}

// postRestore handles POST /restore.
func (p *Platform) postRestore(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Age          time.Duration `json:"age"`   // nanoseconds, of the snapshot
		RewriteAfter time.Duration `json:"again"` // nanoseconds until the lost objects are written again
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Restore(b.Age, b.RewriteAfter)
}
