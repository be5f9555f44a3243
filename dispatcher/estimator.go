package dispatcher

import (
	"math"
	"time"

	"github.com/cicadawood/cicadawood/messenger"
)

const (
	maxHistograms       = 8192 // organisations times classes; beyond, the estimates of the class are used
	minSamples          = 8    // fewer give no estimate
	histogramBuckets    = 28   // half powers of two: 1 to 16,000 tokens
	histogramMaxSamples = 512  // at this number all counts are halved, so that recent samples weigh more
	sampleWeight        = 0.05 // of a new sample in a moving mean
	estimateQuantile    = 0.75 // a mean would be far above the usual length, as lengths have a long tail
	longestQuantile     = 0.9  // of the lengths that must still fit before the deadline
)

// histogram counts output lengths in half powers of two.
type histogram struct {
	counts [histogramBuckets]uint16
	total  int
}

func (h *histogram) add(tokens int) {
	i := int(2 * math.Log2(float64(max(tokens, 1))))
	h.counts[min(i, histogramBuckets-1)]++
	h.total++
	if h.total < histogramMaxSamples {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += int(h.counts[i])
	}
}

// quantile returns the length in tokens below which a fraction q lies of the
// samples that are longer than longerThan. Without such samples it returns a
// length one bucket above longerThan.
func (h *histogram) quantile(q float64, longerThan int) float64 {
	from := 0
	if longerThan > 0 {
		from = min(int(2*math.Log2(float64(longerThan))), histogramBuckets-1)
	}
	total := 0
	for _, n := range h.counts[from:] {
		total += int(n)
	}
	rank := q * float64(total)
	for i, n := range h.counts[from:] {
		if rank -= float64(n); rank <= 0 {
			return math.Exp2(float64(from+i)/2 + 0.25)
		}
	}
	return float64(longerThan) * math.Sqrt2
}

type histogramKey struct{ class, organisation string }

// holdTime is the moving mean of the time that a request holds a place, per
// token and per request.
type holdTime struct {
	perToken, perRequest float64 // seconds
	samples              int
}

// estimator learns how long the answers of a class and organisation are and how
// long a token takes. The zero value is ready to use; estimates are 0 until
// there are enough samples.
type estimator struct {
	histograms map[histogramKey]*histogram
	holdTimes  map[string]*holdTime
}

// histogramOf returns the histogram of a class and organisation, or nil if
// there are too many.
func (e *estimator) histogramOf(class, organisation string) *histogram {
	key := histogramKey{class, organisation}
	h := e.histograms[key]
	if h == nil && len(e.histograms) < maxHistograms {
		if e.histograms == nil {
			e.histograms = map[histogramKey]*histogram{}
		}
		h = &histogram{}
		e.histograms[key] = h
	}
	return h
}

// learn records the tokens that a request generated on one place and the time
// for which it held the place. The answer's whole length includes the tokens of
// its earlier attempts.
func (e *estimator) learn(a messenger.Ask, tokens int, held time.Duration) {
	for _, organisation := range []string{"", a.Organisation} {
		if h := e.histogramOf(a.Class, organisation); h != nil {
			h.add(a.Made + tokens)
		}
	}
	if e.holdTimes == nil {
		e.holdTimes = map[string]*holdTime{}
	}
	p := e.holdTimes[a.Class]
	if p == nil {
		p = &holdTime{}
		e.holdTimes[a.Class] = p
	}
	p.samples++
	weight := max(sampleWeight, 1/float64(p.samples))
	p.perToken += weight * (held.Seconds()/float64(max(tokens, 1)) - p.perToken)
	p.perRequest += weight * (held.Seconds() - p.perRequest)
}

// estimate returns how many tokens a request still has to generate after those
// already generated on its present place, and the seconds that they take. Both
// are 0 while there are too few samples.
func (e *estimator) estimate(a messenger.Ask, generated int, policy Policy) (tokens, seconds float64) {
	return e.atQuantile(estimateQuantile, a, generated, policy)
}

// longest returns the seconds that a request takes at longestQuantile.
func (e *estimator) longest(a messenger.Ask, policy Policy) float64 {
	_, seconds := e.atQuantile(longestQuantile, a, 0, policy)
	return seconds
}

func (e *estimator) atQuantile(q float64, a messenger.Ask, generated int, policy Policy) (tokens, seconds float64) {
	p := e.holdTimes[a.Class]
	if p == nil || p.samples < minSamples {
		return 0, 0
	}
	if policy.NoEstimate {
		return p.perRequest / p.perToken, p.perRequest
	}
	generated += a.Made
	if policy.Exact {
		tokens = float64(max(a.Output-generated, 1))
		return tokens, tokens * p.perToken
	}
	h := e.histograms[histogramKey{a.Class, a.Organisation}]
	if h == nil || h.total < minSamples {
		h = e.histograms[histogramKey{a.Class, ""}]
	}
	tokens = h.quantile(q, generated)
	if a.Output > 0 {
		tokens = min(tokens, float64(a.Output+a.Made))
	}
	tokens = max(tokens-float64(generated), 1)
	return tokens, tokens * p.perToken
}
