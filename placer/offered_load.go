package placer

import (
	"math"
	"time"
)

const (
	// offeredDecay is the time constant with which the rate of requests is forgotten. A flood
	// is noticed in a fraction of the time in which it fills slots.
	offeredDecay = 500 * time.Millisecond
	// assignedDecay is the same for the prefill work assigned to engines: longer than the
	// prefill of one long prompt.
	assignedDecay = time.Second
	// minOfferedRate is the rate, in requests per second, below which a rate counts as 0.
	minOfferedRate = 0.01
	// offeredSampleWeight is the weight of a new request in the average request of a route.
	offeredSampleWeight = 0.05
	// priorLength is the weight, in output tokens, of the uncorrected expectation of output,
	// until answers correct it: about ten answers.
	priorLength = 1000.0
)

// OfferedLoad is a number of requests to a service's routes of one tier, whether placed or
// refused.
type OfferedLoad struct {
	Service string
	Tier    int
	Count   int           // requests
	Output  int           // expected output tokens of all of them
	Prefill time.Duration // time that an engine would take to prefill all of them
}

// tierLoad is the offered load of a service's routes of one tier.
type tierLoad struct {
	tier    int
	rate    float64 // requests per second, as of at
	at      time.Time
	output  float64 // expected output tokens per request
	prefill float64 // milliseconds of prefill per request

	assigned   float64 // milliseconds of prefill per second assigned to engines, as of assignedAt
	assignedAt time.Time

	expected, actual float64 // decaying sums of output tokens
}

// tierLoads is the offered load, by service.
type tierLoads map[string][]tierLoad

// tier returns the offered load of a service's routes of one tier.
func (t tierLoads) tier(service string, tier int) *tierLoad {
	list := t[service]
	for i := range list {
		if list[i].tier == tier {
			return &list[i]
		}
	}
	t[service] = append(list, tierLoad{tier: tier})
	return &t[service][len(list)]
}

// note adds requests to the offered load.
func (t tierLoads) note(now time.Time, added OfferedLoad) {
	if added.Count <= 0 {
		return
	}
	x := t.tier(added.Service, added.Tier)
	count := float64(added.Count)
	output, prefill := float64(added.Output)/count, inMilliseconds(added.Prefill)/count
	if x.at.IsZero() {
		x.output, x.prefill = output, prefill
	}
	x.rate = x.currentRate(now) + count/offeredDecay.Seconds()
	x.at = now
	weight := 1 - math.Pow(1-offeredSampleWeight, count)
	x.output += weight * (output - x.output)
	x.prefill += weight * (prefill - x.prefill)
}

// currentRate returns the requests per second, as of now.
func (x *tierLoad) currentRate(now time.Time) float64 {
	rate := x.rate * math.Exp(-now.Sub(x.at).Seconds()/offeredDecay.Seconds())
	if rate < minOfferedRate {
		return 0
	}
	return rate
}

// assign adds milliseconds of prefill to the work assigned to engines.
func (x *tierLoad) assign(now time.Time, prefill float64) {
	x.assigned = x.currentAssigned(now) + prefill/assignedDecay.Seconds()
	x.assignedAt = now
}

// currentAssigned returns the milliseconds of prefill per second assigned to engines, as of
// now.
func (x *tierLoad) currentAssigned(now time.Time) float64 {
	return x.assigned * math.Exp(-now.Sub(x.assignedAt).Seconds()/assignedDecay.Seconds())
}

// learn records the expected and the approximate actual output of a request. Expectations are
// often far off, and merely the output limit if the caller states none.
func (x *tierLoad) learn(expected, actual float64) {
	x.expected = fitDecay*x.expected + expected
	x.actual = fitDecay*x.actual + actual
}

// expectedOutput returns the output tokens per request, corrected by recent answers.
func (x *tierLoad) expectedOutput() float64 {
	return x.output * x.outputRatio()
}

// outputRatio returns the ratio of actual to expected output of recent answers.
func (x *tierLoad) outputRatio() float64 {
	return (x.actual + priorLength) / (x.expected + priorLength)
}

// assigned returns the milliseconds of prefill per second assigned to a service's engines.
func (t tierLoads) assigned(now time.Time, service string) float64 {
	sum := 0.0
	for i := range t[service] {
		sum += t[service][i].currentAssigned(now)
	}
	return sum
}

// ReceiveOffered adds the requests that other hosts refused to the offered load.
func (v *View) ReceiveOffered(now time.Time, list []OfferedLoad) {
	for _, x := range list {
		v.offered.note(now, x)
	}
}

// DrainRefused returns the requests refused since the last call, summed up by service and tier.
func (v *View) DrainRefused() []OfferedLoad {
	out := v.refused
	v.refused = nil
	return out
}

// countRefused counts refused requests.
func (v *View) countRefused(x OfferedLoad) {
	for i := range v.refused {
		r := &v.refused[i]
		if r.Service == x.Service && r.Tier == x.Tier {
			r.Count += x.Count
			r.Output += x.Output
			r.Prefill += x.Prefill
			return
		}
	}
	v.refused = append(v.refused, x)
}
