package soaker_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// forceWithin is how long after the store has it a configuration may come in force.
const forceWithin = 2 * time.Second

// calm waits until every host says that it is ready, and has them serve.
func (w *world) calm() {
	for _, h := range w.hosts {
		Eventually(h.asked, patience, 50*time.Millisecond).Should(BeTrue(), "%s after %v", h.name, w.faults)
	}
	w.mu.Lock()
	key := w.keys[len(w.keys)-1]
	w.mu.Unlock()
	served := 0
	for n := range 5 {
		for _, h := range w.hosts {
			for _, route := range []string{"chat", "plan", "hold", "quote"} {
				// What failed lately is avoided for a while, but serves: all must do.
				id := fmt.Sprintf("calm-%d-%s-%s", n, h.name, route)
				Eventually(func() int {
					served++
					name := fmt.Sprintf("%s-%d", id, served)
					t := send(h, name, route, key, name, "")
					w.note(t)
					return t.status
				}, 5*time.Second, 50*time.Millisecond).Should(Equal(http.StatusOK), "%s after %v", id, w.faults)
			}
		}
	}
	// Beyond what the last faults left, nothing may fail.
	Expect(served).To(BeNumerically("<=", 5*len(w.hosts)*4+20), "requests for %d answers after %v", 5*len(w.hosts)*4, w.faults)
}

// judge checks what all callers got.
func (w *world) judge() {
	broken := []string{}
	say := func(t try, what string, args ...any) {
		broken = append(broken, fmt.Sprintf("%s %s at %s: status %d, %v: %s", t.route, t.id, t.host.name, t.status, t.err, fmt.Sprintf(what, args...)))
	}
	count := map[string]int{}
	for _, t := range w.tries {
		count[fmt.Sprint(t.status)]++
		w.check(t, say)
	}
	if late := w.poisonLate(); late > lateMost {
		broken = append(broken, fmt.Sprintf("a request under which three workers had ended reached %d more", late))
	}
	broken = append(broken, w.overLimits()...)
	for _, h := range w.hosts {
		select {
		case <-h.ended:
			broken = append(broken, h.name+" ended by itself")
		default:
		}
	}
	AddReportEntry("day", fmt.Sprintf("seed %d: answers %v, faults %d", w.seed, count, len(w.faults)))
	Expect(len(w.tries)).To(BeNumerically(">", 200), "requests")
	Expect(count["200"]).To(BeNumerically(">", len(w.tries)/4), "answered of %d: %v", len(w.tries), count)
	Expect(broken).To(BeEmpty(), "seed %d, faults %v", w.seed, w.faults)
}

// check says what promise to its caller a request broke.
func (w *world) check(t try, say func(t try, what string, args ...any)) {
	runs, most := w.runs(t.id), 1
	if t.route == "chat" || t.route == "quote" {
		most = 2
	}
	if runs > most {
		say(t, "ran %d times", runs)
	}
	switch t.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusUnauthorized:
		if runs > 0 {
			say(t, "ran, though its caller was told that it did not")
		}
	case http.StatusNotFound:
		say(t, "the route was there all day")
	case http.StatusOK:
		if t.err == nil && !whole(t) {
			say(t, "not its own whole answer: %q", t.body)
		}
	}
	w.checkKey(t, say)
}

// checkKey says where a key counted that was revoked, or did not that was there.
func (w *world) checkKey(t try, say func(t try, what string, args ...any)) {
	at, revoked := w.revoked[t.key]
	switch {
	case revoked && t.status == http.StatusOK && t.begun.After(at.Add(forceWithin)) && t.host.inTouch(at.Add(-time.Second)):
		say(t, "%s was revoked %s before", t.key, t.begun.Sub(at))
	case !revoked && t.status == http.StatusUnauthorized && t.key == "key-0":
		say(t, "%s was there all day", t.key)
	}
}

// runs is how often a request ran, on all workers that ever were.
func (w *world) runs(id string) int {
	n := 0
	for _, x := range w.workers {
		n += x.RunsOf(id)
	}
	return n
}

// whole says that an answer is the request's own and complete.
func whole(t try) bool {
	if t.route == "hold" || t.route == "quote" {
		if t.body == "own" {
			return true // of a worker that sends another's answer behind its own
		}
		return strings.HasPrefix(t.body, "/"+t.route+"/"+t.id+" of d-")
	}
	var b strings.Builder
	for i := 1; i <= events; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return t.body == b.String()
}
