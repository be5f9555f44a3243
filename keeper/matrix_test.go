package keeper_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/keeper"
	"github.com/cicadawood/cicadawood/prover"
)

// cells is every fault that can hit a step of a once-call.
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

// cell is one fault at one step.
type cell struct {
	step  prover.Step
	fault prover.Fault
}

// possible says that the matrix has the cell. The others are played as well: they
// must do no harm.
func (c cell) possible() bool { return prover.Impossible(c.step, c.fault) == "" }

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

// injections is the ways in which a cell is played: at the first and the second
// time that the step is reached, before and after it takes effect.
func (c cell) injections() []injection {
	var out []injection
	for nth := range 2 {
		out = append(out, injection{step: c.step, fault: c.fault, nth: nth})
		if c.fault == kill || c.fault == freeze {
			out = append(out, injection{step: c.step, fault: c.fault, nth: nth, late: true})
		}
	}
	return out
}

// scenario is what callers do in every world: a hold, the same hold again by
// another entry at once and later, other holds, and hand-overs on the way.
func scenario(faults ...injection) *world {
	var in []*injection
	for _, f := range faults {
		in = append(in, &f)
	}
	w := newWorld(keeper.Settings{MaxTailBytes: 300}, in...)
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

// handOver moves the partition on purpose, as a graceful shutdown does.
func (w *world) handOver() {
	h := w.hosts[w.owner]
	f := w.take(handed)
	w.around(f, w.stopper(h, f), func() { w.give(other(h.name)) })
}

// judge returns every way in which the history breaks a promise.
func (w *world) judge() []string {
	wrong := w.wrong
	bad := func(format string, args ...any) { wrong = append(wrong, fmt.Sprintf(format, args...)) }
	ran, byRequest := map[string][]run{}, map[string]int{}
	for _, r := range w.runs {
		ran[r.key] = append(ran[r.key], r)
		byRequest[r.request]++
	}
	for key, runs := range ran {
		if len(runs) > 1 {
			bad("%s ran %d times", key, len(runs))
		}
	}
	first := map[string]string{}
	for _, q := range w.order {
		switch {
		case q.told == nil && !w.entries[q.entry].dead:
			bad("%s was never answered", q.id)
		case q.told == nil:
		case q.told.Kind == keeper.KindNotRun, q.told.Kind == keeper.KindReused:
			if byRequest[q.id] > 0 {
				bad("%s was told not run (%s), but ran", q.id, q.told.Reason)
			}
			if q.told.Kind == keeper.KindNotRun {
				w.judgeKey(q, bad)
			}
		case q.told.Kind == keeper.KindRan:
			w.judgeAnswer(q, ran[q.key], first, bad)
		case q.told.Kind == keeper.KindGone && len(ran[q.key]) == 0:
			bad("%s was told that it ran, but did not", q.id)
		}
	}
	return wrong
}

// judgeKey checks "not run" against the whole key: until another request of the
// key begins, none may run after it.
func (w *world) judgeKey(q *request, bad func(string, ...any)) {
	next := w.now
	for _, o := range w.order {
		if o.key == q.key && o != q && (o.told == nil || o.toldAt.After(q.toldAt)) && o.began.Before(next) {
			next = o.began
		}
	}
	for _, r := range w.runs {
		if r.key == q.key && r.at.Before(q.began) {
			bad("%s was told not run (%s), but its key had run", q.id, q.told.Reason)
		}
		if r.key == q.key && r.at.After(q.toldAt) && r.at.Before(next) {
			bad("%s was told not run (%s), and its key ran after", q.id, q.told.Reason)
		}
	}
}

func (w *world) judgeAnswer(q *request, runs []run, first map[string]string, bad func(string, ...any)) {
	body := string(q.told.Answer.Body)
	if len(runs) != 1 || runs[0].body != q.body {
		bad("%s was told an answer of another call", q.id)
	}
	if f := first[q.key]; f != "" && f != body {
		bad("%s was told %q after %q", q.id, body, f)
	}
	first[q.key] = body
}

func check(w *world) {
	GinkgoHelper()
	w.play(worldLength)
	Expect(w.judge()).To(BeEmpty(), w.story)
}

// story is the history, for a failure's report.
func (w *world) story() string {
	s := ""
	for _, f := range w.faults {
		s += fmt.Sprintf("fault %s at %s nth %d late %v used %v\n", f.fault, f.step, f.nth, f.late, f.used)
	}
	for _, d := range w.drills {
		s += d + "\n"
	}
	for _, q := range w.order {
		s += fmt.Sprintf("%s %s by %s began %s told %+v at %s\n", q.id, q.key, q.entry, q.began.Sub(w.start), q.told, q.toldAt.Sub(w.start))
	}
	for _, r := range w.runs {
		s += fmt.Sprintf("run of %s by %s at %s\n", r.key, r.request, r.at.Sub(w.start))
	}
	return s
}

// A passenger's hold meets one fault at one step, and is repeated. The boat
// must not be held twice, a "not run" must be true, and a repeat must not get
// another answer than the first.
var _ = Describe("A fault at a step", func() {
	It("answers everybody where nothing goes wrong", func() {
		w := scenario()
		check(w)
		for _, q := range w.order {
			want := keeper.KindRan
			if q.id == "r6" || q.id == "r0" {
				want = keeper.KindReused
			}
			Expect(q.told.Kind).To(Equal(want), q.id)
		}
	})
	for _, c := range allCells() {
		It(fmt.Sprintf("%s at %s", c.fault, c.step), c.labels(), func() {
			used := 0
			for _, f := range c.injections() {
				w := scenario(f)
				check(w)
				if w.faults[0].used {
					used++
				}
			}
			Expect(used).To(BeNumerically(">", 0), "the step is never reached")
		})
	}
})

// Two faults come together or one after the other. The same promises hold.
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
						check(w)
						reached = reached || w.faults[0].used && w.faults[1].used
					}
				}
				Expect(reached).To(BeTrue(), "%v and %v never come together", first, second)
			}
		})
	}
})
