package runner_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/runner"
)

// limitCluster is a set of hosts that share the limit of one organisation, 90 requests a
// second.
type limitCluster struct {
	now      time.Time
	hosts    []string
	controls map[string]runner.Control
	queue    []func()
	frames   int // between hosts
}

func newLimitCluster(n int) *limitCluster {
	l := &limitCluster{now: time.Unix(1000, 0), controls: map[string]runner.Control{}}
	folder := &loader.Folder{Organisations: map[string]loader.Organisation{"dock": {Requests: 90}}}
	for i := range n {
		name := fmt.Sprint("h", i)
		l.hosts = append(l.hosts, name)
		l.controls[name] = runner.NewControl(name, func(address string, m messenger.Message) {
			l.frames++
			l.queue = append(l.queue, func() {
				if k, ok := l.controls[address]; ok {
					k.Deliver(l.now, name, m)
				}
			})
		})
	}
	for _, k := range l.controls {
		k.Configure(l.now, folder)
	}
	l.setRosters()
	return l
}

func (l *limitCluster) setRosters() {
	var records []registrar.Record
	for _, h := range l.hosts {
		records = append(records, registrar.Record{Name: h, Control: h, Incarnation: 1})
	}
	for _, h := range l.hosts {
		l.controls[h].SetRoster(l.now, registrar.NewRoster(records...))
	}
}

// lose removes a host, and updates the rosters of the others.
func (l *limitCluster) lose(name string) {
	delete(l.controls, name)
	for i, h := range l.hosts {
		if h == name {
			l.hosts = append(l.hosts[:i:i], l.hosts[i+1:]...)
			break
		}
	}
	l.setRosters()
}

// run advances the time by d, with a request every 10 ms at each of the named hosts, and
// returns how many requests a second were admitted.
func (l *limitCluster) run(d time.Duration, at ...string) float64 {
	admitted := 0
	for range d / (10 * time.Millisecond) {
		l.now = l.now.Add(10 * time.Millisecond)
		for _, h := range at {
			if l.controls[h].Admit(l.now, "dock") {
				admitted++
			}
		}
		for _, h := range l.hosts {
			l.controls[h].Tick(l.now)
		}
		for len(l.queue) > 0 {
			next := l.queue[0]
			l.queue = l.queue[1:]
			next()
		}
	}
	return float64(admitted) / d.Seconds()
}

// Guards against limits that don't hold when a host fails: an organisation is at its
// limit through three hosts, and the one that lends the limit fails, or another.
var _ = Describe("limits between hosts", func() {
	It("hold across all hosts and follow the traffic, whichever host fails", func() {
		for _, victim := range []string{"h0", "h1", "h2"} {
			l := newLimitCluster(3)
			l.run(5*time.Second, l.hosts...)
			Expect(l.run(10*time.Second, l.hosts...)).To(And(BeNumerically(">=", 80), BeNumerically("<=", 91)))
			l.lose(victim)
			Expect(l.run(10*time.Second, l.hosts...)).To(And(BeNumerically(">=", 75), BeNumerically("<=", 100)), "while another takes over")
			Expect(l.run(10*time.Second, l.hosts...)).To(And(BeNumerically(">=", 80), BeNumerically("<=", 91)))
			l.run(5*time.Second, l.hosts[0])
			Expect(l.run(10*time.Second, l.hosts[0])).To(And(BeNumerically(">=", 75), BeNumerically("<=", 91)), "all through one host")
		}
	})

	// Rosters may differ briefly, so that an entry asks a host whose roster names another
	// owner. Two hosts that lend the same limit would lend it twice.
	It("are lent only by their owner", func() {
		l := newLimitCluster(3)
		l.run(5*time.Second, l.hosts...)
		answers := 0
		for _, h := range l.hosts {
			l.frames = 0
			for _, other := range l.hosts {
				if other != h {
					l.controls[h].Deliver(l.now, other, messenger.Borrow{Organisation: "dock", Sequence: 1, Requests: 10})
				}
			}
			if l.frames > 0 {
				answers++
			}
		}
		Expect(answers).To(Equal(1))
	})

	It("cost a pair of frames a second for each active host, and none when idle", func() {
		l := newLimitCluster(3)
		l.run(10*time.Second, l.hosts...)
		Expect(l.frames).To(And(BeNumerically(">", 0), BeNumerically("<=", 2*2*12)), "the owner's own cost none")
		l.run(2 * time.Second)
		l.frames = 0
		l.run(10 * time.Second)
		Expect(l.frames).To(BeZero())
	})
})
