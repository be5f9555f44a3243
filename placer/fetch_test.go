package placer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/placer"
)

// linked is engines that fetch memory from one another.
func linked(names ...string) []placer.Worker {
	out := engines(names...)
	for i := range out {
		out[i].Address, out[i].TokenBytes, out[i].LinkMbps = out[i].Name, 131072, 740_000
	}
	return out
}

// Many ask at once for what one engine keeps. The others read it all again, which takes
// half a second of each, while the bytes could be there in a tenth of that.
var _ = Describe("A prompt whose parts another engine keeps", func() {
	var v *placer.View
	now := start.Add(time.Second)
	// read has a prompt placed, and its first event come.
	read := func(workers []placer.Worker) placer.Choice {
		v = placer.New("a")
		v.SetWorkers(start, workers)
		c, _ := v.Place(start, 1, plan(7))
		v.Begun(start.Add(300*time.Millisecond), 1)
		return c
	}
	// crowd sends more of it until one goes to another engine than its holder.
	crowd := func(holder string) *placer.Choice {
		for id := uint64(2); id < 60; id++ {
			c, refusal := v.Place(now, id, plan(7))
			Expect(refusal).To(BeNil())
			if c.Worker.Name != holder {
				return &c
			}
		}
		return nil
	}

	It("is fetched there where the queue at that one is long", func() {
		first := read(linked("e-1", "e-2"))
		c := crowd(first.Worker.Name)
		Expect(c).NotTo(BeNil())
		Expect(c.Source).To(Equal(first.Worker.Address))
		Expect(c.Flight.Prefill).To(Equal(2900))
		Expect(c.Flight.Fetch).To(Equal(6300))
	})

	It("is read again where engines can't fetch", func() {
		c := crowd(read(engines("e-1", "e-2")).Worker.Name)
		Expect(c).NotTo(BeNil())
		Expect(c.Source).To(BeEmpty())
		Expect(c.Flight.Prefill).To(Equal(9200))
	})

	It("is not fetched from one that has yet to read it", func() {
		v = placer.New("a")
		v.SetWorkers(start, linked("e-1", "e-2"))
		first, _ := v.Place(now, 1, plan(7))
		c := crowd(first.Worker.Name)
		Expect(c).NotTo(BeNil())
		Expect(c.Source).To(BeEmpty())
		Expect(c.Flight.Prefill).To(Equal(9200))
	})

	// A caller leaves while its prompt waits to be read. What it was to bring is not
	// there, and the next that counts on it is read whole, late.
	It("is not counted on where the request that was to bring it ended before", func() {
		v = placer.New("a")
		v.SetWorkers(start, linked("e-1"))
		_, _ = v.Place(now, 1, plan(7))
		v.Ended(now, 1, placer.Canceled)
		c, _ := v.Place(now, 2, plan(7))
		Expect(c.Flight.Prefill).To(Equal(9200))
	})
})
