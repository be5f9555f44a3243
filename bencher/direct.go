package bencher

import (
	"math/rand/v2"
	"time"
)

// direct is the baselines in which every host sends by itself, with no queue:
// what has no room waits in the worker, first come first served.
type direct struct {
	sim    *simulator
	random *rand.Rand
	turn   int
	choose bool            // between two by their reports; else in turn
	lag    time.Duration   // of the reports
	past   []report        // oldest first
	own    [hosts][]int    // sent by each host since the report that it sees, by worker
	seen   [hosts]int      // index of that report
	index  map[*worker]int // of workers
}

// report is every worker's load at one time.
type report struct {
	at    time.Duration
	loads []int
}

func newDirect(s *simulator, choose bool, lag time.Duration, seed uint64) *direct {
	d := &direct{sim: s, choose: choose, lag: lag, random: rand.New(rand.NewPCG(seed, 77)), index: map[*worker]int{}}
	for i, w := range s.workers {
		d.index[w] = i
	}
	for h := range d.own {
		d.own[h] = make([]int, len(s.workers))
	}
	return d
}

func (d *direct) arrive(now time.Duration, c *call, exclude *worker) {
	i := d.next(now, c.host)
	if d.sim.workers[i] == exclude {
		i = (i + 1) % len(d.sim.workers)
	}
	d.own[c.host][i]++
	d.sim.send(now, c, d.sim.workers[i])
}

func (d *direct) next(now time.Duration, host int) int {
	n := len(d.sim.workers)
	if !d.choose {
		d.turn++
		return d.turn % n
	}
	a := d.random.IntN(n)
	b := (a + 1 + d.random.IntN(n-1)) % n
	if d.seenLoad(now, host, b) < d.seenLoad(now, host, a) {
		return b
	}
	return a
}

// seenLoad is a worker's load by the last report that has arrived, and what
// this host sent since.
func (d *direct) seenLoad(now time.Duration, host, w int) int {
	i := d.seen[host]
	for i+1 < len(d.past) && d.past[i+1].at+d.lag <= now {
		i++
	}
	if i != d.seen[host] {
		clear(d.own[host])
		d.seen[host] = i
	}
	if len(d.past) == 0 {
		return d.own[host][w]
	}
	return d.past[i].loads[w] + d.own[host][w]
}

func (d *direct) end(time.Duration, *call, bool) {}
func (d *direct) drop(time.Duration, *call)      {}
func (d *direct) control() int                   { return 0 }
func (d *direct) tick(now time.Duration) {
	if now%(200*time.Millisecond) != 0 {
		return
	}
	r := report{at: now}
	for _, w := range d.sim.workers {
		r.loads = append(r.loads, w.load())
	}
	d.past = append(d.past, r)
}
