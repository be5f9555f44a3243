package resumer_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/resumer"
)

const (
	service = "engine"
	timeout = 4 * time.Second
	// life is the longest life of a stream of the service: two attempts, and a margin.
	life = 2*timeout + time.Second
)

var start = time.Unix(1000, 0)

func worker(name, version string) resumer.Worker {
	return resumer.Worker{Service: service, Name: name, Incarnation: "1", Version: version}
}

// newResumer returns the Resumer of a host that has known workers since start.
func newResumer(self string, first bool, workers ...resumer.Worker) *resumer.Resumer {
	r := resumer.New(self, first)
	r.SetTimeouts(map[string]time.Duration{service: timeout})
	r.SetWorkers(start, start, workers)
	return r
}

// resolve takes up a stream at r, which asks the others and reads the list of workers, and returns
// what is known in the end. Others that are nil don't answer.
func resolve(now time.Time, r *resumer.Resumer, stream resumer.Key, others ...*resumer.Resumer) resumer.Answer {
	return resolveWith(now, r, stream, func() { r.ListConfirmed(now, now) }, others)
}

// resolveBlind is resolve while the list can't be read.
func resolveBlind(now time.Time, r *resumer.Resumer, stream resumer.Key, others ...*resumer.Resumer) resumer.Answer {
	return resolveWith(now, r, stream, func() { r.ListFailed(now, now) }, others)
}

func resolveWith(now time.Time, r *resumer.Resumer, stream resumer.Key, readList func(), others []*resumer.Resumer) resumer.Answer {
	var answer resumer.Answer
	got := r.Resolve(now, resumer.TakenUp{Stream: stream, Services: []string{service}}, len(others) > 0, func(a resumer.Answer) { answer = a })
	if got.Result != resumer.Pending {
		return got
	}
	var names []string
	for i := range others {
		names = append(names, fmt.Sprint("other ", i))
	}
	for _, ask := range r.DrainAsks(names) {
		for i, o := range others {
			if o != nil {
				r.ReceiveTold(now, names[i], o.Tell(now, ask))
			}
		}
	}
	if r.NeedsList() {
		readList()
	}
	r.Expire(now.Add(resumer.AskTimeout()))
	Expect(r.Waiting()).To(BeZero())
	return answer
}

