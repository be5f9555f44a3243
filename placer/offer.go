package placer

import (
	"math"
	"time"
)

const (
	// offerFades is the time in which the rate of what was asked for falls to a third: a
	// flood is known in a part of the time in which it fills slots.
	offerFades = 500 * time.Millisecond
	// givenFades is the same of the reading that engines were given: longer than one long
	// prompt is read.
	givenFades = time.Second
	// offerLeast is the requests a second below which a rate counts as nothing.
	offerLeast = 0.01
	// shapeWeight is the part of a new sample in what one request is like.
	shapeWeight = 0.05
	// lengthStart is the tokens of output for which expectations count as they are, until
	// answers tell better: of about ten.
	lengthStart = 1000.0
)

// OfferedLoad is requests of a service's routes of a tier that were asked for.
type OfferedLoad struct {
	Service string
	Tier    int
	Count   int           // requests
	Output  int           // tokens of output that all of them expect
	Prefill time.Duration // that an engine would have to read for all of them
}

// offered is what is asked for of a service's routes of a tier.
type offered struct {
	tier   int
	rate   float64 // requests a second, as of at
	at     time.Time
	output float64 // tokens of output that one expects
	read   float64 // milliseconds of reading that one asks for

	given   float64 // milliseconds of reading a second that engines were given, as of givenAt
	givenAt time.Time

	expected, seen float64 // sums of the tokens that streams were to have, and that they had, fading
}

// offers is what is asked for, by service.
type offers map[string][]offered

// of is what is asked for of a service's routes of a tier.
func (o offers) of(service string, tier int) *offered {
	list := o[service]
	for i := range list {
		if list[i].tier == tier {
			return &list[i]
		}
	}
	o[service] = append(list, offered{tier: tier})
	return &o[service][len(list)]
}

// note takes that requests were asked for.
func (o offers) note(now time.Time, more OfferedLoad) {
	if more.Count <= 0 {
		return
	}
	x := o.of(more.Service, more.Tier)
	count := float64(more.Count)
	output, read := float64(more.Output)/count, inMilliseconds(more.Prefill)/count
	if x.at.IsZero() {
		x.output, x.read = output, read
	}
	x.rate = x.now(now) + count/offerFades.Seconds()
	x.at = now
	weight := 1 - math.Pow(1-shapeWeight, count)
	x.output += weight * (output - x.output)
	x.read += weight * (read - x.read)
}

// now is the requests a second that are asked for.
func (x *offered) now(now time.Time) float64 {
	rate := x.rate * math.Exp(-now.Sub(x.at).Seconds()/offerFades.Seconds())
	if rate < offerLeast {
		return 0
	}
	return rate
}

// give takes that an engine was given so many milliseconds of reading.
func (x *offered) give(now time.Time, read float64) {
	x.given = x.givenNow(now) + read/givenFades.Seconds()
	x.givenAt = now
}

// givenNow is the milliseconds of reading a second that engines are given.
func (x *offered) givenNow(now time.Time) float64 {
	return x.given * math.Exp(-now.Sub(x.givenAt).Seconds()/givenFades.Seconds())
}

// learn takes that a request that expected so many tokens of output had about so many:
// what callers expect is often far off, and a limit where they do not say.
func (x *offered) learn(expected, seen float64) {
	x.expected = fitFades*x.expected + expected
	x.seen = fitFades*x.seen + seen
}

// length is the tokens of output of one request, as far as expectations held lately.
func (x *offered) length() float64 {
	return x.output * x.told()
}

// told is the part of the tokens of output that requests expect which they have.
func (x *offered) told() float64 { return (x.seen + lengthStart) / (x.expected + lengthStart) }

// given is the milliseconds of reading a second that a service's engines are given.
func (o offers) given(now time.Time, service string) float64 {
	sum := 0.0
	for i := range o[service] {
		sum += o[service][i].givenNow(now)
	}
	return sum
}

// ReceiveOffered takes what other hosts refused.
func (v *View) ReceiveOffered(now time.Time, list []OfferedLoad) {
	for _, x := range list {
		v.offers.note(now, x)
	}
}

// DrainRefused is what was refused since the last call, a sum for each service and tier.
func (v *View) DrainRefused() []OfferedLoad {
	out := v.refused
	v.refused = nil
	return out
}

// count counts a request that was refused.
func (v *View) count(x OfferedLoad) {
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
