package resumer_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cicadawood/cicadawood/resumer"
)

// BenchmarkBegan measures what a stream's record costs, in time and in memory.
func BenchmarkBegan(b *testing.B) {
	const streams = 60_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := newResumer("h-1", true, worker("a", "v1"), worker("b", "v2"))
		started := time.Now()
		for i := range streams {
			// Names arrive in messages, so that records share none of them.
			w := worker(fmt.Sprint("i-0123456789", i%10), "v1.2")
			r.Receive(start, resumer.Record{Key: resumer.Key(i + 1), Worker: w, Host: fmt.Sprint("front-druzhba-hall-", i%9), At: start})
		}
		took := time.Since(started)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(took.Nanoseconds())/streams, "ns/stream")
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/streams, "B/stream")
		runtime.KeepAlive(r)
	}
}

// BenchmarkResolve measures a decision on a stream whose beginning is known.
func BenchmarkResolve(b *testing.B) {
	r := newResumer("h-1", true, worker("a", "v1"), worker("b", "v2"))
	r.Began(start, []resumer.Key{1}, worker("a", "v1"))
	t := resumer.TakenUp{Stream: 1, Services: []string{service}}
	for b.Loop() {
		r.Resolve(start, t, false, nil)
	}
}

// BenchmarkResolveUnnamed measures a decision on a stream whose caller names no attempt, where
// one version serves.
func BenchmarkResolveUnnamed(b *testing.B) {
	r := newResumer("h-1", true, worker("a", "v1"), worker("b", "v1"))
	t := resumer.TakenUp{Services: []string{service}}
	for b.Loop() {
		r.Resolve(start, t, false, nil)
	}
}
