package runner

import (
	"sync"
	"time"

	"github.com/cicadawood/cicadawood/dispatcher"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
)

const (
	// maxPendingFrames bounds the frames that wait for a configuration.
	maxPendingFrames = 1024
	// pendingTimeout is how long a frame waits at most; its sender has sent it again by
	// then.
	pendingTimeout = 2 * time.Second
)

// pendingFrames queues asks and claims for a cell that only a newer configuration has. A
// host that has just started, or that receives the change a moment after others, would
// otherwise drop them, and their callers would wait until the entry host asks again. The
// zero value knows no cells.
type pendingFrames struct {
	mu         sync.Mutex
	generation uint64 // in force at the control goroutine
	cells      map[string]bool
	frames     []pendingFrame
}

type pendingFrame struct {
	frame      frameReceived
	receivedAt time.Time
}

// add queues a frame that has to wait, and returns whether it does; generation is the one
// in force at its sender.
func (h *pendingFrames) add(now time.Time, f frameReceived, generation uint64) bool {
	cell := requiredCell(f.message)
	h.mu.Lock()
	defer h.mu.Unlock()
	if cell == "" || generation <= h.generation || h.cells[cell] || len(h.frames) >= maxPendingFrames {
		return false
	}
	h.frames = append(h.frames, pendingFrame{frame: f, receivedAt: now})
	return true
}

// release applies a configuration that came in force and returns the frames that waited for
// it, in order. It drops those older than pendingTimeout.
func (h *pendingFrames) release(now time.Time, f *loader.Folder, generation uint64) []frameReceived {
	cells := map[string]bool{}
	for name, s := range f.Services {
		for _, c := range dispatcher.SplitCells(name, s) {
			cells[c.Name] = true
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.generation, h.cells = generation, cells
	var due []frameReceived
	for _, k := range h.frames {
		if now.Sub(k.receivedAt) < pendingTimeout {
			due = append(due, k.frame)
		}
	}
	h.frames = nil
	return due
}

// requiredCell returns the cell that must be known to handle a message; "" for none.
func requiredCell(m messenger.Message) string {
	switch m := m.(type) {
	case messenger.Ask:
		return m.Cell
	case messenger.Claim:
		return m.Ask.Cell
	default:
		return ""
	}
}
