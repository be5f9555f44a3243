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
	writeTime    = 5 * time.Millisecond
	networkDelay = 1500 * time.Microsecond // one way, between zones
	serviceTime  = 20 * time.Millisecond
	tickInterval = 20 * time.Millisecond
	answerSize   = 300 // bytes
)

// statistics are the counts and times of one run.
type statistics struct {
	calls, writes, bytes int
	addedMS              []float64 // latency of each call beyond its service time and six network delays, ascending
}

func (f statistics) writesPerCall() float64 { return float64(f.writes) / float64(max(f.calls, 1)) }

func (f statistics) quantile(q float64) float64 {
	if len(f.addedMS) == 0 {
		return 0
	}
	return f.addedMS[int(q*float64(len(f.addedMS)-1))]
}

// simulation runs one keeper with its store, its worker and its entry hosts in virtual
// time, without faults.
type simulation struct {
	now        time.Time
	end        time.Time
	rate       float64
	random     *rand.Rand
	keeper     *keeper.Keeper
	events     faker.EventQueue
	version    storer.Version
	startedAt  map[string]time.Time
	statistics statistics
}

func newSimulation(rate float64, r *rand.Rand) *simulation {
	now := time.Unix(1_800_000_000, 0)
	return &simulation{
		now: now, end: now.Add(runLength), rate: rate, random: r, startedAt: map[string]time.Time{},
		keeper: keeper.New("host", 1, keeper.Settings{MaxRecords: 1 << 20}),
	}
}

func (s *simulation) run() statistics {
	s.scheduleArrival()
	s.tick()
	for at, do, ok := s.events.Next(s.end); ok; at, do, ok = s.events.Next(s.end) {
		s.now = at
		do()
	}
	slices.Sort(s.statistics.addedMS)
	return s.statistics
}

func (s *simulation) after(d time.Duration, do func()) {
	s.events.Add(s.now.Add(d), do)
}

// scheduleArrival schedules the next call, which schedules the one after it: arrivals
// don't wait for answers.
func (s *simulation) scheduleArrival() {
	s.after(time.Duration(s.random.ExpFloat64()/s.rate*float64(time.Second)), func() {
		s.statistics.calls++
		request := fmt.Sprint(s.statistics.calls)
		s.startedAt[request] = s.now
		s.handleAfter(networkDelay, keeper.CallReceived{Call: keeper.Call{
			ID: keeper.NewID("org", "service", request), Request: request, From: "entry", Deadline: s.now.Add(10 * time.Second),
		}})
		s.scheduleArrival()
	})
}

func (s *simulation) tick() {
	s.handleAfter(tickInterval, keeper.Ticked{})
	s.after(tickInterval, s.tick)
}

func (s *simulation) handleAfter(d time.Duration, in keeper.Input) {
	s.after(d, func() {
		for _, o := range s.keeper.Handle(s.now, in) {
			s.perform(o)
		}
	})
}

func (s *simulation) perform(o keeper.Output) {
	switch o := o.(type) {
	case keeper.Acquire:
		s.handleAfter(2*networkDelay, keeper.Placed{ID: o.ID, Attempt: o.Attempt})
	case keeper.Ready:
		s.handleAfter(2*networkDelay, keeper.ReadyAnswered{ID: o.ID, Request: o.Request, OK: true})
	case keeper.Send:
		answer := &keeper.Answer{Status: 200, Body: make([]byte, answerSize)}
		s.handleAfter(2*networkDelay+serviceTime, keeper.Answered{ID: o.ID, Attempt: o.Attempt, Result: keeper.CallRan, Answer: answer})
	case keeper.Reply:
		took := s.now.Add(networkDelay).Sub(s.startedAt[o.Request]) - serviceTime - 6*networkDelay
		s.statistics.addedMS = append(s.statistics.addedMS, float64(took)/1e6)
		delete(s.startedAt, o.Request)
	case keeper.ReadHead:
		s.handleAfter(writeTime, keeper.HeadRead{Result: keeper.Missing})
	case keeper.WriteHead:
		value, err := o.Head.Encode()
		if err != nil {
			panic(err)
		}
		s.countWrite(len(value))
		s.version++
		s.handleAfter(writeTime, keeper.HeadWritten{Stamp: o.Head.Stamp, Version: s.version, Result: keeper.Done})
	case keeper.WriteSegment:
		value, err := keeper.EncodeRecords(o.Records)
		if err != nil {
			panic(err)
		}
		s.countWrite(len(value))
		s.handleAfter(writeTime, keeper.SegmentWritten{Segment: o.Segment, Result: keeper.Done})
	}
}

func (s *simulation) countWrite(bytes int) {
	s.statistics.writes++
	s.statistics.bytes += bytes
}
