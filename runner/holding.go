package runner

import (
	"sync"
	"time"

	"github.com/cicadawood/cicadawood/dispatcher"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
)

const (
	// maxHeld bounds the frames that wait for a configuration.
	maxHeld = 1024
	// holdFor is how long one waits at most; its sender has asked again by then.
	holdFor = 2 * time.Second
)

// holding keeps the asks and claims that come for a cell which only a newer
// configuration knows. A host that has just started, or that the change reaches
// a moment after others, would drop them: their callers would see nothing until
// the entry asks again. The zero value knows no cells.
type holding struct {
	mu         sync.Mutex
	generation uint64 // that the control state has
	cells      map[string]bool
	held       []heldFrame
}

type heldFrame struct {
	frame frameArrived
	at    time.Time
}

// take says whether a frame has to wait; generation is the one that its sender
// has in force.
func (h *holding) take(now time.Time, f frameArrived, generation uint64) bool {
	cell := cellOf(f.message)
	h.mu.Lock()
	defer h.mu.Unlock()
	if cell == "" || generation <= h.generation || h.cells[cell] || len(h.held) >= maxHeld {
		return false
	}
	h.held = append(h.held, heldFrame{frame: f, at: now})
	return true
}

// release takes a configuration that came in force and returns the frames that
// waited for it, in order.
func (h *holding) release(now time.Time, f *loader.Folder, generation uint64) []frameArrived {
	cells := map[string]bool{}
	for name, s := range f.Services {
		for _, c := range dispatcher.SplitCells(name, s) {
			cells[c.Name] = true
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.generation, h.cells = generation, cells
	var due []frameArrived
	for _, k := range h.held {
		if now.Sub(k.at) < holdFor {
			due = append(due, k.frame)
		}
	}
	h.held = nil
	return due
}

// cellOf is the cell that a frame needs to be known; "" where it needs none.
func cellOf(m messenger.Message) string {
	switch m := m.(type) {
	case messenger.Ask:
		return m.Cell
	case messenger.Claim:
		return m.Ask.Cell
	default:
		return ""
	}
}
