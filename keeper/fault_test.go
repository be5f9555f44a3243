package keeper_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/keeper"
	"github.com/cicadawood/cicadawood/prover"
	"github.com/cicadawood/cicadawood/storer"
)

// Steps of a call that must not be repeated, and the faults injected at them.
const (
	received = prover.Received
	asked    = prover.Asked
	granted  = prover.Granted
	intent   = prover.IntentRecorded
	sent     = prover.Sent
	answered = prover.Answered
	outcome  = prover.OutcomeRecorded
	acked    = prover.Acked
	taken    = prover.RoleTaken
	handed   = prover.RoleHandedOver

	kill      = prover.Kill
	freeze    = prover.Freeze
	cutOne    = prover.CutOneWay
	cutBoth   = prover.CutBothWays
	silence   = prover.Blackhole
	slow      = prover.Slow
	lostReply = prover.LostReply
	storeDown = prover.StoreDown
	storeSlow = prover.StoreSlow
	reorder   = prover.Reorder
	crossed   = prover.MismatchedAnswer
)

// injection is one fault, injected when a step is reached for the nth time.
type injection struct {
	step        prover.Step
	fault       prover.Fault
	afterEffect bool // kill and freeze: after the step took effect instead of before
	nth         int
	used        bool
}

func (f *injection) kind() prover.Fault {
	if f == nil {
		return ""
	}
	return f.fault
}

// nextFault returns the fault to inject at this occurrence of a step, or nil.
func (w *world) nextFault(s prover.Step) *injection {
	for _, f := range w.faults {
		if f.step != s || f.used {
			continue
		}
		if f.nth--; f.nth >= 0 {
			continue
		}
		f.used = true
		w.startOutage(f.fault)
		return f
	}
	return nil
}

// startOutage starts a fault of the store as a whole.
func (w *world) startOutage(f prover.Fault) {
	switch f {
	case storeDown:
		w.store.downUntil = w.now.Add(outageTime)
	case storeSlow:
		w.store.slowUntil = w.now.Add(outageTime)
	}
}

// interrupt runs a step of an actor, and stops the actor before or after it if the fault is
// kill or freeze.
func (w *world) interrupt(f *injection, stop func(), do func()) {
	switch {
	case f.kind() != kill && f.kind() != freeze:
		do()
	case f.afterEffect:
		do()
		stop()
	case f.kind() == kill:
		stop()
	default:
		stop()
		w.after(freezeTime, do)
	}
}

func (w *world) hostStopper(h *host, f *injection) func() {
	return func() {
		if f.kind() == kill {
			w.kill(h)
		} else {
			w.freeze(h)
		}
	}
}

// entryStep runs a step of an entry host under the fault injected at it, if any.
func (w *world) entryStep(s prover.Step, q *request, do func()) {
	if s == asked {
		do() // the fault is injected into the frame
		return
	}
	f := w.nextFault(s)
	e := w.entries[q.entry]
	w.interrupt(f, func() {
		if f.kind() == kill {
			e.dead = true
		} else {
			e.frozenUntil = w.now.Add(freezeTime)
		}
	}, func() {
		switch f.kind() {
		case cutOne, cutBoth, silence: // the caller is gone; the entry host can't detect that
			do()
		case slow:
			w.after(slowTime, do)
		case reorder:
			do()
			w.after(frameDelay, do)
		default:
			do()
		}
	})
}

// sendFrame delivers a message between an entry host and a keeper's host, under the fault
// injected at the step, if any.
func (w *world) sendFrame(s prover.Step, from, to string, do func()) {
	f := w.nextFault(s)
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
		w.cut[link] = w.now.Add(outageTime)
	case slow:
		w.after(slowTime, do)
	case reorder: // delivered twice, the second time much later
		w.after(hopTime, do)
		w.after(frameDelay, do)
	case kill, freeze:
		h := w.hosts[from]
		if h == nil {
			h = w.hosts[to]
		}
		w.interrupt(f, w.hostStopper(h, f), func() { w.after(hopTime, do) })
	default:
		w.after(hopTime, do)
	}
}

// stepOf returns the step that an output performs, or "".
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

// perform carries out an output of a keeper.
func (w *world) perform(h *host, o keeper.Output) {
	var f *injection
	s := stepOf(o, w.store.head.Epoch)
	if s == outcome && w.owner != h.name {
		s = handed // last record of a keeper that hands over
	}
	if s != "" {
		f = w.nextFault(s)
	}
	w.interrupt(f, w.hostStopper(h, f), func() { w.act(&h.actor, func() { w.do(h, o, f) }) })
}

func (w *world) do(h *host, o keeper.Output, f *injection) {
	switch o := o.(type) {
	case keeper.Acquire:
		w.acquire(h, o, f)
	case keeper.Ready:
		w.sendFrame("", h.name, o.To, func() { w.answerReady(h, o) })
	case keeper.Send:
		w.send(h, o, f)
	case keeper.Reply:
		s := acked
		if o.Verdict.Kind == keeper.KindMoved {
			s = handed
		}
		w.sendFrame(s, h.name, o.To, func() { w.receiveReply(o) })
	case keeper.WriteHead:
		w.writeHead(h, o, f)
	case keeper.ReadHead:
		w.callStore(h, func(down bool) keeper.Input { return w.readHead(down) })
	case keeper.WriteSegment: // takes longer than a head, as it is larger
		w.after(4*storeTime, func() { w.writeSegment(h, o) })
	case keeper.ReadSegment:
		w.callStore(h, func(down bool) keeper.Input {
			if down {
				return keeper.SegmentRead{Segment: o.Segment, Result: keeper.Down}
			}
			entries, ok := w.store.segments[o.Segment]
			if !ok && w.store.era() > 0 {
				return keeper.SegmentRead{Segment: o.Segment, Result: keeper.Missing}
			}
			return keeper.SegmentRead{Segment: o.Segment, Result: keeper.Done, Records: entries}
		})
	case keeper.DropSegment:
		if slices.Contains(w.store.head.Segments, o.Segment) && w.store.era() == 0 {
			w.violations = append(w.violations, "a segment was deleted that the head names")
		}
		delete(w.store.segments, o.Segment)
		w.store.saveSnapshot(w.now)
	}
}

