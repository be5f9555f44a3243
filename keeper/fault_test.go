package keeper_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/keeper"
	"github.com/cicadawood/cicadawood/prover"
	"github.com/cicadawood/cicadawood/storer"
)

// The steps of a call that must not be repeated, and the faults played at each.
const (
	received = prover.Received
	asked    = prover.Asked
	granted  = prover.Granted
	intent   = prover.Intent
	sent     = prover.Sent
	answered = prover.Answered
	outcome  = prover.Outcome
	acked    = prover.Acked
	taken    = prover.Taken
	handed   = prover.HandedOver

	kill      = prover.Kill
	freeze    = prover.Freeze
	cutOne    = prover.CutOne
	cutBoth   = prover.CutBoth
	silence   = prover.Silence
	slow      = prover.Slow
	lostReply = prover.LostReply
	storeDown = prover.StoreDown
	storeSlow = prover.StoreSlow
	reorder   = prover.Reorder
	crossed   = prover.Crossed
)

// injection is one fault at the nth time that a step is reached.
type injection struct {
	step  prover.Step
	fault prover.Fault
	late  bool // kill and freeze: after the step took effect, not before
	nth   int
	used  bool
}

func (f *injection) kind() prover.Fault {
	if f == nil {
		return ""
	}
	return f.fault
}

// take is the fault that hits a step now, if any.
func (w *world) take(s prover.Step) *injection {
	for _, f := range w.faults {
		if f.step != s || f.used {
			continue
		}
		if f.nth--; f.nth >= 0 {
			continue
		}
		f.used = true
		w.environment(f.fault)
		return f
	}
	return nil
}

// environment starts the faults that are not of one message.
func (w *world) environment(f prover.Fault) {
	switch f {
	case storeDown:
		w.store.downUntil = w.now.Add(outage)
	case storeSlow:
		w.store.slowUntil = w.now.Add(outage)
	}
}

// around does a step of an actor under a fault that ends or pauses it.
func (w *world) around(f *injection, stop func(), do func()) {
	switch {
	case f.kind() != kill && f.kind() != freeze:
		do()
	case f.late:
		do()
		stop()
	case f.kind() == kill:
		stop()
	default:
		stop()
		w.after(freezeTime, do)
	}
}

func (w *world) stopper(h *host, f *injection) func() {
	return func() {
		if f.kind() == kill {
			w.kill(h)
		} else {
			w.freeze(h)
		}
	}
}

// atEntry does a step of an entry.
func (w *world) atEntry(s prover.Step, q *request, do func()) {
	if s == asked {
		do() // the frame itself takes the fault
		return
	}
	f := w.take(s)
	e := w.entries[q.entry]
	w.around(f, func() {
		if f.kind() == kill {
			e.dead = true
		} else {
			e.thawed = w.now.Add(freezeTime)
		}
	}, func() {
		switch f.kind() {
		case cutOne, cutBoth, silence: // the caller is gone; the entry can't tell
			do()
		case slow:
			w.after(slowness, do)
		case reorder:
			do()
			w.after(frameLate, do)
		default:
			do()
		}
	})
}

// frame carries a message between an entry and a host.
func (w *world) frame(s prover.Step, from, to string, do func()) {
	f := w.take(s)
	link := from + "-" + to
	if from > to {
		link = to + "-" + from
	}
	if w.now.Before(w.cut[link]) {
		return
	}
	switch f.kind() {
	case cutOne, silence, crossed:
	case cutBoth:
		w.cut[link] = w.now.Add(outage)
	case slow:
		w.after(slowness, do)
	case reorder: // twice, and the second time long after
		w.after(hop, do)
		w.after(frameLate, do)
	case kill, freeze:
		h := w.hosts[from]
		if h == nil {
			h = w.hosts[to]
		}
		w.around(f, w.stopper(h, f), func() { w.after(hop, do) })
	default:
		w.after(hop, do)
	}
}

