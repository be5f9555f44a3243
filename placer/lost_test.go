package placer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/placer"
)

const (
	releaseSlots  = 16
	releaseOld    = 8 // workers of the old version before the release
	releaseHosts  = 9 // one of them fails every failureInterval
	streamTime    = 1500 * time.Millisecond
	releaseStep   = 2 * time.Second // between two steps, each of which replaces two workers
	failInterval  = 700 * time.Millisecond
	releaseLength = 6 * time.Second
	// takeUpDelay is the time that callers take to notice that their stream broke: new streams
	// may have taken its slot by then.
	takeUpDelay = 100 * time.Millisecond
)

// releaseShares is what became of the streams of a release.
type releaseShares struct {
	begun, offered  int // new streams
	resumed, tookUp int // streams that callers took up while two workers of their version served
}

func (s releaseShares) begins() float64 { return float64(s.begun) / float64(s.offered) }
func (s releaseShares) goesOn() float64 { return float64(s.resumed) / float64(s.tookUp) }

// releaseRun is a run of streams through a release in steps of two workers, beside failing
// hosts and workers, at a view that knows all of them.
type releaseRun struct {
	view   *placer.View
	random *rand.Rand
	now    time.Time
	nextID uint64
	old    int // workers of the old version
	lost   map[string]bool
	active map[uint64]*releaseStream
	broken []brokenStream
	shares releaseShares
}

// brokenStream is a stream that its caller takes up at a time.
type brokenStream struct {
	worker placer.Worker
	at     time.Time
}

type releaseStream struct {
	host   int
	worker placer.Worker
	endsAt time.Time
}

func (r *releaseRun) setWorkers() {
	var workers []placer.Worker
	for i := range releaseOld {
		w := versionedEngine(fmt.Sprintf("old-%d", i), "v1")
		if i >= r.old {
			w = versionedEngine(fmt.Sprintf("new-%d", i), "v2")
		}
		w.Slots, w.CacheTokens = releaseSlots, 1_000_000
		if !r.lost[w.Name] {
			workers = append(workers, w)
		}
	}
	r.view.SetWorkers(r.now, workers)
	r.view.SetConfirmed(r.now)
}

// serving returns the number of workers of a version.
func (r *releaseRun) serving(version string) int { return r.view.Versions()["s"][version] }

func (r *releaseRun) place(req placer.Request) bool {
	r.nextID++
	c, refusal := r.view.Place(r.now, r.nextID, req)
	if refusal != nil {
		return false
	}
	r.view.BegunAfter(r.now, c.Flight.ID, 10*time.Millisecond)
	r.active[c.Flight.ID] = &releaseStream{host: r.random.IntN(releaseHosts), worker: c.Worker, endsAt: r.now.Add(streamTime)}
	return true
}

func streamRequest() placer.Request {
	return placer.Request{Service: "s", Prompt: 50, Output: 100, Left: 10 * time.Second, Target: 300 * time.Millisecond}
}

// breakStreams ends the streams that match. Their callers take them up later.
func (r *releaseRun) breakStreams(outcome placer.Outcome, match func(*releaseStream) bool) {
	for id, x := range r.active {
		if match(x) {
			r.view.Ended(r.now, id, outcome)
			delete(r.active, id)
			r.broken = append(r.broken, brokenStream{x.worker, r.now.Add(takeUpDelay)})
		}
	}
}

// takeUp has callers take up their streams.
func (r *releaseRun) takeUp() {
	for len(r.broken) > 0 && !r.now.Before(r.broken[0].at) {
		x := r.broken[0]
		r.broken = r.broken[1:]
		if r.serving(x.worker.Version) < 2 {
			continue
		}
		req, w := streamRequest(), x.worker.Software()
		req.Resumed, req.Bound = true, &w
		r.shares.tookUp++
		if r.place(req) {
			r.shares.resumed++
		}
	}
}

// play runs the release with so many times the streams that the slots hold.
func (r *releaseRun) play(load float64) releaseShares {
	const tick = 5 * time.Millisecond
	rate := load * releaseOld * releaseSlots / streamTime.Seconds()
	due, start := 0.0, r.now
	r.old = releaseOld
	r.setWorkers()
	for r.now.Sub(start) < releaseLength {
		r.now = r.now.Add(tick)
		elapsed := r.now.Sub(start)
		for id, x := range r.active {
			if !r.now.Before(x.endsAt) {
				r.view.Ended(r.now, id, placer.Answered)
				delete(r.active, id)
			}
		}
		if old := max(releaseOld-2*int(elapsed/releaseStep+1), 2); old != r.old {
			r.old = old
			r.setWorkers()
		}
		r.takeUp()
		for due += rate * tick.Seconds(); due >= 1; due-- {
			r.shares.offered++
			if r.place(streamRequest()) {
				r.shares.begun++
			}
		}
		switch failed := r.random.IntN(releaseHosts); {
		case elapsed%failInterval == 0:
			r.breakStreams(placer.Canceled, func(x *releaseStream) bool { return x.host == failed })
		case elapsed == releaseLength-time.Second && r.old >= 2:
			// One of three workers of a version is lost: two are left.
			r.lost["old-1"] = r.old > 2
			r.setWorkers()
			r.breakStreams(placer.Disconnected, func(x *releaseStream) bool { return r.lost[x.worker.Name] })
		}
	}
	return r.shares
}

// Guards against streams that callers take up and that find the workers of their version full
// of new ones (LOST), also at the last two workers of a version.
var _ = DescribeTable("Streams that are taken up through a release go on as often as new ones begin", func(load float64) {
	for seed := range uint64(3) {
		r := &releaseRun{
			view: placer.New("z"), random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), lost: map[string]bool{}, active: map[uint64]*releaseStream{},
		}
		s := r.play(load)
		GinkgoWriter.Println(fmt.Sprintf("load %.0f, seed %d: %.2f of %d go on, %.2f of %d begin", load, seed, s.goesOn(), s.tookUp, s.begins(), s.offered))
		Expect(s.tookUp).To(BeNumerically(">=", 12))
		Expect(s.goesOn()).To(BeNumerically(">=", s.begins()))
	}
},
	Entry("at the load that the workers hold", 1.0),
	Entry("at twice that", 2.0),
	Entry("at four times that", 4.0),
)
