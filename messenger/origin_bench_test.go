package messenger_test

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cicadawood/cicadawood/messenger"
)

// BenchmarkOriginBytes measures the size of the message by which one stream's beginning is reported.
func BenchmarkOriginBytes(b *testing.B) {
	m := messenger.StreamOrigins{Streams: []messenger.StreamOrigin{{
		Key: 1 << 63, Service: "drafting-models", Worker: "i-73deb3fb2c", Incarnation: "12", Version: "v1.2", Host: "front-druzhba-hall-2.3a9f01", Age: time.Millisecond,
	}}}
	for b.Loop() {
		body, err := msgpack.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(body)), "B/stream")
	}
}
