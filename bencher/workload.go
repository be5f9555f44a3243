// Package bencher benchmarks the routing policy under load in a discrete-event simulation:
// the production decision code runs with a simulated clock, seeded arrivals and the fake
// engine's model of service time. Networks, hosts and processes are not modelled, so that
// the figures are reproducible.
package bencher

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/loader"
)

// The phases of a run. Calls that arrived before arrivalsEnd may finish until runEnd.
const (
	warmUpEnd   = 20 * time.Second
	burstBegin  = 30 * time.Second
	burstEnd    = 90 * time.Second
	arrivalsEnd = 120 * time.Second
	runEnd      = 300 * time.Second
)

const (
	plainMedian = 40 * time.Millisecond // service time of a plain call
	plainSigma  = 0.4                   // of its log-normal distribution
	plainTokens = 40                    // size of an answer of a plain service, expressed in tokens
)

// flow describes the requests of one class to one service.
type flow struct {
	class         string
	demandShare   float64 // share of the service's demand during the burst
	burstFactor   float64 // ratio of the request rate in the burst to that outside
	medianTokens  int     // of the output length; engines only
	sigma         float64 // of the log-normal distribution of the output length
	maxTokens     int     // max output length
	promptTokens  int
	nonRepeatable bool // must not be run twice, so is not preempted either
}

// service is a backend service and its demand.
type service struct {
	name    string
	plain   bool // not an engine
	workers int
	slots   int // of each worker
	flows   []flow
}

// Workload is the traffic of one user of the system.
type Workload struct {
	Name     string
	classes  map[string]loader.Class
	services []service
}

// class returns the settings of a class; firstByte and answer are its targets.
func class(tier int, firstByte, answer time.Duration, share float64) loader.Class {
	return loader.Class{Tier: tier, FirstByteTarget: loader.Duration(firstByte), AnswerTarget: loader.Duration(answer), Share: share}
}

// Wodnik is the traffic of a booking desk when a ferry arrives: for a minute, quotes and
// holds triple, and tour groups draft trip plans; chat is constant. The engine also writes
// quotes, and chat and plans also query the booking app, so that tiers compete on both
// services.
func Wodnik() Workload {
	return Workload{
		Name: "wodnik",
		classes: map[string]loader.Class{
			"quote": class(0, 500*time.Millisecond, 2*time.Second, 0.05),
			"hold":  class(0, 500*time.Millisecond, 4*time.Second, 0.05),
			"chat":  class(1, 1700*time.Millisecond, 20*time.Second, 0.1),
			"plan":  class(2, 5*time.Second, 60*time.Second, 0.1),
		},
		services: []service{
			{name: "cicada-lm", workers: 12, slots: 8, flows: []flow{
				{class: "quote", demandShare: 0.15, burstFactor: 3, medianTokens: 20, sigma: 0.4, maxTokens: 60, promptTokens: 100},
				{class: "chat", demandShare: 0.45, burstFactor: 1, medianTokens: 120, sigma: 0.7, maxTokens: 600, promptTokens: 300},
				{class: "plan", demandShare: 0.40, burstFactor: 1.5, medianTokens: 500, sigma: 0.7, maxTokens: 2000, promptTokens: 600},
			}},
			{name: "booking-app", plain: true, workers: 4, slots: 4, flows: []flow{
				{class: "quote", demandShare: 0.35, burstFactor: 3},
				{class: "hold", demandShare: 0.20, burstFactor: 3, nonRepeatable: true},
				{class: "chat", demandShare: 0.30, burstFactor: 1},
				{class: "plan", demandShare: 0.15, burstFactor: 1.5},
			}},
		},
	}
}

// Krilo is the traffic of crew rostering: validity checks quadruple for a minute, beside
// summaries whose output lengths have a long tail, and findings letters. Some checks also
// use the model, and summaries and letters also read the crew status.
func Krilo() Workload {
	return Workload{
		Name: "krilo",
		classes: map[string]loader.Class{
			"check":   class(0, 500*time.Millisecond, 3*time.Second, 0.05),
			"summary": class(1, 5*time.Second, 60*time.Second, 0.1),
			"letter":  class(2, 15*time.Second, 120*time.Second, 0.1),
		},
		services: []service{
			{name: "drafting-models", workers: 9, slots: 8, flows: []flow{
				{class: "check", demandShare: 0.15, burstFactor: 4, medianTokens: 16, sigma: 0.4, maxTokens: 60, promptTokens: 150},
				{class: "summary", demandShare: 0.55, burstFactor: 1, medianTokens: 250, sigma: 1.2, maxTokens: 2400, promptTokens: 800},
				{class: "letter", demandShare: 0.30, burstFactor: 1, medianTokens: 500, sigma: 0.7, maxTokens: 2000, promptTokens: 800, nonRepeatable: true},
			}},
			{name: "crew-status", plain: true, workers: 3, slots: 4, flows: []flow{
				{class: "check", demandShare: 0.55, burstFactor: 4},
				{class: "summary", demandShare: 0.30, burstFactor: 1},
				{class: "letter", demandShare: 0.15, burstFactor: 1},
			}},
		},
	}
}

