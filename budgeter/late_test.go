package budgeter_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/budgeter"
)

// stallWay is a loanWay whose workers stall: what is sent to them meanwhile arrives when they run again.
type stallWay struct {
	*loanWay
	fleet       *fleet
	until       time.Time
	waiting     int  // repeats that were sent and have not arrived
	asIfArrived bool // hosts count their sends as arrived when they are granted
}

const stalledWorker = "w"

func (s *stallWay) stalled() bool { return s.fleet.now.Before(s.until) }

// arrivesLate is the field late of the loanWay.
func (s *stallWay) arrivesLate(machine int, r budgeter.Repeat) bool {
	if !s.stalled() {
		return false
	}
	s.waiting++
	now := s.fleet.local(machine)
	if s.asIfArrived {
		s.budgets[machine].Arrived(now, r)
	} else {
		s.budgets[machine].Unanswered(now, r, []string{stalledWorker})
	}
	return true
}

// run has the workers read what they were sent, and answer.
func (s *stallWay) run() {
	for range s.waiting {
		s.fleet.seen.Repeated(s.fleet.now)
	}
	s.waiting = 0
	for machine, b := range s.budgets {
		b.WorkerAnswered(s.fleet.local(machine), stalledWorker)
	}
}

// playStalls plays a drawn order in which workers stall for up to a span.
func playStalls(seed uint64, asIfArrived bool) *fleet {
	random := rand.New(rand.NewPCG(seed, 21))
	f := &fleet{now: time.Unix(1000, 0), random: random, rate: 20 + float64(seed%5)*20}
	start, share := f.now, drawShare(random)
	f.share = func(_ time.Duration, machine, machines int) float64 {
		return share(f.now.Sub(start), machine, machines)
	}
	f.callers = drawCallers(random)
	s := &stallWay{loanWay: newLoanWay(policy, f.separated, f.local), fleet: f, asIfArrived: asIfArrived}
	s.late, f.arrivesLate = s.arrivesLate, s.stalled
	f.way = s
	for range []int{2, 7, 9, 16}[seed%4] {
		f.join()
	}
	for f.now.Sub(start) < 60*time.Second {
		f.play(time.Duration(500+random.IntN(8000))*time.Millisecond, nil)
		length := time.Duration(200+random.IntN(9500)) * time.Millisecond
		s.until = f.now.Add(length)
		f.play(length, nil)
		f.now = f.now.Add(tick)
		s.run()
	}
	return f
}

// brokenStalls describes the drawn orders in which more repeats arrive than the bound allows.
func brokenStalls(asIfArrived bool) []string {
	var broken []string
	for seed := range uint64(*drawnOrders) {
		if worst := playStalls(seed, asIfArrived).seen.Worst(rule); worst.Excess() > 0 {
			broken = append(broken, fmt.Sprintf("order %d: %+v", seed, worst))
		}
	}
	AddReportEntry("broken", fmt.Sprintf("%d of %d", len(broken), *drawnOrders))
	return broken
}

// Guards against repeats that are counted when they are granted, and arrive when their workers run again.
var _ = Describe("The budgets of all hosts, of workers that stall,", func() {
	It("hold by when repeats arrive", func() {
		Expect(brokenStalls(false)).To(BeEmpty())
	})

	It("are played so that a count at the grant does not hold", func() {
		Expect(brokenStalls(true)).NotTo(BeEmpty())
	})
})
