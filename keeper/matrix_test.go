package keeper_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/keeper"
	"github.com/cicadawood/cicadawood/prover"
)

// cells lists the faults to inject at each step of a call that must not be repeated.
var cells = map[prover.Step][]prover.Fault{
	received: {kill, freeze, cutOne, cutBoth, silence, slow, storeDown, storeSlow, reorder},
	asked:    {kill, freeze, cutOne, cutBoth, silence, slow, storeDown, storeSlow, reorder, crossed},
	granted:  {kill, freeze, cutOne, cutBoth, silence, slow, storeDown, storeSlow, reorder},
	intent:   {kill, freeze, cutOne, cutBoth, silence, slow, lostReply, storeDown, storeSlow, reorder},
	sent:     {kill, freeze, cutOne, cutBoth, silence, slow, lostReply, storeDown, storeSlow, reorder, crossed},
	answered: {kill, freeze, cutOne, cutBoth, silence, slow, lostReply, storeDown, storeSlow, reorder, crossed},
	outcome:  {kill, freeze, cutOne, cutBoth, silence, slow, lostReply, storeDown, storeSlow, reorder},
	acked:    {kill, freeze, cutOne, cutBoth, silence, slow, storeDown, storeSlow, reorder, crossed},
	taken:    {kill, freeze, cutOne, cutBoth, silence, slow, lostReply, storeDown, storeSlow, reorder},
	handed:   {kill, freeze, cutOne, cutBoth, silence, slow, lostReply, storeDown, storeSlow, reorder},
}

var steps = []prover.Step{received, asked, granted, intent, sent, answered, outcome, acked, taken, handed}

// cell is one fault injected at one step.
type cell struct {
	step  prover.Step
	fault prover.Fault
}

// possible reports whether the prover package's matrix has the cell. The others are run as
// well: they must do no harm.
func (c cell) possible() bool { return prover.ImpossibleReason(c.step, c.fault) == "" }

func (c cell) labels() Labels {
	if !c.possible() {
		return nil
	}
	return Labels{prover.Cell(c.step, c.fault)}
}

func allCells() []cell {
	var out []cell
	for _, s := range steps {
		for _, f := range cells[s] {
			out = append(out, cell{s, f})
		}
	}
	return out
}

// injections returns the variants of a cell: at the first and the second occurrence of the
// step and, for kill and freeze, before and after it takes effect.
func (c cell) injections() []injection {
	var out []injection
	for nth := range 2 {
		out = append(out, injection{step: c.step, fault: c.fault, nth: nth})
		if c.fault == kill || c.fault == freeze {
			out = append(out, injection{step: c.step, fault: c.fault, nth: nth, afterEffect: true})
		}
	}
	return out
}

// scenario is the load of every cell: a call, repeats of it through other entry hosts
// immediately and later, other calls, and hand-overs in between.
func scenario(faults ...injection) *world {
	var in []*injection
	for _, f := range faults {
		in = append(in, &f)
	}
	w := newWorld(keeper.Settings{ArchiveTailBytes: 300}, in...)
	w.request(0, "r1", "k1", "seat 4", "e1")
	w.request(12*time.Millisecond, "r2", "k1", "seat 4", "e2")
	w.request(13*time.Millisecond, "r0", "k1", "seat 9", "e2")
	w.request(40*time.Millisecond, "r3", "k2", "seat 5", "e2")
	w.request(60*time.Millisecond, "r4", "k3", "seat 6", "e1")
	w.after(70*time.Millisecond, func() { w.handOver() })
	w.request(5*time.Second, "r5", "k1", "seat 4", "e3")
	w.request(5*time.Second, "r6", "k2", "seat 9", "e3")
	w.after(7010*time.Millisecond, func() { w.handOver() })
	w.request(7*time.Second, "r7", "k4", "seat 7", "e3")
	w.request(20*time.Second, "rx", "k5", "seat 8", "e3")
	w.request(30*time.Second, "r8", "k1", "seat 4", "e3")
	w.request(30*time.Second, "r9", "k3", "seat 6", "e3")
	return w
}

// handOver moves the partition deliberately, as a graceful shutdown does.
func (w *world) handOver() {
	h := w.hosts[w.owner]
	f := w.nextFault(handed)
	w.interrupt(f, w.hostStopper(h, f), func() { w.setOwner(other(h.name)) })
}

