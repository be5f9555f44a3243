package placer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/placer"
)

// linkedEngines returns engines that can fetch cached tokens from each other.
func linkedEngines(names ...string) []placer.Worker {
	out := engines(names...)
	for i := range out {
		out[i].Address, out[i].TokenBytes, out[i].LinkMbps = out[i].Name, 131072, 740_000
	}
	return out
}

// Guards against prefilling a prompt again at other engines, when many callers ask for parts
// that one engine has cached. That takes half a second of each engine, while a fetch takes a
// tenth of that.
var _ = Describe("A prompt whose parts another engine has cached", func() {
	var v *placer.View
	now := start.Add(time.Second)
	// placeFirst places a prompt and has its first event occur.
	placeFirst := func(workers []placer.Worker) placer.Choice {
		v = placer.New("a")
		v.SetWorkers(start, workers)
		c, _ := v.Place(start, 1, plan(7))
		v.Begun(start.Add(300*time.Millisecond), 1)
		return c
	}
	// placeUntilOtherEngine places copies until one goes to another engine than the holder.
	placeUntilOtherEngine := func(holder string) *placer.Choice {
		for id := uint64(2); id < 60; id++ {
			c, refusal := v.Place(now, id, plan(7))
			Expect(refusal).To(BeNil())
			if c.Worker.Name != holder {
				return &c
			}
		}
		return nil
	}

	It("is fetched if the queue at that engine is long", func() {
		first := placeFirst(linkedEngines("e-1", "e-2"))
		c := placeUntilOtherEngine(first.Worker.Name)
		Expect(c).NotTo(BeNil())
		Expect(c.Source).To(Equal(first.Worker.Address))
		Expect(c.Flight.Prefill).To(Equal(2900))
		Expect(c.Flight.Fetch).To(Equal(6300))
	})

	It("is prefilled again if engines can't fetch", func() {
		c := placeUntilOtherEngine(placeFirst(engines("e-1", "e-2")).Worker.Name)
		Expect(c).NotTo(BeNil())
		Expect(c.Source).To(BeEmpty())
		Expect(c.Flight.Prefill).To(Equal(9200))
	})

	It("is not fetched from an engine that has yet to prefill it", func() {
		v = placer.New("a")
		v.SetWorkers(start, linkedEngines("e-1", "e-2"))
		first, _ := v.Place(now, 1, plan(7))
		c := placeUntilOtherEngine(first.Worker.Name)
		Expect(c).NotTo(BeNil())
		Expect(c.Source).To(BeEmpty())
		Expect(c.Flight.Prefill).To(Equal(9200))
	})

	// Guards against counting on parts whose request was canceled before its prefill: the next
	// request would be prefilled as a whole, late.
	It("is not counted as cached if its request ended before the first event", func() {
		v = placer.New("a")
		v.SetWorkers(start, linkedEngines("e-1"))
		_, _ = v.Place(now, 1, plan(7))
		v.Ended(now, 1, placer.Canceled)
		c, _ := v.Place(now, 2, plan(7))
		Expect(c.Flight.Prefill).To(Equal(9200))
	})
})
