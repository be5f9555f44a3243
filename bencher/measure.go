package bencher

import (
	"math"
	"time"
)

// most of the burst's samples must find an organisation waiting for its served
// share to count in the fairness figure.
const mostOfBurst = 0.8

type classOrg struct{ class, org string }

// tally is what became of one class.
type tally struct {
	Requests int     `json:"requests"`
	Met      int     `json:"met"`     // their targets for first and whole
	Whole    int     `json:"whole"`   // answered whole, in time or late
	Refused  int     `json:"refused"` // answered at once
	Passed   int     `json:"passed"`  // of the top tier: refused after a lower one was granted while they waited
	Worst    float64 `json:"worst_s"` // longest wait for a place
	Gap      float64 `json:"gap_s"`   // longest that the class waited while none of it began
}

// measure collects one run's figures, of requests that arrived after the warm-up.
type measure struct {
	classes   map[string]*tally
	goodput   int // tokens of requests that met their targets
	made      int // tokens
	wasted    map[string]int
	long      int // wasted on requests of more than longTokens
	preempted int

	queued  map[classOrg]int
	found   map[classOrg]int // samples of the burst in which it waited
	samples int
	served  map[classOrg]int // tokens made in the burst
	gaps    map[string]*gap
}

// gap follows how long a class waits while none of its requests begins.
type gap struct {
	waiting int
	since   time.Duration
	longest time.Duration
}

// longTokens is the length from which a request's waste is shown apart.
const longTokens = 1500

func newMeasure() *measure {
	return &measure{
		classes: map[string]*tally{}, wasted: map[string]int{},
		queued: map[classOrg]int{}, found: map[classOrg]int{}, served: map[classOrg]int{}, gaps: map[string]*gap{},
	}
}

// waits notes that a request begins to wait.
func (m *measure) waits(now time.Duration, c *call) {
	m.queued[classOrg{c.class, c.org}]++
	g := m.gaps[c.class]
	if g == nil {
		g = &gap{}
		m.gaps[c.class] = g
	}
	if g.waiting == 0 {
		g.since = now
	}
	g.waiting++
}

// waitOver notes that one no longer waits, and whether that is for a place.
func (m *measure) waitOver(now time.Duration, c *call, began bool) {
	m.queued[classOrg{c.class, c.org}]--
	g := m.gaps[c.class]
	g.longest = max(g.longest, now-g.since)
	g.waiting--
	if began {
		g.since = now
	}
}

// token counts tokens that a request got.
func (m *measure) token(now time.Duration, c *call, n int) {
	if now >= burstBegin && now < burstEnd {
		m.served[classOrg{c.class, c.org}] += n
	}
}

func (m *measure) sample(now time.Duration) {
	if now < burstBegin || now >= burstEnd {
		return
	}
	m.samples++
	for k, n := range m.queued {
		if n > 0 {
			m.found[k]++
		}
	}
}

func (m *measure) add(w Workload, c *call) {
	if c.arrived < warmEnd {
		return
	}
	t := m.classes[c.class]
	if t == nil {
		t = &tally{}
		m.classes[c.class] = t
	}
	target := w.classes[c.class]
	met := c.finished && c.first-c.arrived <= target.FirstByteTarget.Std() && c.ended-c.arrived <= target.AnswerTarget.Std()
	t.Requests++
	if c.finished {
		t.Whole++
	}
	if c.refused {
		t.Refused++
	}
	if c.passed {
		t.Passed++
	}
	if c.lost > 0 && c.length >= longTokens {
		m.long += c.lost
	}
	if met {
		t.Met++
		m.goodput += c.length
	}
	t.Worst = max(t.Worst, c.waited.Seconds())
}

// fairness is the largest over the smallest served tokens among organisations
// that waited through most of the burst, for the class where it is worst; 0
// where no two did.
func (m *measure) fairness() float64 {
	lowest, highest, count := map[string]float64{}, map[string]float64{}, map[string]int{}
	for k, n := range m.found {
		if float64(n) < mostOfBurst*float64(m.samples) {
			continue
		}
		v := float64(max(m.served[k], 1))
		if count[k.class] == 0 {
			lowest[k.class], highest[k.class] = v, v
		}
		count[k.class]++
		lowest[k.class], highest[k.class] = min(lowest[k.class], v), max(highest[k.class], v)
	}
	worst := 0.0
	for class, n := range count {
		if n > 1 {
			worst = math.Max(worst, highest[class]/lowest[class])
		}
	}
	return worst
}