// stepOf is the step that an output is.
func stepOf(o keeper.Output, epoch uint64) prover.Step {
	switch o := o.(type) {
	case keeper.Acquire:
		return granted
	case keeper.Send:
		return sent
	case keeper.WriteHead:
		if o.Head.Epoch > epoch {
			return taken
		}
		if len(o.Head.Tail) == 0 {
			return ""
		}
		last := o.Head.Tail[len(o.Head.Tail)-1]
		if last.State == keeper.Intended {
			return intent
		}
		return outcome
	default:
		return ""
	}
}

// perform does what a keeper decided.
func (w *world) perform(h *host, o keeper.Output) {
	var f *injection
	s := stepOf(o, w.store.head.Epoch)
	if s == outcome && w.owner != h.name {
		s = handed // the last record of a keeper that hands over
	}
	if s != "" {
		f = w.take(s)
	}
	w.around(f, w.stopper(h, f), func() { w.act(&h.actor, func() { w.do(h, o, f) }) })
}

func (w *world) do(h *host, o keeper.Output, f *injection) {
	switch o := o.(type) {
	case keeper.Acquire:
		w.acquire(h, o, f)
	case keeper.Ready:
		w.frame("", h.name, o.To, func() { w.confirm(h, o) })
	case keeper.Send:
		w.send(h, o, f)
	case keeper.Reply:
		s := acked
		if o.Verdict.Kind == keeper.KindMoved {
			s = handed
		}
		w.frame(s, h.name, o.To, func() { w.heard(o) })
	case keeper.WriteHead:
		w.write(h, o, f)
	case keeper.ReadHead:
		w.stored(h, func(down bool) keeper.Input { return w.readHead(down) })
	case keeper.WriteSegment: // larger than a head, so later
		w.after(4*storeTime, func() { w.writeSegment(h, o) })
	case keeper.ReadSegment:
		w.stored(h, func(down bool) keeper.Input {
			if down {
				return keeper.SegmentRead{Segment: o.Segment, Result: keeper.Down}
			}
			entries, ok := w.store.segments[o.Segment]
			if !ok && w.store.era() > 0 {
				return keeper.SegmentRead{Segment: o.Segment, Result: keeper.Missing}
			}
			return keeper.SegmentRead{Segment: o.Segment, Result: keeper.Done, Entries: entries}
		})
	case keeper.DropSegment:
		if slices.Contains(w.store.head.Segments, o.Segment) && w.store.era() == 0 {
			w.wrong = append(w.wrong, "a segment was deleted that the head names")
		}
		delete(w.store.segments, o.Segment)
		w.store.keep(w.now)
	}
}

func (w *world) writeSegment(h *host, o keeper.WriteSegment) {
	w.stored(h, func(down bool) keeper.Input {
		if down {
			return keeper.SegmentWritten{Segment: o.Segment, Result: keeper.Down}
		}
		w.store.segments[o.Segment] = o.Entries
		w.store.keep(w.now)
		return keeper.SegmentWritten{Segment: o.Segment, Result: keeper.Done}
	})
}

func (w *world) acquire(h *host, o keeper.Acquire, f *injection) {
	p := keeper.Placed{ID: o.ID, Attempt: o.Attempt}
	if w.full {
		w.after(2*hop, func() { w.input(h, keeper.Unplaced{ID: o.ID, Attempt: o.Attempt, Reason: "queue_full"}) })
		return
	}
	switch f.kind() {
	case cutOne, cutBoth, silence: // the dispatcher's grant never comes
		w.after(deadline, func() {
			w.input(h, keeper.Unplaced{ID: o.ID, Attempt: o.Attempt, Reason: keeper.ReasonDeadline})
		})
	case slow:
		w.after(slowness, func() { w.input(h, p) })
	case reorder:
		w.after(2*hop, func() { w.input(h, p) })
		w.after(frameLate, func() { w.input(h, p) })
	default:
		w.after(2*hop, func() { w.input(h, p) })
	}
}

