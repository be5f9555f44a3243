package bencher

import (
	"math"
	"time"
)

// minWaitingShare is the minimum share of the burst's samples in which an organisation must
// have been waiting to count in the fairness figure.
const minWaitingShare = 0.8

// classOrg identifies an organisation's requests of one class.
type classOrg struct{ class, org string }

// tally counts the outcomes of the requests of one class.
type tally struct {
	Requests   int     `json:"requests"`
	Met        int     `json:"met"`     // both targets: time to first token and time to whole answer
	Completed  int     `json:"whole"`   // answered whole, within the targets or not
	Refused    int     `json:"refused"` // rejected without an answer
	PassedOver int     `json:"passed"`  // of the top tier: refused although a lower tier was granted while they waited
	MaxWait    float64 `json:"worst_s"` // longest wait for a slot
	MaxGap     float64 `json:"gap_s"`   // longest time in which requests of the class waited and none started
}

// measure collects the figures of one run. Tallies, goodput and wastedLong count only
// requests that arrived after the warm-up.
type measure struct {
	classes    map[string]*tally
	goodput    int // tokens of requests that met their targets
	generated  int // tokens generated
	wasted     map[string]int
	wastedLong int // tokens wasted on answers of at least longTokens
	preempted  int

	queued         map[classOrg]int // requests waiting now
	waitingSamples map[classOrg]int // samples of the burst with requests waiting
	samples        int              // of the burst
	servedTokens   map[classOrg]int // tokens generated in the burst
	gaps           map[string]*gap
}

// gap tracks the longest time in which requests of a class wait and none starts.
type gap struct {
	waiting int
	since   time.Duration
	longest time.Duration
}

// longTokens is the answer length, in tokens, from which waste is also reported separately.
const longTokens = 1500

func newMeasure() *measure {
	return &measure{
		classes: map[string]*tally{}, wasted: map[string]int{},
		queued: map[classOrg]int{}, waitingSamples: map[classOrg]int{}, servedTokens: map[classOrg]int{}, gaps: map[string]*gap{},
	}
}

// waitStarted records that a request begins to wait.
func (m *measure) waitStarted(now time.Duration, c *call) {
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

// waitEnded records that a request no longer waits.
func (m *measure) waitEnded(now time.Duration, c *call, gotSlot bool) {
	m.queued[classOrg{c.class, c.org}]--
	g := m.gaps[c.class]
	g.longest = max(g.longest, now-g.since)
	g.waiting--
	if gotSlot {
		g.since = now
	}
}

// addTokens counts tokens that were generated for a request during the burst.
func (m *measure) addTokens(now time.Duration, c *call, n int) {
	if now >= burstBegin && now < burstEnd {
		m.servedTokens[classOrg{c.class, c.org}] += n
	}
}

// sample records which organisations have requests waiting at a time in the burst.
func (m *measure) sample(now time.Duration) {
	if now < burstBegin || now >= burstEnd {
		return
	}
	m.samples++
	for k, n := range m.queued {
		if n > 0 {
			m.waitingSamples[k]++
		}
	}
}

// addCall adds the outcome of a call that has ended.
func (m *measure) addCall(w Workload, c *call) {
	if c.arrivedAt < warmUpEnd {
		return
	}
	t := m.classes[c.class]
	if t == nil {
		t = &tally{}
		m.classes[c.class] = t
	}
	target := w.classes[c.class]
	met := c.completed && c.firstTokenAt-c.arrivedAt <= target.FirstByteTarget.Std() && c.endedAt-c.arrivedAt <= target.AnswerTarget.Std()
	t.Requests++
	if c.completed {
		t.Completed++
	}
	if c.refused {
		t.Refused++
	}
	if c.passedOver {
		t.PassedOver++
	}
	if c.wasted > 0 && c.length >= longTokens {
		m.wastedLong += c.wasted
	}
	if met {
		t.Met++
		m.goodput += c.length
	}
	t.MaxWait = max(t.MaxWait, c.maxWait.Seconds())
}

// fairness returns the ratio of the most to the fewest tokens served among organisations
// that waited through most of the burst, for the class with the highest ratio. It is 0 if
// no class has two such organisations.
func (m *measure) fairness() float64 {
	lowest, highest, count := map[string]float64{}, map[string]float64{}, map[string]int{}
	for k, n := range m.waitingSamples {
		if float64(n) < minWaitingShare*float64(m.samples) {
			continue
		}
		v := float64(max(m.servedTokens[k], 1))
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
