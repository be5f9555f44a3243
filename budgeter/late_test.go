package budgeter_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/budgeter"
)

// standing is workers that stand still now and then: what is sent to them meanwhile arrives when they go on.
type standing struct {
	fleet       *fleet
	until       time.Time
	granted     []sent
	asIfArrived bool // hosts count their sends as arrived when they are granted
}

// sent is a repeat that has not arrived.
type sent struct {
	machine int
	repeat  budgeter.Repeat
}

const worker = "w"

// late is the field of that name of a loanWay.
func (s *standing) late(machine int, r budgeter.Repeat) bool {
	if !s.fleet.now.Before(s.until) {
		return false
	}
	s.granted = append(s.granted, sent{machine, r})
	b := s.fleet.way.(*loanWay).budgets[machine]
	if s.asIfArrived {
		b.Arrived(s.fleet.local(machine), r)
	} else {
		b.Unanswered(s.fleet.local(machine), r, []string{worker})
	}
	return true
}

// goOn has the workers read what they were sent.
func (s *standing) goOn() {
	f := s.fleet
	for range s.granted {
		f.seen.Repeated(f.now)
	}
	s.granted = nil
	for machine, b := range f.way.(*loanWay).budgets {
		b.WentOn(f.local(machine), worker)
	}
}

// playStanding plays a drawn order in which workers stand still for up to a span.
func playStanding(seed uint64, asIfArrived bool) *fleet {
	random := rand.New(rand.NewPCG(seed, 21))
	s := &standing{asIfArrived: asIfArrived}
	f := &fleet{now: time.Unix(1000, 0), random: random, rate: 20 + float64(seed%5)*20}
	start, share := f.now, drawShare(random)
	f.share = func(_ time.Duration, machine, machines int) float64 {
		return share(f.now.Sub(start), machine, machines)
	}
	s.fleet = f
	f.arrivesLate = func() bool { return f.now.Before(s.until) }
	w := newLoanWay(policy, f.separated, f.local)
	w.late = s.late
	f.way = w
	for range []int{2, 7, 9, 16}[seed%4] {
		f.join()
	}
	for at := time.Duration(0); at < 60*time.Second; {
		calm := time.Duration(500+random.IntN(8000)) * time.Millisecond
		f.play(calm, nil)
		length := time.Duration(200+random.IntN(9500)) * time.Millisecond
		s.until = f.now.Add(length)
		f.play(length, nil)
		f.now = f.now.Add(tick)
		s.goOn()
		at += calm + length
	}
	return f
}

// Guards against repeats that are counted when they are granted, and arrive when their workers go on.
var _ = Describe("The budgets of all hosts, of workers that stand still,", func() {
	for _, asIfArrived := range []bool{false, true} {
		It(fmt.Sprintf("hold by when repeats arrive, taken for arrived when granted: %t", asIfArrived), func() {
			var broken []string
			for seed := range uint64(*drawnOrders) {
				f := playStanding(seed, asIfArrived)
				if worst := f.seen.Worst(rule); worst.Excess() > 0 {
					broken = append(broken, fmt.Sprintf("order %d: %+v", seed, worst))
				}
			}
			AddReportEntry("broken", fmt.Sprintf("%d of %d", len(broken), *drawnOrders))
			if asIfArrived {
				Expect(broken).NotTo(BeEmpty(), "the play shows the fault")
				return
			}
			Expect(broken).To(BeEmpty())
		})
	}
})
