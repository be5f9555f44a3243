package runner_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/budgeter"
	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/prover"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/router"
	"github.com/cicadawood/cicadawood/runner"
)

// repeatFleet is a set of hosts that share the retry budget of a service.
type repeatFleet struct {
	now     time.Time
	hosts   []runner.Selector
	names   []string
	starts  int
	queue   []func()
	seen    faker.Repeats
	request int
	late    *lateSends // nil while sends arrive at once
}

// lateSends are the requests that were sent to a worker that stalls, once for each send.
type lateSends struct{ requests []string }

// readLate has the worker read them, and answer.
func (f *repeatFleet) readLate() {
	for _, id := range f.late.requests {
		f.seen.Arrived(f.now, id)
	}
	f.late = nil
	for _, h := range f.hosts {
		h.Answered(f.now, "w0")
		h.Sweep(f.now)
	}
	f.settle()
}

var fleetLimit = faker.RepeatLimit{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}

func newRepeatFleet(size int) *repeatFleet {
	f := &repeatFleet{now: time.Now(), hosts: make([]runner.Selector, size), names: make([]string, size)}
	for i := range size {
		f.restart(i)
	}
	f.spreadRoster()
	return f
}

// restart replaces a host's process by a new one, which knows nothing.
func (f *repeatFleet) restart(i int) {
	f.starts++
	name := fmt.Sprintf("h%d-%d", i, f.starts)
	var workers []placer.Worker
	for n := range 3 {
		workers = append(workers, placer.Worker{Name: fmt.Sprint("w", n), Service: "lm", Slots: 100_000})
	}
	settings := loader.Host{Name: name, Zone: "z", Repeat: loader.Repeat{Ratio: fleetLimit.Ratio, Slack: fleetLimit.Slack, Window: loader.Duration(fleetLimit.Window)}}
	f.names[i] = name
	f.hosts[i] = runner.NewSelectorOf(f.now, settings, workers, func(address string, m messenger.Message) {
		f.queue = append(f.queue, func() { f.deliver(name, address, m) })
	})
}

func (f *repeatFleet) spreadRoster() {
	var records []registrar.Record
	for _, n := range f.names {
		records = append(records, registrar.Record{Name: n, Control: n, Incarnation: 1})
	}
	for _, h := range f.hosts {
		h.SetRoster(f.now, registrar.NewRoster(records...))
	}
	f.settle()
}

func (f *repeatFleet) deliver(from, to string, m messenger.Message) {
	for i, n := range f.names {
		if n == to {
			f.hosts[i].Receive(f.now, from, m)
		}
	}
}

// settle delivers all messages.
func (f *repeatFleet) settle() {
	for len(f.queue) > 0 {
		next := f.queue[0]
		f.queue = f.queue[1:]
		next()
	}
}

// call sends a request through a host, and as many repeats of it as wanted and granted.
func (f *repeatFleet) call(host, repeats int) (granted int) {
	f.request++
	id := fmt.Sprint(f.request)
	f.seen.Requested(f.now)
	for n := range repeats + 1 {
		charge := router.ChargeRepeat
		if n == 0 {
			charge = router.ChargeFirst
		}
		placed := f.hosts[host].Charge(f.now, placer.Request{Service: "lm", Left: time.Second}, charge)
		f.settle()
		placement, ok := placed()
		if !ok {
			break
		}
		if f.late != nil {
			f.late.requests = append(f.late.requests, id)
			f.hosts[host].RepeatsEnded(f.now, router.RepeatsEnded{Unanswered: []budgeter.Repeat{placement.Repeat}, Workers: []string{"w0"}})
		} else {
			f.hosts[host].RepeatsEnded(f.now, router.RepeatsEnded{Arrived: []budgeter.Repeat{placement.Repeat}})
			f.seen.Arrived(f.now, id)
		}
		granted += min(n, 1)
	}
	f.settle()
	return granted
}

// play sends requests for a time, a share of which want to be sent again.
func (f *repeatFleet) play(span time.Duration, random *rand.Rand, share float64) {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(25 * time.Millisecond) {
		repeats := 0
		if random.Float64() < share {
			repeats = 3
		}
		f.call(random.IntN(len(f.hosts)), repeats)
	}
}

// Guards against a retry budget that each new process of a host spends once more.
var _ = Describe("The retry budget of all hosts", func() {
	It("holds while half of the hosts are killed again and again", func() {
		f, random := newRepeatFleet(7), rand.New(rand.NewPCG(1, 1))
		f.play(25*time.Second, random, 0)
		for range 6 {
			f.play(2*time.Second, random, 0.6)
			for _, i := range random.Perm(7)[:4] {
				f.restart(i)
			}
			f.spreadRoster()
		}
		f.play(20*time.Second, random, 0.6)
		worst := f.seen.Worst(fleetLimit)
		Expect(worst.Excess()).To(BeNumerically("<=", 0), "%+v", worst)
	})

	// Guards against repeats that count when they are granted, and arrive when their worker runs again.
	It("holds while a worker reads what it was sent much later", Label(prover.Cell(prover.Sent, prover.LateArrival)), func() {
		f, random := newRepeatFleet(3), rand.New(rand.NewPCG(2, 2))
		f.play(25*time.Second, random, 0)
		f.late = &lateSends{}
		f.play(6*time.Second, random, 0.9)
		f.readLate()
		f.play(12*time.Second, random, 0.9)
		worst := f.seen.Worst(fleetLimit)
		Expect(worst.Excess()).To(BeNumerically("<=", 0), "%+v", worst)
		Expect(worst.Repeats).To(BeNumerically(">", fleetLimit.Slack/2))
	})
})
