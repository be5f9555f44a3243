// Package faker has fakes of the systems around cicadawood: the platform's Object API,
// model engines, plain services, and a TCP link that can fail. Tests, benchmarks and the
// demo use them; the product does not.
package faker

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Model describes the speed and the batch size of an engine. The zero value is not useful;
// see DefaultModel.
type Model struct {
	Step       time.Duration // base time of a batch step
	Sequence   time.Duration // added to a step by each sequence in the batch
	Prefill    time.Duration // added by each prompt token that is not cached
	Slots      int           // sequences in a batch; more wait inside the engine
	SlowFactor float64       // factor on all times; 0 means 1
}

// DefaultModel returns the model of a small engine: 8 sequences at about 20 ms per token.
func DefaultModel() Model {
	return Model{Step: 12 * time.Millisecond, Sequence: time.Millisecond, Prefill: 40 * time.Microsecond, Slots: 8}
}

// StepTime returns the time of one step for a batch of n sequences whose new ones add
// prefill uncached prompt tokens.
func (m Model) StepTime(n, prefill int) time.Duration {
	t := m.Step + time.Duration(n)*m.Sequence + time.Duration(prefill)*m.Prefill
	if m.SlowFactor > 0 {
		t = time.Duration(float64(t) * m.SlowFactor)
	}
	return t
}

// OutputLength draws an output length in tokens with the given median and a
// long tail (log-normal, sigma 0.7), always the same for the same seed.
func OutputLength(seed string, median, limit int) int {
	u := float64(xxhash.Sum64String(seed)>>11) / (1 << 53)
	v := float64(xxhash.Sum64String(seed+"v")>>11) / (1 << 53)
	normal := math.Sqrt(-2*math.Log(u+1e-12)) * math.Cos(2*math.Pi*v)
	n := max(1, int(float64(median)*math.Exp(0.7*normal)))
	if limit > 0 {
		n = min(n, limit)
	}
	return n
}
