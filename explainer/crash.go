package explainer

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// PartCrashes is what the logs show about one part of a request's prompt: how many of the workers
// that crashed had a request with it, and how many requests with it were answered.
type PartCrashes struct {
	Part              string
	Crashed, Answered int
}

// Crashes is what the logs show about the crashes of workers that a request was sent to. It is
// about all crashes in the logs, so that a part stands out that they share.
type Crashes struct {
	Own   []string // workers that crashed with the request, in order
	Total int      // workers that crashed with any request
	Parts []PartCrashes
}

// crashesOf collects the crashes of the workers that a request was sent to.
func crashesOf(own, all []Line) Crashes {
	var c Crashes
	parts := map[string]*PartCrashes{}
	for _, l := range own {
		if isCrash(l) && !slices.Contains(c.Own, l.Get("worker")) {
			c.Own = append(c.Own, l.Get("worker"))
		}
		for _, id := range partsOf(l) {
			parts[id] = &PartCrashes{Part: id}
		}
	}
	if len(c.Own) == 0 {
		return Crashes{}
	}
	crashed := map[string]bool{}
	counted := map[[2]string]bool{} // worker and part
	for _, l := range all {
		worker := l.Get("worker")
		for _, id := range partsOf(l) {
			p := parts[id]
			switch {
			case p == nil:
			case l.Event == "request" && l.Get("outcome") == "answered":
				p.Answered++
			case isCrash(l) && !counted[[2]string{worker, id}]:
				counted[[2]string{worker, id}] = true
				p.Crashed++
			}
		}
		if isCrash(l) {
			crashed[worker] = true
		}
	}
	c.Total = len(crashed)
	for _, p := range parts {
		c.Parts = append(c.Parts, *p)
	}
	slices.SortFunc(c.Parts, func(a, b PartCrashes) int {
		return cmp.Or(cmp.Compare(b.Crashed, a.Crashed), cmp.Compare(a.Answered, b.Answered), cmp.Compare(a.Part, b.Part))
	})
	return c
}

// isCrash reports whether a line is about a send that its worker's end broke off.
func isCrash(l Line) bool { return l.Event == "send" && l.Get("ended") == "true" }

// partsOf returns the IDs of the parts that a line names.
func partsOf(l Line) []string {
	if l.Get("parts") == "" {
		return nil
	}
	return strings.Split(l.Get("parts"), ",")
}

// String formats the crashes, a line for all and one for each part.
func (c Crashes) String() string {
	if len(c.Own) == 0 {
		return ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "crashed with it: %s (of %d workers that crashed in these logs)\n", strings.Join(c.Own, ", "), c.Total)
	for _, p := range c.Parts {
		fmt.Fprintf(&b, "part %s: %d workers crashed with it, %d requests with it were answered\n", p.Part, p.Crashed, p.Answered)
	}
	return b.String()
}
