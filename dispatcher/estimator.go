package dispatcher

import (
	"math"
	"time"

	"github.com/cicadawood/cicadawood/messenger"
)

const (
	mostSketches  = 8192 // organisations times classes; beyond, the class decides
	fewSamples    = 8
	sketchBuckets = 28  // half powers of two: 1 to 16,000 tokens
	sketchMost    = 512 // samples before the older ones are halved
	paceWeight    = 0.05
	estimateAt    = 0.75 // quantile: long tails pull a mean far above what is usual
	longestAt     = 0.9  // quantile that still has to fit before the deadline
)

// sketch is a histogram of output lengths in half powers of two.
type sketch struct {
	counts [sketchBuckets]uint16
	total  int
}

func (s *sketch) add(tokens int) {
	i := int(2 * math.Log2(float64(max(tokens, 1))))
	s.counts[min(i, sketchBuckets-1)]++
	s.total++
	if s.total < sketchMost {
		return
	}
	s.total = 0
	for i := range s.counts {
		s.counts[i] /= 2
		s.total += int(s.counts[i])
	}
}

// quantile is the length in tokens under which a part q lies, of those that are
// longer than over.
func (s *sketch) quantile(q float64, over int) float64 {
	from := 0
	if over > 0 {
		from = min(int(2*math.Log2(float64(over))), sketchBuckets-1)
	}
	total := 0
	for _, n := range s.counts[from:] {
		total += int(n)
	}
	rank := q * float64(total)
	for i, n := range s.counts[from:] {
		if rank -= float64(n); rank <= 0 {
			return math.Exp2(float64(from+i)/2 + 0.25)
		}
	}
	return float64(over) * math.Sqrt2
}

type sketchKey struct{ class, organisation string }

// pace is the mean time on a place by token, and by request.
type pace struct {
	token, request float64 // seconds
	samples        int
}

// estimator learns how long answers of a class and organisation are and what a
// token takes. The zero value knows nothing and estimates nothing.
type estimator struct {
	sketches map[sketchKey]*sketch
	paces    map[string]*pace
}

func (e *estimator) sketch(class, organisation string) *sketch {
	key := sketchKey{class, organisation}
	s := e.sketches[key]
	if s == nil && len(e.sketches) < mostSketches {
		if e.sketches == nil {
			e.sketches = map[sketchKey]*sketch{}
		}
		s = &sketch{}
		e.sketches[key] = s
	}
	return s
}

// learn takes the tokens that a request made on one place, in the time it held
// it. With those of its earlier places they are its whole length.
func (e *estimator) learn(a messenger.Ask, tokens int, held time.Duration) {
	for _, organisation := range []string{"", a.Organisation} {
		if s := e.sketch(a.Class, organisation); s != nil {
			s.add(a.Made + tokens)
		}
	}
	if e.paces == nil {
		e.paces = map[string]*pace{}
	}
	p := e.paces[a.Class]
	if p == nil {
		p = &pace{}
		e.paces[a.Class] = p
	}
	p.samples++
	weight := max(paceWeight, 1/float64(p.samples))
	p.token += weight * (held.Seconds()/float64(max(tokens, 1)) - p.token)
	p.request += weight * (held.Seconds() - p.request)
}

// estimate is the tokens still to come of a request that has made some already,
// and the seconds they take; both are 0 while too little was seen.
func (e *estimator) estimate(a messenger.Ask, made int, policy Policy) (tokens, seconds float64) {
	return e.at(estimateAt, a, made, policy)
}

// longest is the seconds that a request may well take.
func (e *estimator) longest(a messenger.Ask, policy Policy) float64 {
	_, seconds := e.at(longestAt, a, 0, policy)
	return seconds
}

func (e *estimator) at(q float64, a messenger.Ask, made int, policy Policy) (tokens, seconds float64) {
	p := e.paces[a.Class]
	if p == nil || p.samples < fewSamples {
		return 0, 0
	}
	if policy.NoEstimate {
		return p.request / p.token, p.request
	}
	made += a.Made
	if policy.Exact {
		tokens = float64(max(a.Output-made, 1))
		return tokens, tokens * p.token
	}
	s := e.sketches[sketchKey{a.Class, a.Organisation}]
	if s == nil || s.total < fewSamples {
		s = e.sketches[sketchKey{a.Class, ""}]
	}
	tokens = s.quantile(q, made)
	if a.Output > 0 {
		tokens = min(tokens, float64(a.Output+a.Made))
	}
	tokens = max(tokens-float64(made), 1)
	return tokens, tokens * p.token
}