// call is a request and its outcome. Times count from the start of the run.
type call struct {
	id            string
	flow          *flow
	class         string
	tier          int
	org           string
	host          int
	length        int           // of the whole answer, in tokens
	serviceTime   time.Duration // at a plain service of normal speed
	arrivedAt     time.Duration
	firstTokenAt  time.Duration // 0 until the first token
	endedAt       time.Duration // 0 until the end
	generated     int           // tokens generated so far
	wasted        int           // tokens generated and discarded
	completed     bool
	refused       bool
	attempts      int // attempts so far
	worker        *worker
	waitingSince  time.Duration // start of the wait for the current attempt
	placedAt      time.Duration // start of the current attempt at its worker
	maxWait       time.Duration // longest wait for a slot
	prefillTokens int           // of the current attempt: prompt and tokens generated so far
	waiting       bool
	passedOver    bool // refused although a lower tier was granted while it waited
}

// meanCost returns the mean worker time of a request of a flow, in seconds, at a worker
// with a full batch.
func (s service) meanCost(f flow) float64 {
	if s.plain {
		return plainMedian.Seconds() * math.Exp(plainSigma*plainSigma/2) / float64(s.slots)
	}
	m := faker.DefaultModel()
	// The mean is estimated from draws, as maxTokens cuts off the tail of the distribution.
	r, sum := rand.New(rand.NewPCG(1, 1)), 0
	const draws = 4000
	for range draws {
		sum += f.drawLength(organisationDraw[r.IntN(len(organisationDraw))], r)
	}
	tokens := float64(sum) / draws
	return tokens*m.StepTime(s.slots, 0).Seconds()/float64(s.slots) + float64(f.promptTokens)*m.Prefill.Seconds()
}

// drawLength draws the output length of a request of an organisation, in tokens.
func (f flow) drawLength(organisation int, r *rand.Rand) int {
	return min(max(1, int(float64(f.medianTokens)*lengthFactors[organisation]*math.Exp(f.sigma*r.NormFloat64()))), f.maxTokens)
}

// arrivals draws a service's calls, ordered by time of arrival. demand is the work offered
// in the burst as a fraction of the service's capacity.
func (s service) arrivals(w Workload, demand float64, seed uint64) []*call {
	var all []*call
	for i := range s.flows {
		f := &s.flows[i]
		r := rand.New(rand.NewPCG(seed, uint64(i)<<8|uint64(len(s.name))))
		rate := demand * f.demandShare * float64(s.workers) / s.meanCost(*f)
		for at := time.Duration(0); at < arrivalsEnd; {
			now := rate
			if at < burstBegin || at >= burstEnd {
				now = rate / f.burstFactor
			}
			at += time.Duration(r.ExpFloat64() / now * float64(time.Second))
			org := r.IntN(len(organisationDraw))
			all = append(all, &call{
				flow: f, class: f.class, tier: w.classes[f.class].Tier, org: fmt.Sprintf("org-%d", organisationDraw[org]), host: r.IntN(hostCount),
				length: s.length(f, organisationDraw[org], r), serviceTime: time.Duration(float64(plainMedian) * math.Exp(plainSigma*r.NormFloat64())), arrivedAt: at,
			})
		}
	}
	slices.SortStableFunc(all, func(a, b *call) int { return int(a.arrivedAt - b.arrivedAt) })
	for i, c := range all {
		c.id = fmt.Sprintf("%s-%d", s.name, i)
	}
	return all
}

// length returns the length of a request's answer, in tokens.
func (s service) length(f *flow, organisation int, r *rand.Rand) int {
	if s.plain {
		return plainTokens
	}
	return f.drawLength(organisation, r)
}

// organisationDraw holds organisations by number; each entry stands for a twentieth of the
// requests. The first three of the ten organisations send 13 twentieths.
var organisationDraw = []int{0, 0, 0, 0, 0, 0, 0, 1, 1, 1, 1, 2, 2, 3, 4, 5, 6, 7, 8, 9}

// lengthFactors is the factor by which each organisation's median output length differs
// from that of the flow.
var lengthFactors = []float64{0.5, 1.5, 1, 2, 0.5, 1, 1.5, 0.7, 1.3, 3}
