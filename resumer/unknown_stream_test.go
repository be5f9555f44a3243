package resumer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/resumer"
)

var _ = Describe("A stream that nobody knows", func() {
	v1, v2 := worker("a", "v1"), worker("b", "v2")
	stream := resumer.KeyOf("large", "try-1")

	// Guards against a version that is forgotten early because a route's timeout was shortened after its streams began.
	It("is refused for as long as streams of the earlier, longer timeout may live", func() {
		r := newResumer("h-1", true, v1, v2)
		left := start.Add(time.Second)
		r.SetWorkers(left, left, []resumer.Worker{v1})
		r.SetTimeouts(map[string]time.Duration{service: time.Second})
		now := left.Add(timeout)
		r.Sweep(now)
		Expect(resolve(now, r, stream).Result).To(Equal(resumer.Unknown))
	})

	// Guards against a new host that counts as knowing all of a stream's life because a route's timeout was shortened.
	It("is refused at a host that is younger than streams of the earlier, longer timeout", func() {
		r := newResumer("h-1", false, v1)
		r.SetTimeouts(map[string]time.Duration{service: time.Second})
		Expect(resolve(start.Add(timeout), r, stream).Result).To(Equal(resumer.Unknown))
	})

	// Guards against a refusal for good while the only version's workers are off the list for a moment.
	It("names the only version also while none of its workers is listed", func() {
		r := newResumer("h-1", true, v1)
		r.SetWorkers(start, start, nil)
		a := resolve(start, r, stream)
		Expect(a.Result).To(Equal(resumer.OneVersion))
		Expect(a.Worker.Continues(v1)).To(BeTrue())
	})

	// Guards against a stream that goes on at another version while the answer of the host that knows it is on its way.
	It("is not decided by the first host that answers while others may know it", func() {
		r, same, carrier := newResumer("h-1", true, v1), newResumer("h-2", true, v1), newResumer("h-3", true, v1, v2)
		carrier.Began(start, []resumer.Key{stream}, v2)
		var answers []resumer.Answer
		r.Resolve(start, resumer.TakenUp{Stream: stream, Services: []string{service}}, true, func(a resumer.Answer) { answers = append(answers, a) })
		ask := r.DrainAsks([]string{"h-2", "h-3"})[0]
		r.ListConfirmed(start, start)
		r.ReceiveTold(start, "h-2", same.Tell(start, ask))
		Expect(answers).To(BeEmpty())
		r.ReceiveTold(start, "h-3", carrier.Tell(start, ask))
		Expect(answers).To(HaveExactElements(HaveField("Worker", v2)))
	})

	// Guards against a call of the store for each stream that is taken up while two versions serve, as no list decides it.
	It("has no list read that can't show that one version served", func() {
		r := newResumer("h-1", true, v1, v2)
		r.Resolve(start, resumer.TakenUp{Stream: stream, Services: []string{service}}, true, func(resumer.Answer) {})
		r.DrainAsks([]string{"h-2"})
		Expect(r.Waiting()).To(Equal(1))
		Expect(r.NeedsList()).To(BeFalse())
	})

	// Guards against a guess while the store is up, and other hosts may use a version that those which answer don't see.
	It("is refused if the store accepts no call of the host, though all others agree, and goes on once it accepts one", func() {
		for _, accepted := range []bool{false, true} {
			r, other := newResumer("h-1", true, v1), newResumer("h-2", true, v1)
			var answers []resumer.Answer
			r.Resolve(start, resumer.TakenUp{Stream: stream, Services: []string{service}}, true, func(a resumer.Answer) { answers = append(answers, a) })
			ask := r.DrainAsks([]string{"h-2"})[0]
			r.ListThrottled(start, start)
			r.ReceiveTold(start, "h-2", other.Tell(start, ask))
			Expect(answers).To(BeEmpty())
			Expect(r.NeedsList()).To(BeTrue())
			end := start.Add(resumer.ListTimeout())
			if accepted {
				r.ListConfirmed(end, start)
				Expect(answers).To(HaveExactElements(HaveField("Result", resumer.OneVersion)))
				continue
			}
			r.Expire(end)
			Expect(answers).To(HaveExactElements(And(HaveField("Result", resumer.Unknown), HaveField("Reason", resumer.ListNotCurrent))))
		}
	})

	// Guards against hosts that were cut off together and that take the others, which use another version, for gone.
	It("is refused while the store is silent if more than half of the hosts of a stream's life are lost", func() {
		stale := start.Add(time.Minute)
		taker, same := newResumer("h-1", true, v1), newResumer("h-2", true, v1)
		taker.HostsLost(stale, []string{"h-3"})
		Expect(resolveBlind(stale, taker, 0, same).Result).To(Equal(resumer.Unknown))
		Expect(resolveBlind(stale, taker, 0, same, same).Result).To(Equal(resumer.OneVersion))
		Expect(resolve(stale, taker, 0, same).Result).To(Equal(resumer.OneVersion), "its list is current")
		over := stale.Add(2*15*time.Second + time.Second) // of any service
		taker.Sweep(over)
		Expect(resolveBlind(over, taker, 0, same).Result).To(Equal(resumer.OneVersion), "no stream is so old")
	})

	// Guards against a host that came back and counts twice, as one that is lost too.
	It("counts a host that is asked again no more as lost", func() {
		taker, same := newResumer("h-1", true, v1), newResumer("h-2", true, v1)
		taker.HostsLost(start, []string{"other 0"})
		Expect(resolveBlind(start, taker, 0, same).Result).To(Equal(resumer.OneVersion))
	})

	// Guards against an answer to an earlier call that is applied after that to a later one.
	It("stays decided by the latest call if answers arrive in another order", func() {
		r := newResumer("h-1", true, v1)
		r.ListConfirmed(start.Add(time.Second), start.Add(time.Second))
		r.ListConfirmed(start.Add(2*time.Second), start)
		var answers []resumer.Result
		r.Resolve(start.Add(time.Second), resumer.TakenUp{Services: []string{service}}, false, func(a resumer.Answer) { answers = append(answers, a.Result) })
		Expect(r.NeedsList()).To(BeFalse())
		r.Expire(start.Add(time.Second))
		Expect(answers).To(Equal([]resumer.Result{resumer.OneVersion}))
	})
})
