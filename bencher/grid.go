package bencher

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cicadawood/cicadawood/dispatcher"
)

// Row is a variant of the routing policy, one row in the tables.
type Row struct {
	Name       string
	cellSize   int // max workers per cell; 0 puts all workers in one cell
	policy     dispatcher.Policy
	direct     bool // each host picks workers by itself, without dispatchers
	twoChoices bool // with direct: the less loaded of two random workers, by their reports
}

// Rows returns all rows, baselines first.
func Rows() []Row {
	return []Row{
		{Name: "round-robin", direct: true},
		{Name: "two-choices", direct: true, twoChoices: true},
		{Name: "strict-tiers", policy: dispatcher.Policy{NoShare: true, NoPreempt: true, NoEstimate: true, NoFairness: true, NoRefusal: true, NoPostpone: true, NoBreaker: true}},
		{Name: "ours"},
		{Name: "no-preempt", policy: dispatcher.Policy{NoPreempt: true}},
		{Name: "no-estimate", policy: dispatcher.Policy{NoEstimate: true}},
		{Name: "no-fairness", policy: dispatcher.Policy{NoFairness: true}},
		{Name: "no-refusal", policy: dispatcher.Policy{NoRefusal: true}},
		{Name: "no-postpone", policy: dispatcher.Policy{NoPostpone: true}},
		{Name: "no-breaker", policy: dispatcher.Policy{NoBreaker: true}},
		{Name: "no-share", policy: dispatcher.Policy{NoShare: true}},
		{Name: "cell-1", cellSize: 1},
		{Name: "cell-4", cellSize: 4},
		{Name: "cell-6", cellSize: 6},
		{Name: "cell-16", cellSize: 16},
		{Name: "bound", policy: dispatcher.Policy{Exact: true}},
	}
}

// Point is one combination of the benchmark grid.
type Point struct {
	Workload  Workload
	Demand    float64
	Condition Condition
	Row       Row
}

// Result holds the figures of one service at a Point. Counts are summed over the seeds.
type Result struct {
	Workload     string            `json:"workload"`
	Service      string            `json:"service"`
	Demand       float64           `json:"demand"`
	Condition    Condition         `json:"condition"`
	Row          string            `json:"row"`
	Seeds        int               `json:"seeds"`
	Classes      map[string]*tally `json:"classes"`
	Goodput      float64           `json:"goodput_tokens_s"` // mean over the seeds, of requests that met their targets
	MadeTokens   int               `json:"made_tokens"`
	WastedTokens map[string]int    `json:"wasted_tokens"` // by cause
	WastedLong   int               `json:"wasted_long"`   // part of WastedTokens spent on answers of at least longTokens
	Preempted    int               `json:"preempted"`
	Fairness     float64           `json:"fairness"` // median over the seeds, of measure.fairness
	ControlBytes float64           `json:"control_bytes_request"`
}

// Run simulates a point with the seeds from first to last and returns one result for each
// service.
func (p Point) Run(first, last uint64) []Result {
	var all []Result
	for _, s := range p.Workload.services {
		r := Result{
			Workload: p.Workload.Name, Service: s.name, Demand: p.Demand, Condition: p.Condition, Row: p.Row.Name,
			Classes: map[string]*tally{}, WastedTokens: map[string]int{},
		}
		requests := 0
		var fairness []float64
		for seed := first; seed <= last; seed++ {
			sim, calls := p.simulate(s, seed)
			r.add(sim.measure)
			fairness = append(fairness, sim.measure.fairness())
			r.ControlBytes += float64(sim.router.controlBytes())
			requests += len(calls)
		}
		r.Goodput /= float64(r.Seeds) * (arrivalsEnd - warmUpEnd).Seconds()
		r.ControlBytes /= float64(requests)
		slices.Sort(fairness)
		r.Fairness = fairness[len(fairness)/2]
		all = append(all, r)
	}
	return all
}

// simulate runs one service with one seed. It returns the finished simulator and its calls.
func (p Point) simulate(s service, seed uint64) (*simulator, []*call) {
	sim := newSimulator(p.Workload, s, p.Condition)
	reportLag := 500 * time.Millisecond
	if p.Condition == LateReports {
		reportLag = 5 * time.Second
	}
	if p.Row.direct {
		sim.router = newDirect(sim, p.Row.twoChoices, reportLag, seed)
	} else {
		sim.router = newRouted(sim, p.Row.cellSize, p.Row.policy, seed)
	}
	calls := s.arrivals(p.Workload, p.Demand, seed)
	sim.run(calls)
	return sim, calls
}

// add adds the figures of one run.
func (r *Result) add(m *measure) {
	r.Seeds++
	r.Goodput += float64(m.goodput)
	r.MadeTokens += m.generated
	r.WastedLong += m.wastedLong
	r.Preempted += m.preempted
	for cause, n := range m.wasted {
		r.WastedTokens[cause] += n
	}
	for class, t := range m.classes {
		sum := r.Classes[class]
		if sum == nil {
			sum = &tally{}
			r.Classes[class] = sum
		}
		sum.Requests += t.Requests
		sum.Met += t.Met
		sum.Completed += t.Completed
		sum.Refused += t.Refused
		sum.PassedOver += t.PassedOver
		sum.MaxWait = max(sum.MaxWait, t.MaxWait)
		sum.MaxGap = max(sum.MaxGap, m.gaps[class].longest.Seconds())
	}
}

// RunAll runs points, at most atOnce at a time, and returns their results in order.
func RunAll(points []Point, first, last uint64, atOnce int) []Result {
	results := make([][]Result, len(points))
	slots := make(chan struct{}, atOnce)
	var tasks sync.WaitGroup
	for i, p := range points {
		slots <- struct{}{}
		tasks.Go(func() {
			results[i] = p.Run(first, last)
			<-slots
		})
	}
	tasks.Wait()
	var all []Result
	for _, r := range results {
		all = append(all, r...)
	}
	return all
}

// Sorted returns the results in the order of the tables. The rows of a table keep their
// order.
func Sorted(results []Result) []Result {
	out := slices.Clone(results)
	slices.SortStableFunc(out, func(a, b Result) int {
		return cmp.Or(-strings.Compare(a.Workload, b.Workload), strings.Compare(a.Service, b.Service),
			cmp.Compare(a.Demand, b.Demand), cmp.Compare(conditionOrder(a.Condition), conditionOrder(b.Condition)))
	})
	return out
}

func conditionOrder(k Condition) int {
	return slices.Index([]Condition{NoFault, SlowWorker, WorkerCrash, LateReports}, k)
}
