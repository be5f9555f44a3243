package soaker_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/cicadawood/cicadawood/faker"
)

const (
	// poison in a body ends the worker that runs it.
	poison = "poison"
	// touch is how long a host must have been left alone to be bound by what others know.
	touch = 3 * time.Second
	// endsMost and lateMost are the workers that one request may end, and how often it may
	// reach workers later than touch after that.
	endsMost, lateMost = 3, 3
)

// poison has a caller send the same request through all hosts until it is told to stop,
// beside all other trouble. Each worker that it ends comes back under a new id.
func (w *world) poison() (end func()) {
	r := rand.New(rand.NewPCG(w.seed, 5))
	route := []string{"chat", "plan", "hold", "quote"}[w.seed%4]
	stop := make(chan struct{})
	var caller sync.WaitGroup
	caller.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(40 * time.Millisecond):
			}
			t := send(w.anyHost(r), fmt.Sprintf("poison-%d", n), route, "key-0", poison, poison)
			w.note(t)
			w.mu.Lock()
			w.doses = append(w.doses, t)
			w.mu.Unlock()
		}
	})
	return func() {
		close(stop)
		caller.Wait()
		w.reborn.Wait()
	}
}

// died takes that the poison ended a worker.
func (w *world) died(x *worker) {
	w.mu.Lock()
	w.ends = append(w.ends, time.Now())
	n := len(w.ends)
	x.dead = true
	w.mu.Unlock()
	w.reborn.Go(func() {
		time.Sleep(500 * time.Millisecond)
		w.store.Delete("servers", x.ID)
		w.begin(&faker.Worker{ID: fmt.Sprintf("%s.%d", x.ID, n), Service: x.Service, Slots: x.Slots, Events: x.Events, Delay: x.Delay})
	})
}

// poisonLate is how often the poison reached workers after all hosts in touch must have
// known of it.
func (w *world) poisonLate() int {
	if len(w.ends) < endsMost {
		return 0
	}
	late := 0
	for _, d := range w.doses {
		if d.bound && d.begun.After(w.ends[endsMost-1].Add(touch)) {
			late += w.runs(d.id)
		}
	}
	AddReportEntry("poison", fmt.Sprintf("%d ends, %d sends, %d late", len(w.ends), len(w.doses), late))
	return late
}
