package placer

import "math"

// terms is the number of a fit's factors: of each request, of each thousand tokens
// read, and of each million pairs of a token read with one before it.
const terms = 3

// factors is a value for each term; a product of two is milliseconds.
type factors [terms]float64

const (
	// fitFades is the part of its weight that a sample keeps when the next one comes: the
	// last hundred count, a few seconds of a busy service.
	fitFades = 0.99
	// startWeight is how many samples each of the factors at the start counts for. It
	// never fades, so that a factor that no sample tells of stays where it was.
	startWeight = 0.2
	// startScale is the milliseconds of such a sample.
	startScale = 100.0
	// sweeps is how often each factor is set anew for the others; a sample moves them so
	// little that a few are enough.
	sweeps = 8
	// common is how many times longer, or shorter, than predicted a sample may be to count
	// in full, and outlier is what more than that counts as. A worker that hangs must not
	// make all others look slow.
	common  = 1.5
	outlier = 3.0
	// fitLeast is the milliseconds added to what is predicted before samples are weighed
	// by it: short ones are no more exact than that.
	fitLeast = 20.0
	// endStart is the milliseconds for which the prediction of streams' ends counts as it
	// stands, until samples tell better: about one stream.
	endStart = 1000.0
	// rateStart is the prompt tokens that an engine reads in a millisecond, and
	// restStart the milliseconds besides, until samples tell better: between what engines
	// of all sizes seen take.
	rateStart = 45.0
	restStart = 12.0
)

var (
	// factorStart is the factors until samples tell better.
	factorStart = factors{restStart, 1000 * (1/rateStart + stepTime/chunk), 0}
	// factorLeast and factorMost bound what is fitted: engines read 1 to 1,000 tokens a
	// millisecond, and nothing takes less than no time.
	factorLeast = factors{0, 1, 0}
	factorMost  = factors{1000, 1000, 10}
	// factorReach is the value of each term in the start's samples: about those of a
	// common request.
	factorReach = factors{1, 4, 20}
)

// fit is how long the engines of a service take to a request's first event when they
// have nothing else to read: a time for each request, one for each token read, and one
// for each pair of a token with those before it, by weighted least squares from what
// was seen. An error counts as a part of what was predicted.
type fit struct {
	square [terms]factors // sums of products of the terms, fading
	right  factors        // sums of the terms times what was seen, fading
	factor factors

	ends, ended float64 // sums of times until streams' last events, predicted and seen, fading
}

func newFit() *fit { return &fit{factor: factorStart} }

// termsOf is the terms of a request of so many tokens that has so many of them read.
func termsOf(read, tokens int) factors {
	n := float64(read)
	return factors{1, n / 1e3, n * math.Max(float64(tokens)-n/2, 0) / 1e6}
}

func (f *fit) predict(x factors) float64 {
	sum := 0.0
	for i := range x {
		sum += f.factor[i] * x[i]
	}
	return sum
}

// reading is the milliseconds that reading takes.
func (f *fit) reading(read, tokens int) float64 {
	x := termsOf(read, tokens)
	x[0] = 0
	return f.predict(x)
}

// rest is the milliseconds besides reading until a first event.
func (f *fit) rest() float64 { return f.factor[0] }

// learn takes the milliseconds that a request took to its first event at an engine that
// read nothing else meanwhile.
func (f *fit) learn(read, tokens int, took float64) {
	x := termsOf(read, tokens)
	predicted := f.predict(x)
	seen := math.Min(math.Max(took, predicted/outlier), predicted*outlier)
	weight := 1 / squared(predicted+fitLeast)
	if ratio := math.Max(seen/predicted, predicted/seen); ratio > common {
		weight *= squared(common / ratio)
	}
	for i := range x {
		for j := range x {
			f.square[i][j] = fitFades*f.square[i][j] + weight*x[i]*x[j]
		}
		f.right[i] = fitFades*f.right[i] + weight*x[i]*seen
	}
	for range sweeps {
		f.sweep()
	}
}

// learnEnd takes until when a stream was predicted to last, and until when it did.
func (f *fit) learnEnd(predicted, took float64) {
	f.ends = fitFades*f.ends + predicted
	f.ended = fitFades*f.ended + took
}

// lasting is how many times longer than predicted streams last, as seen lately. Failure:
// what is read while a stream runs is less than was read before it, as floods ebb, and
// streams are refused that would have ended in time.
func (f *fit) lasting() float64 { return (f.ended + endStart) / (f.ends + endStart) }

// sweep sets each factor to the best within its bounds, given the others (projected
// Gauss-Seidel).
func (f *fit) sweep() {
	for i := range f.factor {
		own := startWeight * squared(factorReach[i]/startScale)
		top, bottom := f.right[i]+own*factorStart[i], f.square[i][i]+own
		for j := range f.factor {
			if j != i {
				top -= f.square[i][j] * f.factor[j]
			}
		}
		f.factor[i] = math.Min(math.Max(top/bottom, factorLeast[i]), factorMost[i])
	}
}

func squared(x float64) float64 { return x * x }
