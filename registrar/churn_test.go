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

// restartEvery is the pause between two restarts where a fleet restarts host by host.
const restartEvery = 200 * time.Millisecond

// replace has a host leave, and a new process start at its address.
func (f *fleet) replace(name string, turn int) {
	f.leave(name)
	f.after(restartEvery, func() {
		self := f.nodes[name].m.Self()
		f.left(name)
		f.remove(name)
		f.after(restartEvery, func() {
			fresh := fmt.Sprintf("%s.%d", self.Control, turn)
			f.names = append(f.names, fresh)
			f.records[fresh] = registrar.Record{
				Name: fresh, Zone: self.Zone, Region: self.Region, Control: self.Control, Incarnation: uint64(epoch(f.now).UnixNano()),
			}
			f.start(f.records[fresh])
		})
	})
}

// remove forgets the name of a host that is gone for good.
func (f *fleet) remove(name string) {
	for i, n := range f.names {
		if n == name {
			f.names = append(f.names[:i:i], f.names[i+1:]...)
			return
		}
	}
}

// churn restarts hosts one after another for a time.
func (f *fleet) churn(length time.Duration) {
	turn := 0
	var next func()
	next = func() {
		turn++
		f.replace(f.names[0], turn)
		if time.Duration(turn)*restartEvery < length {
			f.after(restartEvery, next)
		}
	}
	next()
	f.run(length)
}

// BenchmarkRestarts measures what a restart elsewhere costs a host, in fleets that restart
// host by host.
func BenchmarkRestarts(b *testing.B) {
	const length = 10 * time.Second
	for _, hosts := range []int{30, 100, 195, 360} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(hosts, 6, 1)
				f.run(5 * time.Second)
				started, sent, links := time.Now(), f.sent(), len(f.links)
				f.churn(length)
				restarts := length.Seconds() / restartEvery.Seconds()
				per := float64(hosts) * restarts
				b.ReportMetric(float64(time.Since(started).Microseconds())/per, "us/host/restart")
				b.ReportMetric(float64(f.sent()-sent)/per, "msg/host/restart")
				b.ReportMetric(float64(len(f.links)-links)/per, "links/host/restart")
				f.run(5 * time.Second)
				if views := f.views(); len(views) != 1 {
					b.Fatalf("%d views after the last restart", len(views))
				}
			}
		})
	}
}

// lose has all hosts lose their power, and come back under new names after a time: first
// their records are read, then written.
func (f *fleet) lose(away time.Duration, step time.Duration) {
	before := slices.Clone(f.names)
	for _, name := range before {
		f.kill(name)
	}
	f.after(away, func() {
		for i, name := range before {
			f.after(time.Duration(i)*step, func() { f.back(name, uint64(epoch(f.now).UnixNano())) })
		}
	})
}

// back starts a process at the address of one that is no more.
func (f *fleet) back(name string, incarnation uint64) string {
	self := f.nodes[name].m.Self()
	fresh := fmt.Sprintf("%s.%d", self.Control, incarnation)
	f.remove(name)
	f.past = append(f.past, name)
	f.names = append(f.names, fresh)
	f.start(registrar.Record{Name: fresh, Zone: self.Zone, Region: self.Region, Control: self.Control, Incarnation: incarnation})
	return fresh
}

// old is the names on rosters of running hosts that do not run any more.
func (f *fleet) old() int {
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

var _ = Describe("A fleet that comes back under new names", func() {
	// Guards against the processes of before a loss of power counting as alive, and being
	// asked, until they are found silent.
	DescribeTable("counts nobody of before", func(hosts int) {
		f := newFleet(hosts, 6, 1)
		f.run(2 * time.Second)
		f.lose(1300*time.Millisecond, 2*time.Millisecond)
		f.run(1300*time.Millisecond + time.Duration(hosts)*2*time.Millisecond)
		f.run(300 * time.Millisecond)
		Expect(f.old()).To(Equal(0))
		Expect(f.views()).To(HaveLen(1))
		Expect(f.died).To(BeEmpty(), "nobody has to be found silent")
	},
		Entry("of 23 hosts", 23),
		Entry("of 195 hosts", 195),
	)

	// Guards against a clock that was set back making the process of before look newer.
	It("counts the new process where the old one looks newer", func() {
		f := newFleet(9, 3, 1)
		f.kill(victim)
		f.run(50 * time.Millisecond)
		fresh := f.back(victim, 0)
		f.run(beat)
		Expect(f.old()).To(Equal(0))
		_, there := f.nodes["h00"].roster.Find(fresh)
		Expect(there).To(BeTrue())
		Expect(f.views()).To(HaveLen(1))
	})

	// Guards against a host that restarts being held for two, when its old process says late
	// that it is leaving.
	It("is not led astray by a late word of the process of before", func() {
		f := newFleet(9, 3, 1)
		old := f.nodes[victim].m.Self()
		f.kill(victim)
		fresh := f.back(victim, uint64(epoch(f.now).UnixNano()))
		f.run(beat / 2)
		old.Leaving = true
		f.store(old)
		f.run(beat / 2)
		Expect(f.old()).To(Equal(0))
		_, there := f.nodes["h00"].roster.Find(fresh)
		Expect(there).To(BeTrue())
	})
})

// Guards against a restart elsewhere costing a host the more the larger the fleet is.
var _ = Describe("Hosts that restart one after another", func() {
	It("send as much for each restart in a large fleet as in a small one, and to the same hosts", func() {
		const length = 6 * time.Second
		cost := func(hosts int) (messages, links float64) {
			f := newFleet(hosts, 6, 1)
			sent, linked := f.sent(), len(f.links)
			f.churn(length)
			per := float64(hosts) * length.Seconds() / restartEvery.Seconds()
			return float64(f.sent()-sent) / per, float64(len(f.links)-linked) / per
		}
		small, _ := cost(30)
		large, links := cost(120)
		Expect(large).To(BeNumerically("<", 1.5*small))
		Expect(links).To(BeNumerically("<", 1.5))
	})
})
