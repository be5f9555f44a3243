package attributor_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/attributor"
)

// held is a Known with fixed sets of parts.
type held struct{ now, before map[attributor.PartID]bool }

func (h held) Held(_ time.Time, p attributor.PartID) bool { return h.now[p] }
func (h held) OnProbation(p attributor.PartID) bool       { return h.before[p] }

var _ = Describe("An Attributor", func() {
	const bad, common, rare = attributor.PartID(1), attributor.PartID(2), attributor.PartID(3)
	var (
		a       *attributor.Attributor
		now     time.Time
		content uint64
		workers int
	)
	BeforeEach(func() {
		a, now, content, workers = &attributor.Attributor{}, time.Unix(1_800_000_000, 0), 0, 0
	})
	advance := func(d time.Duration) time.Time { now = now.Add(d); return now }
	request := func(parts ...attributor.PartID) attributor.Request {
		content++
		return attributor.Request{Content: content, Parts: parts, SentAt: now}
	}
	// crash has a new worker crash with requests that were sent just now, and returns what was
	// found out by that.
	crash := func(requests ...attributor.Request) []attributor.Finding {
		workers++
		advance(100 * time.Millisecond)
		for _, r := range requests {
			a.Crashed(now, fmt.Sprint("w-", workers), r)
		}
		found, _ := a.Judge(advance(60 * time.Millisecond))
		return found
	}
	partsOf := func(list []attributor.Finding) []attributor.PartID {
		var out []attributor.PartID
		for _, f := range list {
			out = append(out, f.Part)
		}
		return out
	}

	// Guards against requests no two alike whose common part crashes workers without end.
	It("finds the part that is there at three crashes, one after another", func() {
		Expect(crash(request(common, bad), request(common, rare))).To(BeEmpty())
		a.Served(now, []attributor.PartID{common})
		Expect(crash(request(bad, common), request(common))).To(BeEmpty())
		a.Served(now, []attributor.PartID{common})
		found := crash(request(common, bad))
		Expect(partsOf(found)).To(Equal([]attributor.PartID{bad}))
		Expect(found[0].Crashes).To(HaveLen(3))
		Expect(found[0].Requests).To(Equal(2))
	})

	// Guards against holding back the part that all requests share, as it is at each crash.
	It("does not blame a part that requests are answered with", func() {
		for range 20 {
			Expect(crash(request(common), request(common))).To(BeEmpty())
			a.Served(now, []attributor.PartID{common})
		}
	})

	// Guards against blaming a common part during a storm in which nothing is answered.
	It("takes five crashes for a part that was served before", func() {
		a.Served(now, []attributor.PartID{common})
		for range 2 {
			Expect(crash(request(common, bad), request(common))).To(BeEmpty())
		}
		Expect(partsOf(crash(request(common, bad), request(common)))).To(Equal([]attributor.PartID{bad}))
		Expect(a.Len()).To(BeZero(), "the crashes are explained")
		for range 4 {
			Expect(crash(request(common), request(common))).To(BeEmpty())
		}
		Expect(partsOf(crash(request(common), request(common)))).To(Equal([]attributor.PartID{common}))
	})

	// Guards against holding back what all requests share, on hosts that have just started and know
	// of no answer yet: it is at each crash, too.
	It("finds the part that fewer requests have, of those that are there at the same crashes", func() {
		for i := range 3 {
			found := crash(request(common, bad), request(common, rare))
			for range 5 {
				a.Sent([]attributor.PartID{common})
			}
			a.Sent([]attributor.PartID{common, bad})
			a.Served(now, []attributor.PartID{rare})
			if i == 2 {
				Expect(partsOf(found)).To(Equal([]attributor.PartID{bad}))
			}
		}
		Expect(a.Len()).To(BeZero())
	})

	// Guards against blaming a part for one request that is sent again after each crash: it may
	// crash workers by itself, or be there each time only as it is sent again.
	It("does not blame a part that only one request has", func() {
		r := request(common, rare)
		for range 9 {
			r.SentAt = now
			Expect(crash(r)).To(BeEmpty())
		}
	})

	// Guards against taking a power failure of all workers, or of a rack, for three crashes.
	It("counts crashes of copies sent before the crash before as one", func() {
		first, second, third := request(common), request(common), request(common)
		for _, r := range []attributor.Request{first, second, third} {
			Expect(crash(r)).To(BeEmpty())
		}
	})

	// Guards against blaming parts for workers that break single connections.
	It("withdraws a crash if the worker lives on", func() {
		for range 9 {
			Expect(crash(request(rare), request(rare))).To(BeEmpty())
			a.Alive(advance(200*time.Millisecond), fmt.Sprint("w-", workers), now)
		}
		Expect(a.Len()).To(BeZero())
	})

	// Guards against blaming what all requests share where something else accepts the connections of
	// a worker that is down and closes them.
	It("counts one crash of a worker that only breaks connections from then on", func() {
		for range 60 {
			for _, worker := range []string{"x", "y", "z", "v"} {
				a.Crashed(now, worker, request(rare))
			}
			found, _ := a.Judge(advance(300 * time.Millisecond))
			Expect(found).To(BeEmpty())
		}
	})

	// Guards against blaming what all requests share at workers that were not there, and against losing
	// what is known of a crash once one of its requests shows that the worker was.
	It("judges only crashes of workers that were there", func() {
		unproven := func() attributor.Request {
			r := request(common, bad)
			r.Unproven = true
			return r
		}
		for range 9 {
			Expect(crash(unproven())).To(BeEmpty())
		}
		Expect(a.Len()).To(BeZero())
		Expect(crash(unproven(), request(common))).To(BeEmpty())
		Expect(crash(request(common), unproven())).To(BeEmpty())
		a.Served(now, []attributor.PartID{common})
		Expect(partsOf(crash(unproven(), request(rare)))).To(Equal([]attributor.PartID{bad}))
	})

	It("does not judge before other hosts have reported", func() {
		for range 3 {
			workers++
			name := fmt.Sprint("w-", workers)
			r, s := request(common, rare), request(common, bad)
			a.Crashed(advance(100*time.Millisecond), name, r)
			found, _ := a.Judge(advance(10 * time.Millisecond))
			Expect(found).To(BeEmpty())
			a.Crashed(now, name, s)
			a.Served(now, []attributor.PartID{common, rare})
			advance(50 * time.Millisecond)
		}
		found, _ := a.Judge(now)
		Expect(partsOf(found)).To(Equal([]attributor.PartID{bad}))
	})

	It("explains crashes by parts that are held back, and blames nothing else for them", func() {
		a.SetKnown(held{now: map[attributor.PartID]bool{bad: true}})
		for range 9 {
			Expect(crash(request(bad, rare), request(rare))).To(BeEmpty())
		}
		Expect(a.Len()).To(BeZero())
	})

	It("needs one crash more for a part that was held back before", func() {
		a.SetKnown(held{before: map[attributor.PartID]bool{bad: true}})
		Expect(partsOf(crash(request(bad, rare), request(common)))).To(Equal([]attributor.PartID{bad}))
	})

	// Guards against crashes of two parts at a time being attributed to what they share.
	It("tells two parts apart that crash workers in turn", func() {
		a.Served(now, []attributor.PartID{common})
		other := attributor.PartID(9)
		var found []attributor.PartID
		for i := range 6 {
			found = append(found, partsOf(crash(request(common, []attributor.PartID{bad, other}[i%2])))...)
		}
		Expect(found).To(ConsistOf(bad, other))
	})

	// Guards against memory without bound under parts that a caller makes up.
	It("keeps a bounded number of records, those with most crashes", func() {
		crash(request(bad))
		crash(request(bad))
		for i := range 30 {
			var r []attributor.Request
			for j := range 300 {
				r = append(r, request(attributor.PartID(1000+300*i+j)))
			}
			crash(r...)
			a.Served(now, []attributor.PartID{attributor.PartID(1_000_000 + i)})
		}
		Expect(a.Len()).To(BeNumerically("<=", 4096))
		Expect(partsOf(crash(request(bad)))).To(Equal([]attributor.PartID{bad}))
	})

	It("forgets suspicions after an hour", func() {
		crash(request(bad))
		a.Sweep(advance(59 * time.Minute))
		Expect(a.Len()).To(Equal(1))
		Expect(a.Suspicions(10)).To(Equal([]attributor.Suspicion{{Part: bad.String(), Workers: []string{"w-1"}}}))
		a.Sweep(advance(2 * time.Minute))
		Expect(a.Len()).To(BeZero())
	})
})
