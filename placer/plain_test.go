package placer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/placer"
)

// plainSimulation simulates a plain service. Each of its workers works at a number of requests
// at once, for some time each, and takes the others in order.
type plainSimulation struct {
	workers, slots int
	work           time.Duration
	rate           float64      // requests per second
	delays         updateDelays // of reports between hosts
}

// plainRequest is one request at a plain worker.
type plainRequest struct {
	id        uint64
	host      int
	worker    *plainWorker
	asked     time.Duration // when its caller first sent it
	at        time.Duration // when it was sent to a worker
	refused   bool
	predicted time.Duration
}

// plainWorker is one plain worker.
type plainWorker struct {
	running int
	waiting []*plainRequest
}

// plainOutcome counts the results for callers of a plain service.
type plainOutcome struct {
	asked, inTime, refused int
	served                 int
	servedOnRetry          int           // of those refused, the ones served on their retry
	predicted, measured    time.Duration // sums over served requests
}

// waits returns the mean time to an answer, as predicted and as measured.
func (c plainOutcome) waits() (predicted, measured time.Duration) {
	return c.predicted / time.Duration(c.served), c.measured / time.Duration(c.served)
}

func (c plainOutcome) String() string {
	predicted, measured := c.waits()
	return fmt.Sprintf("%d asked, %d served, %d in time, %d refusals, %d served after one; %s expected, %s seen",
		c.asked, c.served, c.inTime, c.refused, c.servedOnRetry, predicted, measured)
}

// run simulates the service before eight hosts, each with a view of its own.
func (c plainSimulation) run(seed uint64, length time.Duration, req placer.Request) plainOutcome {
	const hosts = 8
	r := rand.New(rand.NewPCG(seed, 2))
	all, workers := map[string]*plainWorker{}, []placer.Worker{}
	for i := range c.workers {
		w := placer.Worker{Name: fmt.Sprintf("d-%d", i), Service: req.Service, Zone: "a", Slots: c.slots}
		workers = append(workers, w)
		all[w.Name] = &plainWorker{}
	}
	var views []*placer.View
	for range hosts {
		v := placer.New("a")
		v.SetWorkers(start, workers)
		views = append(views, v)
	}
	var queue eventQueue
	do := func(at time.Duration, f func(time.Duration)) { heap.Push(&queue, event{at, f}) }
	broadcast := func(at time.Duration, from int, apply func(*placer.View, time.Time)) {
		do(at, func(now time.Duration) {
			for i, v := range views {
				if i != from {
					apply(v, start.Add(now))
				}
			}
		})
	}
	var out plainOutcome
	var begin func(now time.Duration, j *plainRequest)
	end := func(j *plainRequest) func(time.Duration) {
		return func(now time.Duration) {
			took := now - j.at
			out.served++
			out.measured, out.predicted = out.measured+took, out.predicted+j.predicted
			if now-j.asked <= req.Target {
				out.inTime++
			}
			if j.refused {
				out.servedOnRetry++
			}
			report := func(v *placer.View, at time.Time) {
				v.BegunAfter(at, j.id, took)
				v.Ended(at, j.id, placer.Answered)
			}
			report(views[j.host], start.Add(now))
			broadcast(now+c.delays.rest, j.host, report)
			j.worker.running--
			if w := j.worker.waiting; len(w) > 0 {
				j.worker.waiting = w[1:]
				begin(now, w[0])
			}
		}
	}
	begin = func(now time.Duration, j *plainRequest) {
		j.worker.running++
		do(now+time.Duration(logNormal(r, float64(c.work), 0.5, 8*float64(c.work))), end(j))
	}
	for at := time.Duration(0); at < length; at += time.Duration(r.ExpFloat64() / c.rate * float64(time.Second)) {
		out.asked++
		j := &plainRequest{id: uint64(out.asked), host: r.IntN(hosts), asked: at}
		var try func(now time.Duration)
		try = func(now time.Duration) {
			remaining := req
			remaining.Left -= now - j.asked
			choice, refusal := views[j.host].Place(start.Add(now), j.id, remaining)
			if refusal != nil {
				// A caller retries once, if that is within a third of its time.
				if !j.refused && refusal.RetryAfter <= remaining.Left/3 {
					do(now+refusal.RetryAfter, try)
				}
				out.refused++
				j.refused = true
				return
			}
			broadcast(now+c.delays.sent, j.host, func(v *placer.View, at time.Time) { v.Receive(at, fmt.Sprint(j.host), choice.Flight) })
			j.predicted, j.worker, j.at = choice.Wait, all[choice.Worker.Name], now
			if j.worker.running < c.slots {
				begin(now, j)
				return
			}
			j.worker.waiting = append(j.worker.waiting, j)
		}
		do(at, try)
	}
	for len(queue) > 0 {
		m := heap.Pop(&queue).(event)
		m.do(m.at)
	}
	return out
}