// answer is a worker's answer on its way back.
func (w *world) answer(h *host, o keeper.Send, fate keeper.CallResult, a *keeper.Answer) {
	f := w.take(answered)
	in := func() {
		w.input(h, keeper.Answered{ID: o.ID, Attempt: o.Attempt, Result: fate, Answer: a})
	}
	lose := func() {
		w.input(h, keeper.Answered{ID: o.ID, Attempt: o.Attempt, Result: keeper.CallUnknown})
	}
	switch f.kind() {
	case kill, freeze:
		w.around(f, w.stopper(h, f), in)
	case cutOne, cutBoth, crossed, lostReply:
		lose()
	case silence:
		w.after(storeLimit, lose)
	case slow:
		w.after(slowness, in)
	case reorder:
		in()
		w.after(frameLate, in)
	default:
		in()
	}
}

// store is the Object API's one head and its segments.
type store struct {
	head      keeper.Head
	version   storer.Version
	revision  storer.Version
	segments  map[keeper.Segment][]*keeper.Entry
	downUntil time.Time
	slowUntil time.Time
	writes    int
	reads     int
	past      []copied
}

// stored does a call of the store.
func (w *world) stored(h *host, do func(down bool) keeper.Input) {
	took := storeTime
	if w.now.Before(w.store.slowUntil) {
		took += slowness
	}
	w.after(took, func() {
		in := do(w.now.Before(w.store.downUntil))
		w.input(h, in)
	})
}

func (w *world) readHead(down bool) keeper.Input {
	w.store.reads++
	switch {
	case down:
		return keeper.HeadRead{Result: keeper.Down}
	case w.store.version == 0:
		return keeper.HeadRead{Result: keeper.Missing, Era: w.store.era()}
	default:
		return keeper.HeadRead{Head: w.store.head, Version: w.store.version, Result: keeper.Done}
	}
}

// put is the conditional write itself.
func (w *world) put(o keeper.WriteHead) keeper.HeadWritten {
	if o.Match.Revision() != w.store.version.Revision() {
		return keeper.HeadWritten{Stamp: o.Head.Stamp, Result: keeper.Conflict}
	}
	for _, s := range o.Head.Segments {
		if _, ok := w.store.segments[s]; !ok && w.store.era() == 0 {
			w.wrong = append(w.wrong, fmt.Sprintf("the head names segment %d-%d, which is not stored", s.Epoch, s.Sequence))
		}
	}
	w.store.revision++
	w.store.writes++
	w.store.head, w.store.version = o.Head, w.store.revision
	w.store.keep(w.now)
	if o.Match != 0 && o.Match.Era() != w.store.era() {
		return keeper.HeadWritten{Stamp: o.Head.Stamp, Result: keeper.Lost} // its revision was given out again
	}
	return keeper.HeadWritten{Stamp: o.Head.Stamp, Version: w.store.version, Result: keeper.Done}
}

func (w *world) write(h *host, o keeper.WriteHead, f *injection) {
	lost := keeper.HeadWritten{Stamp: o.Head.Stamp, Result: keeper.Lost}
	switch f.kind() {
	case lostReply:
		w.put(o)
		w.after(storeTime, func() { w.input(h, lost) })
	case cutOne:
		w.after(storeTime, func() { w.input(h, lost) })
	case cutBoth: // the write is under way when the connection breaks
		w.after(outage, func() { w.put(o) })
		w.after(storeTime, func() { w.input(h, lost) })
	case silence:
		w.after(storeLimit, func() { w.input(h, lost) })
	case reorder:
		w.after(frameLate, func() { w.put(o) })
		fallthrough
	default:
		w.stored(h, func(down bool) keeper.Input {
			if down {
				return keeper.HeadWritten{Stamp: o.Head.Stamp, Result: keeper.Down}
			}
			return w.put(o)
		})
	}
}
