package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"runtime"
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/keeper"
)

const (
	recordCount   = 20_000
	segmentLength = 1000 // records
	takeoverRuns  = 5
)

// takeover measures the processor time that a keeper needs to read a full log, and the
// memory that it then uses. The time of the store is not included.
func takeover(out io.Writer) error {
	head, stored, err := fullLog()
	if err != nil {
		return err
	}
	var took []time.Duration
	var bytes uint64
	for range takeoverRuns {
		before := heapBytes()
		started := time.Now()
		k, err := openLog(head, stored)
		if err != nil {
			return err
		}
		took = append(took, time.Since(started))
		bytes = heapBytes() - before
		runtime.KeepAlive(k)
	}
	slices.Sort(took)
	total := 0
	for _, s := range stored {
		total += len(s)
	}
	_, err = fmt.Fprintf(out, "\ntake-over of %d records, answers of %d bytes, %d kB in %d segments: %s (%s..%s) of processor time, %d kB of memory\n",
		recordCount, answerSize, total/1000, len(stored), took[takeoverRuns/2].Round(time.Millisecond), took[0].Round(time.Millisecond),
		took[takeoverRuns-1].Round(time.Millisecond), bytes/1000)
	return err
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func fullLog() (keeper.Head, [][]byte, error) {
	h := keeper.Head{Epoch: 1}
	var stored [][]byte
	var records []*keeper.Record
	for i := range recordCount {
		var id keeper.ID
		binary.BigEndian.PutUint64(id[:], uint64(i)*0x9e3779b97f4a7c15)
		answer := &keeper.Answer{Status: 200, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: make([]byte, answerSize)}
		records = append(records, &keeper.Record{ID: id, At: int64(i + 1), State: keeper.Ran, Answer: answer})
		if len(records) < segmentLength {
			continue
		}
		value, err := keeper.EncodeRecords(records)
		if err != nil {
			return h, nil, err
		}
		h.Segments = append(h.Segments, keeper.Segment{Epoch: 1, Sequence: uint64(len(stored) + 1), NewestAt: int64(i + 1), Size: len(value), Level: 9})
		stored, records = append(stored, value), nil
	}
	return h, stored, nil
}

// openLog passes a stored log to a new keeper, as the keeper's adapter does, and returns the
// keeper once it has loaded the log.
func openLog(h keeper.Head, stored [][]byte) (*keeper.Keeper, error) {
	k, now := keeper.New("host", 2, keeper.Settings{}), time.Unix(1_800_000_000, 0)
	k.Handle(now, keeper.CallReceived{Call: keeper.Call{Request: "first", Deadline: now.Add(time.Second)}})
	var last keeper.Output
	for _, o := range k.Handle(now, keeper.HeadRead{Head: h, Version: 1, Result: keeper.Done}) {
		last = o
	}
	k.Handle(now, keeper.HeadWritten{Stamp: last.(keeper.WriteHead).Head.Stamp, Version: 2, Result: keeper.Done})
	for i, s := range h.Segments {
		records, err := keeper.DecodeRecords(stored[i])
		if err != nil {
			return nil, err
		}
		k.Handle(now, keeper.SegmentRead{Segment: s, Records: records, Result: keeper.Done})
	}
	if s := k.Summary(); !s.Ready || s.Records != recordCount {
		return nil, fmt.Errorf("keeper did not load the log: %+v", s)
	}
	return k, nil
}