func (w *world) writeSegment(h *host, o keeper.WriteSegment) {
	w.callStore(h, func(down bool) keeper.Input {
		if down {
			return keeper.SegmentWritten{Segment: o.Segment, Result: keeper.Down}
		}
		w.store.segments[o.Segment] = o.Records
		w.store.saveSnapshot(w.now)
		return keeper.SegmentWritten{Segment: o.Segment, Result: keeper.Done}
	})
}

func (w *world) acquire(h *host, o keeper.Acquire, f *injection) {
	p := keeper.Placed{ID: o.ID, Attempt: o.Attempt}
	if w.placesRefused {
		w.after(2*hopTime, func() { w.input(h, keeper.Unplaced{ID: o.ID, Attempt: o.Attempt, Reason: "queue_full"}) })
		return
	}
	switch f.kind() {
	case cutOne, cutBoth, silence: // the dispatcher's grant is lost
		w.after(deadline, func() {
			w.input(h, keeper.Unplaced{ID: o.ID, Attempt: o.Attempt, Reason: keeper.ReasonDeadline})
		})
	case slow:
		w.after(slowTime, func() { w.input(h, p) })
	case reorder:
		w.after(2*hopTime, func() { w.input(h, p) })
		w.after(frameDelay, func() { w.input(h, p) })
	default:
		w.after(2*hopTime, func() { w.input(h, p) })
	}
}

// answer delivers a worker's answer under the fault injected at that step, if any.
func (w *world) answer(h *host, o keeper.Send, result keeper.CallResult, a *keeper.Answer) {
	f := w.nextFault(answered)
	in := func() {
		w.input(h, keeper.Answered{ID: o.ID, Attempt: o.Attempt, Result: result, Answer: a})
	}
	lose := func() {
		w.input(h, keeper.Answered{ID: o.ID, Attempt: o.Attempt, Result: keeper.CallUnknown})
	}
	switch f.kind() {
	case kill, freeze:
		w.interrupt(f, w.hostStopper(h, f), in)
	case cutOne, cutBoth, crossed, lostReply:
		lose()
	case silence:
		w.after(storeTimeout, lose)
	case slow:
		w.after(slowTime, in)
	case reorder:
		in()
		w.after(frameDelay, in)
	default:
		in()
	}
}

// store simulates the Object API: one head and its segments.
type store struct {
	head      keeper.Head
	version   storer.Version
	revision  storer.Version
	segments  map[keeper.Segment][]*keeper.Record
	downUntil time.Time
	slowUntil time.Time
	writes    int
	reads     int
	snapshots []snapshot
}

// callStore runs a call of the store, and returns its result to the keeper after a delay.
func (w *world) callStore(h *host, do func(down bool) keeper.Input) {
	took := storeTime
	if w.now.Before(w.store.slowUntil) {
		took += slowTime
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

// putHead is the conditional write of the head.
func (w *world) putHead(o keeper.WriteHead) keeper.HeadWritten {
	if o.Match.Revision() != w.store.version.Revision() {
		return keeper.HeadWritten{Stamp: o.Head.Stamp, Result: keeper.Conflict}
	}
	for _, s := range o.Head.Segments {
		if _, ok := w.store.segments[s]; !ok && w.store.era() == 0 {
			w.violations = append(w.violations, fmt.Sprintf("the head names segment %d-%d, which is not stored", s.Epoch, s.Sequence))
		}
	}
	w.store.revision++
	w.store.writes++
	w.store.head, w.store.version = o.Head, w.store.revision
	w.store.saveSnapshot(w.now)
	if o.Match != 0 && o.Match.Era() != w.store.era() {
		return keeper.HeadWritten{Stamp: o.Head.Stamp, Result: keeper.Lost} // its revision was assigned again after a restore
	}
	return keeper.HeadWritten{Stamp: o.Head.Stamp, Version: w.store.version, Result: keeper.Done}
}

func (w *world) writeHead(h *host, o keeper.WriteHead, f *injection) {
	lost := keeper.HeadWritten{Stamp: o.Head.Stamp, Result: keeper.Lost}
	switch f.kind() {
	case lostReply:
		w.putHead(o)
		w.after(storeTime, func() { w.input(h, lost) })
	case cutOne:
		w.after(storeTime, func() { w.input(h, lost) })
	case cutBoth: // the write is in flight when the connection breaks
		w.after(outageTime, func() { w.putHead(o) })
		w.after(storeTime, func() { w.input(h, lost) })
	case silence:
		w.after(storeTimeout, func() { w.input(h, lost) })
	case reorder:
		w.after(frameDelay, func() { w.putHead(o) })
		fallthrough
	default:
		w.callStore(h, func(down bool) keeper.Input {
			if down {
				return keeper.HeadWritten{Stamp: o.Head.Stamp, Result: keeper.Down}
			}
			return w.putHead(o)
		})
	}
}