// Guards against refusals for a wait that does not exist. A plain service gets a little more
// than it can do for some seconds, and callers wait. If the wait counted as work, it would be
// multiplied by the queue once more, and each wait would make the next one look longer: callers
// were refused for a wait of over a second, while those served waited for a quarter of one.
var _ = Describe("A plain service near its capacity", func() {
	const (
		capacity = 400.0 // requests per second: 24 slots of 60 ms
		length   = 15 * time.Second
	)
	busy := plainSimulation{workers: 4, slots: 6, work: 60 * time.Millisecond, rate: 0.97 * capacity, delays: updateDelays{3 * time.Millisecond, 50 * time.Millisecond}}
	hold := placer.Request{Service: "app", Left: time.Second, Target: 300 * time.Millisecond}

	It("has accurate predictions, and serves nearly all callers", func() {
		for seed := range uint64(3) {
			o := busy.run(401+seed, length, hold)
			AddReportEntry("near its limit", o.String())
			predicted, measured := o.waits()
			Expect(predicted).To(BeNumerically("~", measured, measured/3))
			Expect(o.served).To(BeNumerically(">", o.asked*99/100))
			Expect(o.inTime).To(BeNumerically(">", o.asked*95/100))
		}
	})

	It("stays at its capacity when twice as much arrives, with answers in time unless refused once", func() {
		flood := busy
		flood.rate = 2 * capacity
		for seed := range uint64(3) {
			o := flood.run(401+seed, length, hold)
			AddReportEntry("twice its limit", o.String())
			Expect(o.served).To(BeNumerically(">", capacity*length.Seconds()*95/100))
			Expect(o.inTime).To(BeNumerically(">", (o.served-o.servedOnRetry)*95/100))
		}
	})

	// Guards against starving callers with a tight target. Two kinds of callers, equally
	// urgent, ask one plain service for twice what it can do. It answers in order; if each kind
	// went by its own target, the one with the longer target would keep the queue too long for
	// the other, which would never be served.
	It("serves callers with a tight target as often as those with a longer one", func() {
		for _, rank := range []int{0, 1} {
			v := placer.New("a")
			v.SetWorkers(start, plainWorkers("d-1"))
			tight, loose := hold, hold
			tight.Target, loose.Target, loose.Rank = 150*time.Millisecond, 600*time.Millisecond, rank
			served := map[time.Duration]int{}
			now, id, r := start, uint64(0), rand.New(rand.NewPCG(501, 2))
			var underWay []placer.Flight
			for round := range 200 {
				callers := []placer.Request{loose, tight}
				r.Shuffle(len(callers), func(i, j int) { callers[i], callers[j] = callers[j], callers[i] })
				for _, a := range callers {
					id++
					if c, refusal := v.Place(now, id, a); refusal == nil {
						underWay = append(underWay, c.Flight)
						served[a.Target]++
					}
				}
				now = now.Add(20 * time.Millisecond)
				if round%2 == 1 && len(underWay) > 0 { // two slots of 40 ms each answer one of two requests
					v.BegunAfter(now, underWay[0].ID, 40*time.Millisecond*time.Duration(1+max(len(underWay)-2, 0)/2))
					v.Ended(now, underWay[0].ID, placer.Answered)
					underWay = underWay[1:]
				}
			}
			Expect(served[tight.Target]).To(BeNumerically(">=", served[loose.Target]*3/4), fmt.Sprint("loose ones of rank ", rank))
		}
	})

	// Guards against an infinite time of an answer. A host that has just started learns of
	// requests before it knows their workers, and so does not know how many rounds they took.
	// With zero rounds, it would refuse all callers of the service for good.
	It("learns nothing from requests that were sent before it knew their worker", func() {
		v := placer.New("a")
		v.Receive(start, "other", placer.Flight{ID: 1, Worker: "d-1", Left: time.Second})
		v.SetWorkers(start, plainWorkers("d-1"))
		v.BegunAfter(start, 1, 60*time.Millisecond)
		v.Ended(start, 1, placer.Answered)
		for id := range uint64(4) {
			c, refusal := v.Place(start, 10+id, hold)
			Expect(refusal).To(BeNil())
			Expect(c.Wait).To(And(BeNumerically(">", 0), BeNumerically("<", hold.Target)))
		}
	})
})