// checkHistory returns all violations: a key that ran twice, a false verdict, a repeat with
// another answer, or a request without a verdict.
func (w *world) checkHistory() []string {
	violations := w.violations
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	ran, byRequest := map[string][]run{}, map[string]int{}
	for _, r := range w.runs {
		ran[r.key] = append(ran[r.key], r)
		byRequest[r.request]++
	}
	for key, runs := range ran {
		if len(runs) > 1 {
			report("%s ran %d times", key, len(runs))
		}
	}
	first := map[string]string{}
	for _, q := range w.order {
		switch {
		case q.verdict == nil && !w.entries[q.entry].dead:
			report("%s got no verdict", q.id)
		case q.verdict == nil:
		case q.verdict.Kind == keeper.KindNotRun, q.verdict.Kind == keeper.KindReused:
			if byRequest[q.id] > 0 {
				report("%s got not run (%s), but ran", q.id, q.verdict.Reason)
			}
			if q.verdict.Kind == keeper.KindNotRun {
				w.checkNotRun(q, report)
			}
		case q.verdict.Kind == keeper.KindRan:
			w.checkAnswer(q, ran[q.key], first, report)
		case q.verdict.Kind == keeper.KindGone && len(ran[q.key]) == 0:
			report("%s got a verdict that it ran, but did not", q.id)
		}
	}
	return violations
}

// checkNotRun checks a "not run" against all requests of the key: it must not have run
// before, and must not run after until another request of the key begins.
func (w *world) checkNotRun(q *request, report func(string, ...any)) {
	next := w.now
	for _, o := range w.order {
		if o.key == q.key && o != q && (o.verdict == nil || o.verdictAt.After(q.verdictAt)) && o.began.Before(next) {
			next = o.began
		}
	}
	for _, r := range w.runs {
		if r.key == q.key && r.at.Before(q.began) {
			report("%s got not run (%s), but its key had run", q.id, q.verdict.Reason)
		}
		if r.key == q.key && r.at.After(q.verdictAt) && r.at.Before(next) {
			report("%s got not run (%s), and its key ran after", q.id, q.verdict.Reason)
		}
	}
}

func (w *world) checkAnswer(q *request, runs []run, first map[string]string, report func(string, ...any)) {
	body := string(q.verdict.Answer.Body)
	if len(runs) != 1 || runs[0].body != q.body {
		report("%s got an answer of another call", q.id)
	}
	if f := first[q.key]; f != "" && f != body {
		report("%s got %q after %q", q.id, body, f)
	}
	first[q.key] = body
}

func runAndCheck(w *world) {
	GinkgoHelper()
	w.runFor(worldLength)
	Expect(w.checkHistory()).To(BeEmpty(), w.history)
}

// history returns the events of the simulation, for failure messages.
func (w *world) history() string {
	s := ""
	for _, f := range w.faults {
		s += fmt.Sprintf("fault %s at %s nth %d late %v used %v\n", f.fault, f.step, f.nth, f.afterEffect, f.used)
	}
	for _, d := range w.restores {
		s += d + "\n"
	}
	for _, q := range w.order {
		s += fmt.Sprintf("%s %s by %s began %s verdict %+v at %s\n", q.id, q.key, q.entry, q.began.Sub(w.start), q.verdict, q.verdictAt.Sub(w.start))
	}
	for _, r := range w.runs {
		s += fmt.Sprintf("run of %s by %s at %s\n", r.key, r.request, r.at.Sub(w.start))
	}
	return s
}

// One fault is injected at one step of a call, which is repeated. The call must not run
// twice, a "not run" must be true, and a repeat must get the same answer as the first.
var _ = Describe("A fault at a step", func() {
	It("answers every request without a fault", func() {
		w := scenario()
		runAndCheck(w)
		for _, q := range w.order {
			want := keeper.KindRan
			if q.id == "r6" || q.id == "r0" {
				want = keeper.KindReused
			}
			Expect(q.verdict.Kind).To(Equal(want), q.id)
		}
	})
	for _, c := range allCells() {
		It(fmt.Sprintf("%s at %s", c.fault, c.step), c.labels(), func() {
			used := 0
			for _, f := range c.injections() {
				w := scenario(f)
				runAndCheck(w)
				if w.faults[0].used {
					used++
				}
			}
			Expect(used).To(BeNumerically(">", 0), "the step is never reached")
		})
	}
})

// Two faults occur together or one after the other. The same invariants hold.
var _ = Describe("Two faults", func() {
	for i, first := range allCells() {
		var labels Labels
		for _, second := range allCells()[i:] {
			if first.possible() && second.possible() {
				labels = append(labels, prover.Pair(first.step, first.fault, second.step, second.fault))
			}
		}
		It(fmt.Sprintf("%s at %s and any later cell", first.fault, first.step), labels, func() {
			for _, second := range allCells()[i:] {
				reached := false
				for _, f := range first.injections() {
					for _, g := range second.injections() {
						w := scenario(f, g)
						runAndCheck(w)
						reached = reached || w.faults[0].used && w.faults[1].used
					}
				}
				Expect(reached).To(BeTrue(), "%v and %v never occur together", first, second)
			}
		})
	}
})
