package registrar_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/registrar"
)

// restartInterval is the time between two restarts when a fleet restarts host by host.
const restartInterval = 200 * time.Millisecond

// restart makes a host leave and starts a new process at its address.
func (f *fleet) restart(name string, turn int) {
	f.leave(name)
	f.after(restartInterval, func() {
		self := f.nodes[name].m.Self()
		f.shutdown(name)
		f.forget(name)
		f.after(restartInterval, func() {
			successor := fmt.Sprintf("%s.%d", self.Control, turn)
			f.names = append(f.names, successor)
			f.records[successor] = registrar.Record{
				Name: successor, Zone: self.Zone, Region: self.Region, Control: self.Control, Incarnation: uint64(timeAt(f.now).UnixNano()),
			}
			f.start(f.records[successor])
		})
	})
}

// forget removes the name of a host that is gone for good.
func (f *fleet) forget(name string) {
	for i, n := range f.names {
		if n == name {
			f.names = append(f.names[:i:i], f.names[i+1:]...)
			return
		}
	}
}

// restartInTurn restarts hosts one after another for the given time.
func (f *fleet) restartInTurn(length time.Duration) {
	turn := 0
	var next func()
	next = func() {
		turn++
		f.restart(f.names[0], turn)
		if time.Duration(turn)*restartInterval < length {
			f.after(restartInterval, next)
		}
	}
	next()
	f.run(length)
}

// BenchmarkRestarts measures the cost per host of the restart of another host, in fleets
// that restart host by host.
func BenchmarkRestarts(b *testing.B) {
	const length = 10 * time.Second
	for _, hosts := range []int{30, 100, 195, 360} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(hosts, 6, 1)
				f.run(5 * time.Second)
				started, sent, links := time.Now(), f.sent(), len(f.links)
				f.restartInTurn(length)
				restarts := length.Seconds() / restartInterval.Seconds()
				per := float64(hosts) * restarts
				b.ReportMetric(float64(time.Since(started).Microseconds())/per, "us/host/restart")
				b.ReportMetric(float64(f.sent()-sent)/per, "msg/host/restart")
				b.ReportMetric(float64(len(f.links)-links)/per, "links/host/restart")
				f.run(5 * time.Second)
				if views := f.rosters(); len(views) != 1 {
					b.Fatalf("%d views after the last restart", len(views))
				}
			}
		})
	}
}

// losePower stops all hosts at once and later restarts them under new names. Each reads the
// records of the previous processes after it has written its own.
func (f *fleet) losePower(downtime time.Duration, step time.Duration) {
	stopped := slices.Clone(f.names)
	for _, name := range stopped {
		f.kill(name)
	}
	f.after(downtime, func() {
		for i, name := range stopped {
			f.after(time.Duration(i)*step, func() { f.restartAs(name, uint64(timeAt(f.now).UnixNano())) })
		}
	})
}

// restartAs starts a new process at the address of one that has stopped.
func (f *fleet) restartAs(name string, incarnation uint64) string {
	self := f.nodes[name].m.Self()
	successor := fmt.Sprintf("%s.%d", self.Control, incarnation)
	f.forget(name)
	f.previous = append(f.previous, name)
	f.names = append(f.names, successor)
	f.start(registrar.Record{Name: successor, Zone: self.Zone, Region: self.Region, Control: self.Control, Incarnation: incarnation})
	return successor
}

// staleEntries counts the entries for stopped hosts on the rosters of running ones.
func (f *fleet) staleEntries() int {
	n := 0
	for _, name := range f.names {
		for _, h := range f.nodes[name].roster.Hosts() {
			if x := f.nodes[h.Name]; x == nil || !x.up {
				n++
			}
		}
	}
	return n
}

var _ = Describe("A fleet that restarts under new names", func() {
	// Guards against the processes that ran before a power failure counting as alive, and being
	// asked for decisions, until their heartbeats are found missing.
	DescribeTable("counts no previous process as alive", func(hosts int) {
		f := newFleet(hosts, 6, 1)
		f.run(2 * time.Second)
		f.losePower(1300*time.Millisecond, 2*time.Millisecond)
		f.run(1300*time.Millisecond + time.Duration(hosts)*2*time.Millisecond)
		f.run(300 * time.Millisecond)
		Expect(f.staleEntries()).To(Equal(0))
		Expect(f.rosters()).To(HaveLen(1))
		Expect(f.deaths).To(BeEmpty(), "no failure had to be detected")
	},
		Entry("of 23 hosts", 23),
		Entry("of 195 hosts", 195),
	)

	// Guards against the previous process looking newer because the clock was set back.
	It("counts the new process as alive if the previous one looks newer", func() {
		f := newFleet(9, 3, 1)
		f.kill(victim)
		f.run(50 * time.Millisecond)
		successor := f.restartAs(victim, 0)
		f.run(beat)
		Expect(f.staleEntries()).To(Equal(0))
		_, found := f.nodes["h00"].roster.Find(successor)
		Expect(found).To(BeTrue())
		Expect(f.rosters()).To(HaveLen(1))
	})

	// Guards against a restarted host being counted twice because its previous process is
	// reported as leaving late.
	It("ignores a late record of the previous process", func() {
		f := newFleet(9, 3, 1)
		old := f.nodes[victim].m.Self()
		f.kill(victim)
		successor := f.restartAs(victim, uint64(timeAt(f.now).UnixNano()))
		f.run(beat / 2)
		old.Leaving = true
		f.storeRecord(old)
		f.run(beat / 2)
		Expect(f.staleEntries()).To(Equal(0))
		_, found := f.nodes["h00"].roster.Find(successor)
		Expect(found).To(BeTrue())
	})
})

// Guards against the cost per host of a restart elsewhere growing with the size of the fleet.
var _ = Describe("Hosts that restart one after another", func() {
	It("send as much for each restart in a large fleet as in a small one, and to the same hosts", func() {
		const length = 6 * time.Second
		cost := func(hosts int) (messages, links float64) {
			f := newFleet(hosts, 6, 1)
			sent, linked := f.sent(), len(f.links)
			f.restartInTurn(length)
			per := float64(hosts) * length.Seconds() / restartInterval.Seconds()
			return float64(f.sent()-sent) / per, float64(len(f.links)-linked) / per
		}
		small, _ := cost(30)
		large, links := cost(120)
		Expect(large).To(BeNumerically("<", 1.5*small))
		Expect(links).To(BeNumerically("<", 1.5))
	})
})
