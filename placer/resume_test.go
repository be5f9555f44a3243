package placer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/quarantiner"
	"github.com/cicadawood/cicadawood/resumer"
)

// versionedEngine returns an engine at a software version.
func versionedEngine(name, version string) placer.Worker {
	return placer.Worker{Name: name, Service: "s", Address: name, Slots: 8, CacheTokens: 100000, EventTokens: 4, Incarnation: "1", Version: version}
}

var _ = Describe("A stream that goes on only at the version that began it", func() {
	now := time.Unix(1000, 0)
	bound := func(name, version string) placer.Request {
		return placer.Request{
			Service: "s", Prompt: 100, Output: 100, Left: 10 * time.Second, Resumed: true,
			Bound: &resumer.Worker{Service: "s", Name: name, Incarnation: "1", Version: version},
		}
	}
	newView := func(workers ...placer.Worker) *placer.View {
		v := placer.New("z")
		v.SetWorkers(now, workers)
		v.SetConfirmed(now)
		return v
	}

	It("is placed on a worker of that version, however busy", func() {
		v := newView(versionedEngine("a", "v1"), versionedEngine("b", "v2"), versionedEngine("c", "v1"))
		for id := range uint64(7) {
			c, refusal := v.Place(now, id+1, bound("gone", "v2"))
			Expect(refusal).To(BeNil())
			Expect(c.Worker.Name).To(Equal("b"))
		}
	})

	It("is refused for good if no worker of that version is left", func() {
		v := newView(versionedEngine("a", "v1"))
		_, refusal := v.Place(now, 1, bound("b", "v2"))
		Expect(refusal).To(Equal(&placer.Refusal{Reason: placer.ReasonVersionGone}))
	})

	It("goes on only at the same start of the same worker if its version is not known", func() {
		v := newView(versionedEngine("a", ""), versionedEngine("b", ""))
		c, refusal := v.Place(now, 1, bound("b", ""))
		Expect(refusal).To(BeNil())
		Expect(c.Worker.Name).To(Equal("b"))
		_, refusal = v.Place(now, 2, bound("c", ""))
		Expect(refusal.Reason).To(Equal(placer.ReasonVersionGone))
	})

	// Guards against a worker that has started again at another version, while the list still
	// has its earlier start.
	It("is not placed on a worker whose connection broke until the list was current again", func() {
		v := newView(versionedEngine("a", "v1"), versionedEngine("b", "v2"))
		c, refusal := v.Place(now, 1, bound("a", "v1"))
		Expect(refusal).To(BeNil())
		v.Ended(now, c.Flight.ID, placer.Disconnected)
		_, refusal = v.Place(now, 2, bound("a", "v1"))
		Expect(refusal.Reason).To(Equal(placer.ReasonUnconfirmed))
		Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
		v.SetConfirmed(now.Add(1300 * time.Millisecond))
		_, refusal = v.Place(now, 3, bound("a", "v1"))
		Expect(refusal).To(BeNil())
	})

	// Guards against a stream that is cut for new ones that may come.
	It("is not refused for the slots that more urgent routes will want", func() {
		v := newView(versionedEngine("a", "v1"), versionedEngine("b", "v2"), versionedEngine("c", "v1"), versionedEngine("d", "v2"))
		urgent := placer.Request{Service: "s", Prompt: 100, Output: 4000, Left: 10 * time.Second, Target: 300 * time.Millisecond}
		flights := map[string]uint64{}
		at := now
		for id := range uint64(400) {
			at = at.Add(5 * time.Millisecond)
			if c, refusal := v.Place(at, id+1, urgent); refusal == nil {
				flights[c.Worker.Name] = c.Flight.ID
			}
		}
		v.Ended(at, flights["b"], placer.Answered)
		later := bound("d", "v2")
		later.Tier, later.Rank = 2, 2
		c, refusal := v.Place(at, 1000, later)
		Expect(refusal).To(BeNil())
		Expect(c.Worker.Version).To(Equal("v2"))
	})

	// Guards against a refusal of copies of a request that may crash workers: they keep to one
	// worker, which may be of another version.
	It("is placed although a copy of it, which may crash workers, is at another version", func() {
		v := newView(versionedEngine("a", "v1"), versionedEngine("b", "v2"), versionedEngine("c", "v1"))
		copied := placer.Request{Service: "s", Prompt: 100, Output: 100, Left: 10 * time.Second, Fingerprint: quarantiner.Fingerprint(7)}
		at := map[string]uint64{}
		for id := uint64(1); len(at) < 3; id++ {
			c, _ := v.Place(now, id, copied)
			at[c.Worker.Name] = id
		}
		v.Ended(now.Add(time.Second), at["a"], placer.Disconnected)
		req := bound("a", "v1")
		req.Fingerprint, req.Exclude = copied.Fingerprint, []string{"a"}
		c, refusal := v.Place(now.Add(time.Second), 100, req)
		Expect(refusal).To(BeNil())
		Expect(c.Worker.Name).To(Equal("c"))
	})
})
