package attributor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadawood/cicadawood/attributor"
)

// BenchmarkRequest measures what a request costs that is sent and answered, with four parts.
func BenchmarkRequest(b *testing.B) {
	a := &attributor.Attributor{}
	now := time.Unix(1_800_000_000, 0)
	for i := range b.N {
		parts := attributor.IDs(attributor.Keys("m", []string{"a", "b", fmt.Sprint(i % 1000), "own"}))[:3]
		a.Sent(parts)
		a.Served(now, parts)
	}
}

// BenchmarkCrash measures the crash of a worker with 128 requests of four parts each, and its
// judgement, beside as many suspects as are kept.
func BenchmarkCrash(b *testing.B) {
	a := &attributor.Attributor{}
	now := time.Unix(1_800_000_000, 0)
	for i := range b.N {
		now = now.Add(100 * time.Millisecond)
		for j := range 128 {
			a.Crashed(now, fmt.Sprint(i), attributor.Request{Content: uint64(i*128 + j), SentAt: now, Parts: []attributor.PartID{attributor.PartID(1 + j%3), attributor.PartID(100 + 128*i + j), attributor.PartID(10)}})
		}
		a.Judge(now.Add(60 * time.Millisecond))
	}
}
