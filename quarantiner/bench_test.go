package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadawood/cicadawood/quarantiner"
)

// BenchmarkFingerprintOf measures the fingerprint of a long prompt.
func BenchmarkFingerprintOf(b *testing.B) {
	body := make([]byte, 18_000)
	for range b.N {
		_ = quarantiner.FingerprintOf("organisation", "POST", "/v1/plans/17", body)
	}
}

// BenchmarkWorkerCrashed measures the recording of one crash, with as many marks as a crash of
// thirty workers with fifty requests each leaves, and one quarantined request.
func BenchmarkWorkerCrashed(b *testing.B) {
	var tracker quarantiner.Tracker
	now := time.Unix(1000, 0)
	for i := range 3 {
		now = now.Add(time.Second)
		tracker.WorkerCrashed(now, 1, fmt.Sprint("w-", i), now.Add(-time.Millisecond))
	}
	for i := range 1500 {
		tracker.WorkerCrashed(now, quarantiner.Fingerprint(2+i), fmt.Sprint("x-", i/50), now.Add(-time.Millisecond))
	}
	b.ResetTimer()
	for i := range b.N {
		tracker.WorkerCrashed(now, quarantiner.Fingerprint(2+i%1500), "x-31", now.Add(-time.Second))
	}
}

// BenchmarkQuarantined measures the check that each request goes through, with nothing
// quarantined.
func BenchmarkQuarantined(b *testing.B) {
	var tracker quarantiner.Tracker
	now := time.Unix(1000, 0)
	for range b.N {
		_, _ = tracker.Quarantined(now, 7)
	}
}
