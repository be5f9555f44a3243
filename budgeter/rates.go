package budgeter

import "time"

// rates counts events over the steps of a span. The zero value is empty.
type rates struct {
	startedAt time.Time
	step      int64
	counts    [spanSteps]float64
}

func (r *rates) slide(now time.Time, p Policy) {
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	step := int64(now.Sub(r.startedAt) / max(p.Span/spanSteps, 1))
	for range min(step-r.step, spanSteps) {
		r.step++
		r.counts[r.step%spanSteps] = 0
	}
	r.step = max(r.step, step)
}

func (r *rates) add(now time.Time, p Policy, n float64) {
	r.slide(now, p)
	r.counts[r.step%spanSteps] += n
}

// over returns the events of the last steps.
func (r *rates) over(now time.Time, p Policy, steps int64) float64 {
	r.slide(now, p)
	sum := 0.0
	for step := max(r.step-steps+1, 0); step <= r.step; step++ {
		sum += r.counts[step%spanSteps]
	}
	return sum
}

// sizes remembers the numbers of hosts of the last sizeMemory. The zero value knows none.
type sizes struct{ changes []size }

// size is a number of hosts until it changed; until is zero for the current one.
type size struct {
	hosts int
	until time.Time
}

func (s *sizes) set(now time.Time, hosts int) {
	if n := len(s.changes); n > 0 {
		if s.changes[n-1].hosts == hosts {
			return
		}
		s.changes[n-1].until = now
	}
	s.changes = append(s.changes, size{hosts: hosts})
	// A smaller number that came before a larger one no longer matters.
	kept := s.changes[:0]
	for i, c := range s.changes {
		if c.until.IsZero() || now.Sub(c.until) < sizeMemory && c.hosts > largestOf(s.changes[i+1:]) {
			kept = append(kept, c)
		}
	}
	s.changes = kept
}

func largestOf(changes []size) int {
	n := 0
	for _, c := range changes {
		n = max(n, c.hosts)
	}
	return n
}

// largest returns the largest number of hosts in the last sizeMemory.
func (s *sizes) largest(now time.Time) int {
	n := 0
	for _, c := range s.changes {
		if c.until.IsZero() || now.Sub(c.until) < sizeMemory {
			n = max(n, c.hosts)
		}
	}
	return n
}
