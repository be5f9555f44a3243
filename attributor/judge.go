package attributor

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Judge evaluates the crashes whose reports have arrived and that are proven, and returns the parts that are found to
// cause them. It also returns the crashes that a cause explains, which say nothing about other
// requests.
func (a *Attributor) Judge(now time.Time) (found []Finding, explained []Mark) {
	for _, c := range a.crashes {
		if c.judged || !c.proven || now.Sub(c.At) < settleTime {
			continue
		}
		c.judged = true
		if a.explains(now, c) {
			c.explained = true
			explained = append(explained, c.Mark)
			continue
		}
		for p, x := range c.parts {
			a.mark(now, c.Mark, p, x)
		}
	}
	a.crashes = slices.DeleteFunc(a.crashes, func(c *crash) bool { return now.Sub(c.reportedAt) >= minRestartTime })
	for {
		causes := a.causes()
		if len(causes) == 0 {
			return found, explained
		}
		for _, f := range causes {
			explained = append(explained, f.Crashes...)
		}
		found = append(found, causes...)
		a.clear(causes)
	}
}

// explains reports whether a part that is held back was at a crash.
func (a *Attributor) explains(now time.Time, c *crash) bool {
	if a.known == nil {
		return false
	}
	for p := range c.parts {
		if a.known.Held(now, p) {
			return true
		}
	}
	return false
}

// mark adds a crash to a part's record, if a request with it was not sent before the crash before.
func (a *Attributor) mark(now time.Time, m Mark, p PartID, x *presence) {
	r := a.records[p]
	if r == nil {
		r = a.add(p)
		r.served = a.recent.servedSince(p, now.Add(-servedFor))
	}
	if last := r.lastMark(); x.sentAt.Before(last) || m.At.Sub(last) < minCrashGap {
		return
	}
	r.marks = append(r.marks, m)
	for _, content := range x.contents {
		r.contents = addContent(r.contents, content)
	}
}

// addContent adds the content of a request to those of different ones.
func addContent(list []uint64, content uint64) []uint64 {
	if len(list) >= minRequests || slices.Contains(list, content) {
		return list
	}
	return append(list, content)
}

// causes returns the parts with most marks among those that have enough, and of these the ones that
// fewest requests have. Several are left if they come only together, so that nothing distinguishes
// them.
func (a *Attributor) causes() []Finding {
	var list []Finding
	most := 0
	for p, r := range a.records {
		if a.isCause(p, r) {
			list = append(list, Finding{Part: p, Crashes: slices.Clone(r.marks), Requests: len(r.contents)})
			most = max(most, len(r.marks))
		}
	}
	list = slices.DeleteFunc(list, func(f Finding) bool { return len(f.Crashes) < most })
	fewest := math.MaxInt
	for _, f := range list {
		fewest = min(fewest, a.recent.sent(f.Part))
	}
	list = slices.DeleteFunc(list, func(f Finding) bool { return a.recent.sent(f.Part) > fewest })
	slices.SortFunc(list, func(x, y Finding) int { return cmp.Compare(x.Part, y.Part) })
	return list
}

// isCause reports whether a part has enough marks to be taken for the cause of crashes. For a part
// that was served before, those don't count that others explain better.
func (a *Attributor) isCause(p PartID, r *record) bool {
	switch {
	case a.onProbation(p):
		return len(r.marks) > 0
	case len(r.contents) < minRequests:
		return false
	case r.served:
		return len(r.marks) >= maxMarksOfServed && a.unexplained(r) >= maxMarksOfServed
	}
	return len(r.marks) >= maxMarks
}

// unexplained returns how many of a part's marks are of crashes at which no part was that comes
// more than once and was not served before.
func (a *Attributor) unexplained(r *record) int {
	n := 0
	for _, m := range r.marks {
		if !a.hasBetterCause(m) {
			n++
		}
	}
	return n
}

func (a *Attributor) hasBetterCause(m Mark) bool {
	for _, r := range a.records {
		if !r.served && len(r.marks) > 1 && len(r.contents) >= minRequests && slices.ContainsFunc(r.marks, m.same) {
			return true
		}
	}
	return false
}

func (a *Attributor) onProbation(p PartID) bool { return a.known != nil && a.known.OnProbation(p) }

// clear removes the records of causes, and the marks of other parts for the crashes that they
// explain.
func (a *Attributor) clear(causes []Finding) {
	for _, f := range causes {
		delete(a.records, f.Part)
	}
	for _, f := range causes {
		isExplained := func(m Mark) bool { return slices.ContainsFunc(f.Crashes, m.same) }
		a.unmark(isExplained)
		for _, c := range a.crashes {
			c.explained = c.explained || isExplained(c.Mark)
		}
	}
}
