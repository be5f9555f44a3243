package bencher

import (
	"math/rand/v2"
	"time"
)

// direct implements the baselines in which each host picks workers by itself and sends
// immediately, without a queue: calls beyond a worker's slots wait in the worker, first
// come, first served.
type direct struct {
	sim        *simulator
	random     *rand.Rand
	lastPicked int
	twoChoices bool             // the less loaded of two random workers; otherwise round-robin
	reportLag  time.Duration    // until a report is visible to the hosts
	reports    []report         // oldest first
	sentSince  [hostCount][]int // calls sent by each host since the report that it sees, by worker
	seenReport [hostCount]int   // index in reports of the report that each host sees
	index      map[*worker]int  // of workers in sim.workers
}

// report is the load of every worker at a point in time.
type report struct {
	at    time.Duration
	loads []int
}

func newDirect(s *simulator, twoChoices bool, reportLag time.Duration, seed uint64) *direct {
	d := &direct{sim: s, twoChoices: twoChoices, reportLag: reportLag, random: rand.New(rand.NewPCG(seed, 77)), index: map[*worker]int{}}
	for i, w := range s.workers {
		d.index[w] = i
	}
	for h := range d.sentSince {
		d.sentSince[h] = make([]int, len(s.workers))
	}
	return d
}

func (d *direct) arrive(now time.Duration, c *call, exclude *worker) {
	i := d.pickWorker(now, c.host)
	if d.sim.workers[i] == exclude {
		i = (i + 1) % len(d.sim.workers)
	}
	d.sentSince[c.host][i]++
	d.sim.send(now, c, d.sim.workers[i])
}

// pickWorker returns the index of the worker that a host sends its next call to.
func (d *direct) pickWorker(now time.Duration, host int) int {
	n := len(d.sim.workers)
	if !d.twoChoices {
		d.lastPicked++
		return d.lastPicked % n
	}
	a := d.random.IntN(n)
	b := (a + 1 + d.random.IntN(n-1)) % n
	if d.seenLoad(now, host, b) < d.seenLoad(now, host, a) {
		return b
	}
	return a
}

// seenLoad returns a worker's load as a host sees it: the load in the last report that has
// arrived plus the calls that the host has sent since.
func (d *direct) seenLoad(now time.Duration, host, w int) int {
	i := d.seenReport[host]
	for i+1 < len(d.reports) && d.reports[i+1].at+d.reportLag <= now {
		i++
	}
	if i != d.seenReport[host] {
		clear(d.sentSince[host])
		d.seenReport[host] = i
	}
	if len(d.reports) == 0 {
		return d.sentSince[host][w]
	}
	return d.reports[i].loads[w] + d.sentSince[host][w]
}

func (d *direct) release(time.Duration, *call, bool) {}
func (d *direct) withdraw(time.Duration, *call)      {}
func (d *direct) controlBytes() int                  { return 0 }

// tick records a report every 200 ms.
func (d *direct) tick(now time.Duration) {
	if now%(200*time.Millisecond) != 0 {
		return
	}
	r := report{at: now}
	for _, w := range d.sim.workers {
		r.loads = append(r.loads, w.load())
	}
	d.reports = append(d.reports, r)
}
