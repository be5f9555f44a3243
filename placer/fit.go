package placer

import "math"

// termCount is the number of terms of a fit: a constant for each request, one per thousand
// prefilled tokens, and one per million pairs of a prefilled token with a preceding one.
const termCount = 3

// factors holds a value for each term. The sum of products of two factors is a time in
// milliseconds.
type factors [termCount]float64

const (
	// fitDecay is the weight that a sample keeps when the next one arrives: the last hundred
	// count, a few seconds of a busy service.
	fitDecay = 0.99
	// priorWeight is the number of samples that each prior factor counts for. It does not
	// decay, so that a factor without samples keeps its prior value.
	priorWeight = 0.2
	// priorScale is the time of a prior sample, in milliseconds.
	priorScale = 100.0
	// fitSweeps is the number of passes over the factors for each sample. A sample changes them
	// so little that a few passes suffice.
	fitSweeps = 8
	// commonRatio is the ratio of a sample to its prediction, in either direction, up to which
	// it counts in full; maxRatio is the ratio to which larger ones are clipped. A worker that
	// hangs must not make all others look slow.
	commonRatio = 1.5
	maxRatio    = 3.0
	// minFitMillis is added to the prediction, in milliseconds, before a sample is weighted by
	// it: short times are no more exact than that.
	minFitMillis = 20.0
	// priorEndMillis is the weight, in milliseconds, of the uncorrected prediction of streams'
	// ends, until samples correct it: about one stream.
	priorEndMillis = 1000.0
	// priorRate is the number of prompt tokens that an engine prefills per millisecond, and
	// priorOverhead the additional milliseconds per request, until samples correct them. They
	// lie between those of engines of all known sizes.
	priorRate     = 45.0
	priorOverhead = 12.0
)

var (
	// priorFactors are the factors before any sample.
	priorFactors = factors{priorOverhead, 1000 * (1/priorRate + stepMillis/chunkTokens), 0}
	// minFactors and maxFactors bound the factors: engines prefill 1 to 1,000 tokens per
	// millisecond, and no time is negative.
	minFactors = factors{0, 1, 0}
	maxFactors = factors{1000, 1000, 10}
	// priorTerms are the terms of the prior samples: about those of a common request.
	priorTerms = factors{1, 4, 20}
)

// fit predicts how long the engines of a service take to a request's first event if they have
// nothing else to prefill: a constant, a time per prefilled token, and a time per pair of a
// token with a preceding one. The factors are fitted to samples by weighted least squares of
// the relative error.
type fit struct {
	products [termCount]factors // decaying sums of the products of terms
	moments  factors            // decaying sums of terms multiplied by the measured time
	factor   factors

	predictedEnds, actualEnds float64 // decaying sums of predicted and actual times to streams' last events
}

func newFit() *fit { return &fit{factor: priorFactors} }

// termsOf returns the terms of a request with so many tokens, of which prefill have to be
// prefilled.
func termsOf(prefill, tokens int) factors {
	n := float64(prefill)
	return factors{1, n / 1e3, n * math.Max(float64(tokens)-n/2, 0) / 1e6}
}

func (f *fit) predict(x factors) float64 {
	sum := 0.0
	for i := range x {
		sum += f.factor[i] * x[i]
	}
	return sum
}

// prefillTime returns the time of a prefill in milliseconds, without the overhead.
func (f *fit) prefillTime(prefill, tokens int) float64 {
	x := termsOf(prefill, tokens)
	x[0] = 0
	return f.predict(x)
}

// overhead returns the milliseconds to a first event besides the prefill.
func (f *fit) overhead() float64 { return f.factor[0] }

// learn updates the fit with the measured milliseconds to the first event of a request that was
// prefilled alone.
func (f *fit) learn(prefill, tokens int, took float64) {
	x := termsOf(prefill, tokens)
	predicted := f.predict(x)
	clipped := math.Min(math.Max(took, predicted/maxRatio), predicted*maxRatio)
	weight := 1 / squared(predicted+minFitMillis)
	if ratio := math.Max(clipped/predicted, predicted/clipped); ratio > commonRatio {
		weight *= squared(commonRatio / ratio)
	}
	for i := range x {
		for j := range x {
			f.products[i][j] = fitDecay*f.products[i][j] + weight*x[i]*x[j]
		}
		f.moments[i] = fitDecay*f.moments[i] + weight*x[i]*clipped
	}
	for range fitSweeps {
		f.sweep()
	}
}

// learnEnd updates the fit with the predicted and the actual duration of a stream.
func (f *fit) learnEnd(predicted, took float64) {
	f.predictedEnds = fitDecay*f.predictedEnds + predicted
	f.actualEnds = fitDecay*f.actualEnds + took
}

// endRatio returns the ratio of actual to predicted durations of recent streams. Without it,
// streams are refused that would end in time: as a flood ebbs, less is prefilled while a stream
// runs than before it.
func (f *fit) endRatio() float64 {
	return (f.actualEnds + priorEndMillis) / (f.predictedEnds + priorEndMillis)
}

// sweep sets each factor to its optimum within the bounds, given the others (projected
// Gauss-Seidel).
func (f *fit) sweep() {
	for i := range f.factor {
		prior := priorWeight * squared(priorTerms[i]/priorScale)
		numerator, denominator := f.moments[i]+prior*priorFactors[i], f.products[i][i]+prior
		for j := range f.factor {
			if j != i {
				numerator -= f.products[i][j] * f.factor[j]
			}
		}
		f.factor[i] = math.Min(math.Max(numerator/denominator, minFactors[i]), maxFactors[i])
	}
}

func squared(x float64) float64 { return x * x }
