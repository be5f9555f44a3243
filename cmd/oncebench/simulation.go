package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/keeper"
	"github.com/cicadawood/cicadawood/storer"
)

const (
	writeTime  = 5 * time.Millisecond
	hop        = 1500 * time.Microsecond // one way, between zones
	workTime   = 20 * time.Millisecond
	tickTime   = 20 * time.Millisecond
	answerSize = 300 // bytes
)

// figures is what one run came to.
type figures struct {
	calls, writes, bytes int
	added                []float64 // milliseconds a call took beyond its work, ascending
}

func (f figures) perCall() float64 { return float64(f.writes) / float64(max(f.calls, 1)) }

func (f figures) quantile(q float64) float64 {
	if len(f.added) == 0 {
		return 0
	}
	return f.added[int(q*float64(len(f.added)-1))]
}

// simulation is one keeper, its store, its worker and its entries, in virtual
// time. Nothing fails here.
type simulation struct {
	now     time.Time
	end     time.Time
	rate    float64
	random  *rand.Rand
	keeper  *keeper.Keeper
	agenda  faker.EventQueue
	version storer.Version
	began   map[string]time.Time
	figures figures
}

func newSimulation(rate float64, r *rand.Rand) *simulation {
	now := time.Unix(1_800_000_000, 0)
	return &simulation{
		now: now, end: now.Add(length), rate: rate, random: r, began: map[string]time.Time{},
		keeper: keeper.New("host", 1, keeper.Settings{MaxRecords: 1 << 20}),
	}
}

func (s *simulation) run() figures {
	s.arrive()
	s.tick()
	for at, do, ok := s.agenda.Next(s.end); ok; at, do, ok = s.agenda.Next(s.end) {
		s.now = at
		do()
	}
	slices.Sort(s.figures.added)
	return s.figures
}

func (s *simulation) after(d time.Duration, do func()) {
	s.agenda.Add(s.now.Add(d), do)
}

// arrive starts a call and the wait for the next: arrivals don't wait for answers.
func (s *simulation) arrive() {
	s.after(time.Duration(s.random.ExpFloat64()/s.rate*float64(time.Second)), func() {
		s.figures.calls++
		request := fmt.Sprint(s.figures.calls)
		s.began[request] = s.now
		s.input(hop, keeper.CallReceived{Call: keeper.Call{
			ID: keeper.NewID("org", "service", request), Request: request, From: "entry", Deadline: s.now.Add(10 * time.Second),
		}})
		s.arrive()
	})
}

func (s *simulation) tick() {
	s.input(tickTime, keeper.Ticked{})
	s.after(tickTime, s.tick)
}

func (s *simulation) input(d time.Duration, in keeper.Input) {
	s.after(d, func() {
		for _, o := range s.keeper.Handle(s.now, in) {
			s.perform(o)
		}
	})
}

func (s *simulation) perform(o keeper.Output) {
	switch o := o.(type) {
	case keeper.Acquire:
		s.input(2*hop, keeper.Placed{ID: o.ID, Attempt: o.Attempt})
	case keeper.Ready:
		s.input(2*hop, keeper.ReadyAnswered{ID: o.ID, Request: o.Request, OK: true})
	case keeper.Send:
		answer := &keeper.Answer{Status: 200, Body: make([]byte, answerSize)}
		s.input(2*hop+workTime, keeper.Answered{ID: o.ID, Attempt: o.Attempt, Result: keeper.CallRan, Answer: answer})
	case keeper.Reply:
		took := s.now.Add(hop).Sub(s.began[o.Request]) - workTime - 6*hop
		s.figures.added = append(s.figures.added, float64(took)/1e6)
		delete(s.began, o.Request)
	case keeper.ReadHead:
		s.input(writeTime, keeper.HeadRead{Result: keeper.Missing})
	case keeper.WriteHead:
		value, err := o.Head.Encode()
		if err != nil {
			panic(err)
		}
		s.write(len(value))
		s.version++
		s.input(writeTime, keeper.HeadWritten{Stamp: o.Head.Stamp, Version: s.version, Result: keeper.Done})
	case keeper.WriteSegment:
		value, err := keeper.EncodeRecords(o.Records)
		if err != nil {
			panic(err)
		}
		s.write(len(value))
		s.input(writeTime, keeper.SegmentWritten{Segment: o.Segment, Result: keeper.Done})
	}
}

func (s *simulation) write(bytes int) {
	s.figures.writes++
	s.figures.bytes += bytes
}