var _ = Describe("A Resumer", func() {
	stream := resumer.KeyOf("large", "try-1")
	v1, v2 := worker("a", "v1"), worker("b", "v2")
	listed := []resumer.Worker{v1, v2}

	It("knows where a stream began that its host carried, or that it was told of", func() {
		carrier, other := newResumer("h-1", true, v1, v2), newResumer("h-2", true, v1, v2)
		Expect(carrier.Began(start, []resumer.Key{stream}, v2)).To(BeTrue(), "others must be told")
		Expect(resolve(start, carrier, stream).Worker).To(Equal(v2))
		for _, x := range carrier.Drain() {
			other.Receive(start, x)
		}
		a := resolve(start.Add(time.Second), other, stream)
		Expect(a).To(Equal(resumer.Answer{Result: resumer.Known, Worker: v2, From: "h-1", Age: time.Second}))
	})

	It("believes the later one of two records of a stream", func() {
		r := newResumer("h-1", true, v1, v2)
		r.Receive(start, resumer.Record{Key: stream, Worker: v1, Host: "h-2", At: start})
		r.Receive(start, resumer.Record{Key: stream, Worker: v2, Host: "h-2", At: start})
		Expect(resolve(start, r, stream).Worker).To(Equal(v2))
	})

	It("asks other hosts for what it was not told", func() {
		carrier, other, taker := newResumer("h-1", true, v1, v2), newResumer("h-2", true, v1, v2), newResumer("h-3", true, v1, v2)
		carrier.Began(start, []resumer.Key{stream}, v2)
		Expect(resolve(start, taker, stream, other, carrier).Worker).To(Equal(v2))
		Expect(resolve(start, taker, stream).Worker).To(Equal(v2), "and remembers it")
	})

	It("asks again for a beginning that was not certain", func() {
		carrier, taker := newResumer("h-1", true, v1, v2), newResumer("h-3", true, v1, v2)
		carrier.Began(start, []resumer.Key{stream}, v2.Uncertain())
		Expect(resolve(start, taker, stream, carrier).Worker.IsUncertain()).To(BeTrue())
		carrier.Began(start, []resumer.Key{stream}, v2)
		Expect(resolve(start, taker, stream, carrier).Worker).To(Equal(v2))
	})

	// Guards against streams that go on nowhere, as their host failed before it knew which start of a worker began them.
	DescribeTable("settles a beginning that was not certain by a list read after it", func(readAfter time.Duration, sourceUp bool, listed []resumer.Worker, settled bool) {
		carrier, taker := newResumer("h-1", true, v1, v2), newResumer("h-2", true, v1, v2)
		carrier.BeganUncertain(start, []resumer.Key{stream}, v2)
		for _, x := range carrier.Drain() {
			taker.Receive(start, x)
		}
		later := start.Add(time.Second)
		taker.SetWorkers(later, later, listed)
		a := resolveWith(later, taker, stream, func() {
			if sourceUp {
				taker.StartsListed(start.Add(readAfter))
			}
			taker.ListConfirmed(later, later)
		}, []*resumer.Resumer{newResumer("h-3", true, v1, v2)})
		Expect(a.Result).To(Equal(resumer.Known))
		Expect(a.Worker.IsUncertain()).To(Equal(!settled))
		if settled {
			Expect(a.Worker).To(Equal(v2))
		}
	},
		Entry("that has the same start", time.Second, true, listed, true),
		Entry("too early to have another start", 20*time.Millisecond, true, listed, false),
		Entry("too early to have one that registers late", 350*time.Millisecond, true, listed, false),
		Entry("while workers write their entries again", time.Second, false, listed, false),
		Entry("that has another start", time.Second, true, []resumer.Worker{v1, {Service: service, Name: "b", Incarnation: "2", Version: "v2"}}, false),
		Entry("that has the start at another version", time.Second, true, []resumer.Worker{v1, worker("b", "v3")}, false),
		Entry("that has none any more", time.Second, true, []resumer.Worker{v1}, false),
	)

	// Guards against a list of an older snapshot that has a start of a worker which another one had replaced.
	It("does not settle a beginning by a list after the source was restored", func() {
		r := newResumer("h-1", true, v1, v2)
		r.Receive(start, resumer.Record{Key: stream, Worker: v2.Uncertain(), Listed: v2, Host: "h-2", At: start})
		r.ForgetListed()
		later := start.Add(time.Second)
		r.SetWorkers(later, later, listed)
		r.StartsListed(later)
		Expect(resolve(later, r, stream).Worker.IsUncertain()).To(BeTrue())
	})

	It("believes the list that was read last, also if it was read before another one", func() {
		r := newResumer("h-1", true, v1, v2)
		r.Receive(start, resumer.Record{Key: stream, Worker: v2.Uncertain(), Listed: v2, Host: "h-2", At: start})
		r.StartsListed(start.Add(time.Second))
		r.StartsListed(start)
		r.StartsUpdated(start.Add(-time.Second))
		Expect(resolve(start, r, stream).Worker.IsUncertain()).To(BeTrue())
		r.StartsUpdated(start.Add(time.Second))
		Expect(resolve(start, r, stream).Worker).To(Equal(v2))
	})

	Describe("with a stream that nobody knows", func() {
		It("lets it go on where one version served all its life, without asking if its caller names no attempt", func() {
			Expect(resolve(start, newResumer("h-1", true, v1, worker("c", "v1")), 0).Result).To(Equal(resumer.OneVersion))
			r := newResumer("h-1", false, v1)
			now := start.Add(life)
			r.ListUpdated(now)
			Expect(resolve(now, r, 0).Result).To(Equal(resumer.OneVersion))
			Expect(resolve(now, r, stream).Result).To(Equal(resumer.OneVersion))
		})

		// Guards against a guess: the stream may have begun at either version.
		It("refuses it where two versions serve, or did within its life", func() {
			r := newResumer("h-1", true, v1, v2)
			Expect(resolve(start, r, 0).Result).To(Equal(resumer.Unknown))
			Expect(resolve(start, r, stream, newResumer("h-2", true, v1, v2)).Result).To(Equal(resumer.Unknown))
			r.SetWorkers(start.Add(time.Second), start.Add(time.Second), []resumer.Worker{v2})
			now := start.Add(life)
			r.ListUpdated(now)
			Expect(resolve(now, r, 0).Result).To(Equal(resumer.Unknown))
			now = now.Add(time.Second)
			r.ListUpdated(now)
			r.Sweep(now)
			Expect(resolve(now, r, 0).Result).To(Equal(resumer.OneVersion))
		})

		// Guards against a host that started just now and can't see the versions that are gone.
		It("refuses it at a new host unless another one knows all of its life", func() {
			taker := newResumer("h-1", false, v2)
			Expect(resolve(start, taker, 0).Result).To(Equal(resumer.Unknown))
			Expect(resolve(start, taker, 0, newResumer("h-2", false, v2)).Result).To(Equal(resumer.Unknown))
			Expect(resolve(start, taker, 0, newResumer("h-2", true, v2)).Result).To(Equal(resumer.OneVersion))
			seen := newResumer("h-2", true, v1)
			seen.SetWorkers(start, start, []resumer.Worker{v2})
			Expect(resolve(start, taker, 0, seen).Result).To(Equal(resumer.Unknown))
		})

		// Guards against a version that came and went while the host saw no list.
		It("refuses it for its life after versions may have come and gone unseen", func() {
			r := newResumer("h-1", true, v1)
			r.Missed(start)
			r.SetWorkers(start, start, []resumer.Worker{v1})
			r.SetFirst(start, true)
			Expect(resolve(start, r, 0).Result).To(Equal(resumer.Unknown))
			Expect(resolve(start, r, 0, newResumer("h-2", true, v1)).Result).To(Equal(resumer.OneVersion), "another host saw them")
			now := start.Add(life)
			Expect(resolve(now, r, 0).Result).To(Equal(resumer.OneVersion))
		})

		// Guards against a host that is cut off and does not see a version that others use.
		It("refuses it while its list can't be read, unless most others say the same", func() {
			stale := start.Add(time.Minute)
			taker, same := newResumer("h-1", true, v1), newResumer("h-2", true, v1)
			Expect(resolveBlind(stale, taker, 0).Result).To(Equal(resumer.Unknown))
			Expect(resolveBlind(stale, taker, 0, nil, nil, same).Result).To(Equal(resumer.Unknown))
			Expect(resolveBlind(stale, taker, 0, same, same, nil).Result).To(Equal(resumer.OneVersion), "the store is down")
			Expect(resolveBlind(stale, taker, 0, same, newResumer("h-3", true, v2)).Result).To(Equal(resumer.Unknown))
		})

		// Guards against the silence of hosts that failed, beside a list of before they did.
		It("refuses it if nobody answers and its list is of before the stream was taken up", func() {
			r := newResumer("h-1", true, v1)
			r.ListUpdated(start)
			Expect(resolveBlind(start.Add(time.Millisecond), r, stream, nil, nil, nil).Result).To(Equal(resumer.Unknown))
			Expect(resolveBlind(start.Add(time.Millisecond), r, 0).Result).To(Equal(resumer.Unknown))
		})

		// Guards against a first answer that decides while another host, which answers later, knows better.
		It("waits for hosts that may know the stream, or another version", func() {
			same, other, carrier := newResumer("h-2", true, v2), newResumer("h-3", true, v1, v2), newResumer("h-4", true, v1, v2)
			carrier.Began(start, []resumer.Key{stream}, v1)
			for last, want := range map[*resumer.Resumer]resumer.Result{other: resumer.Unknown, carrier: resumer.Known} {
				taker, got := newResumer("h-1", true, v2), resumer.Answer{}
				taker.Resolve(start, resumer.TakenUp{Stream: stream, Services: []string{service}}, true, func(a resumer.Answer) { got = a })
				asks := taker.DrainAsks([]string{"h-2", "last"})
				taker.ListConfirmed(start, start)
				taker.ReceiveTold(start, "h-2", same.Tell(start, asks[0]))
				taker.ReceiveTold(start, "last", last.Tell(start, asks[0]))
				Expect(got.Result).To(Equal(want))
			}
		})

		// Guards against a host's answer of before this one stood still, read for a stream that was taken up after it.
		It("takes no answer to an earlier question for one to its own", func() {
			taker, other := newResumer("h-1", true, v1), newResumer("h-2", true, v1)
			later, got := start.Add(2*time.Second), map[string]resumer.Result{}
			ask := func(now time.Time, id string) resumer.Ask {
				taker.Resolve(now, resumer.TakenUp{Stream: resumer.KeyOf("large", id), Services: []string{service}}, true, func(a resumer.Answer) { got[id] = a.Result })
				return taker.DrainAsks([]string{"h-2", "h-3"})[0]
			}
			before := other.Tell(start, ask(start, "first"))
			other.SetWorkers(later, later, []resumer.Worker{v1, v2})
			after := other.Tell(later, ask(later, "second"))
			taker.ListConfirmed(later, later)
			taker.ReceiveTold(later, "h-2", before)
			taker.ReceiveTold(later, "h-2", after)
			taker.Expire(later.Add(resumer.AskTimeout()))
			Expect(got).To(HaveKeyWithValue("second", resumer.Unknown))
		})

		// Guards against an answer to a call of before the question, which arrives after it.
		It("waits for a list that was read after the stream was taken up", func() {
			r := newResumer("h-1", true, v1)
			var answers []resumer.Result
			r.Resolve(start, resumer.TakenUp{Services: []string{service}}, false, func(a resumer.Answer) { answers = append(answers, a.Result) })
			r.ListConfirmed(start.Add(time.Millisecond), start.Add(-time.Millisecond))
			Expect(answers).To(BeEmpty())
			Expect(r.NeedsList()).To(BeTrue())
			r.SetWorkers(start.Add(time.Millisecond), start.Add(time.Millisecond), []resumer.Worker{v1, v2})
			r.ListConfirmed(start.Add(time.Millisecond), start)
			Expect(answers).To(Equal([]resumer.Result{resumer.Unknown}))
		})

		It("is refused once the list was awaited for long enough", func() {
			r := newResumer("h-1", true, v1)
			var answers []resumer.Result
			r.Resolve(start, resumer.TakenUp{Services: []string{service}}, false, func(a resumer.Answer) { answers = append(answers, a.Result) })
			r.Expire(start.Add(resumer.ListTimeout() - 1))
			Expect(answers).To(BeEmpty())
			r.Expire(start.Add(resumer.ListTimeout()))
			Expect(answers).To(Equal([]resumer.Result{resumer.Unknown}))
		})

		It("names the software that began it", func() {
			a := resolve(start, newResumer("h-1", true, v1, worker("c", "v1")), 0)
			Expect(a.Worker.Continues(v1)).To(BeTrue())
			Expect(resolve(start, newResumer("h-1", true, worker("a", "")), 0).Worker).To(Equal(worker("a", "")))
		})
	})

	// Guards against streams that began before a second version came, of which nobody was notified.
	It("tells of its streams once a second version serves", func() {
		r := newResumer("h-1", true, v1)
		Expect(r.Began(start, []resumer.Key{stream}, v1)).To(BeFalse())
		whole := resumer.KeyOf("large", "try-2")
		r.Began(start, []resumer.Key{whole}, v1)
		r.Ended([]resumer.Key{whole})
		Expect(r.Drain()).To(BeEmpty())
		r.SetWorkers(start, start, []resumer.Worker{v1, v2})
		Expect(r.Drain()).To(HaveExactElements(HaveField("Key", stream)))
	})

	It("lets a stream go on only at a service that its route leads to", func() {
		r := newResumer("h-1", true, v1, v2)
		r.Began(start, []resumer.Key{stream}, v2)
		to := func(services ...string) resumer.Result {
			return r.Resolve(start, resumer.TakenUp{Stream: stream, Services: services}, false, nil).Result
		}
		Expect(to("other", service)).To(Equal(resumer.Known))
		Expect(to("other")).To(Equal(resumer.Moved))
	})

	It("knows no stream by another organisation's name for it", func() {
		Expect(resumer.KeyOf("small", "try-1")).NotTo(Equal(stream))
		Expect(resumer.KeyOf("small", "")).To(BeZero())
	})

	It("asks for hundreds of streams in few messages, and keeps nothing of made-up ones", func() {
		r := newResumer("h-1", true, v1, v2)
		for i := range 600 {
			r.Resolve(start, resumer.TakenUp{Stream: resumer.KeyOf("large", fmt.Sprint(i)), Services: []string{service}}, true, func(resumer.Answer) {})
		}
		Expect(len(r.DrainAsks([]string{"h-2"}))).To(BeNumerically("<=", 3))
		r.Expire(start.Add(resumer.AskTimeout()))
		Expect(r.Waiting()).To(BeZero())
		Expect(r.Len()).To(BeZero())
	})

	DescribeTable("says why it does not know where a stream may go on", func(expected resumer.Reason, blind bool, own *resumer.Resumer, others ...*resumer.Resumer) {
		find := resolve
		if blind {
			find = resolveBlind
		}
		a := find(start, own, stream, others...)
		Expect(a.Result).To(Equal(resumer.Unknown))
		Expect(a.Reason).To(Equal(expected))
	},
		Entry("no list yet", resumer.NoList, false, resumer.New("h-1", true)),
		Entry("two versions served", resumer.TwoVersions, false, newResumer("h-1", true, v1, v2)),
		Entry("another host knows of a second version", resumer.OthersDiffer, false, newResumer("h-1", true, v1), newResumer("h-2", true, v2)),
		Entry("all hosts have just started", resumer.HistoryShort, false, newResumer("h-1", false, v1), newResumer("h-2", false, v1)),
		Entry("neither the store nor half of the hosts answer", resumer.ListNotCurrent, true, newResumer("h-1", true, v1), nil, nil),
	)

	It("keeps records for the life of a stream, and a bounded number of them", func() {
		r := newResumer("h-1", true, v1, v2)
		r.Began(start, []resumer.Key{stream}, v1)
		r.Sweep(start.Add(life))
		Expect(r.Len()).To(Equal(1))
		r.Sweep(start.Add(time.Hour))
		Expect(r.Len()).To(BeZero())
		for i := range 1 << 17 {
			r.Began(start, []resumer.Key{resumer.Key(i + 1)}, v1)
		}
		Expect(r.Len()).To(Equal(1 << 16))
		r.Drain()
	})

	DescribeTable("takes two starts of a worker for the same software only by their version", func(a, b resumer.Worker, same bool) {
		Expect(a.Continues(b)).To(Equal(same))
	},
		Entry("same version, another worker", worker("a", "v1"), worker("b", "v1"), true),
		Entry("another version, same start", worker("a", "v1"), worker("a", "v2"), false),
		Entry("no version, same start", worker("a", ""), worker("a", ""), true),
		Entry("no version, another worker", worker("a", ""), worker("b", ""), false),
		Entry("no version, another start", worker("a", ""), resumer.Worker{Service: service, Name: "a", Incarnation: "2"}, false),
		Entry("a version that spells a start", worker("a", ""), worker("b", "start a\x001"), false),
		Entry("another service", worker("a", "v1"), resumer.Worker{Service: "other", Name: "a", Version: "v1"}, false),
		Entry("a start that is not certain", worker("a", "v1").Uncertain(), worker("a", "v1"), false),
	)
})
