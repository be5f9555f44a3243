package messenger_test

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cicadawood/cicadawood/messenger"
)

const (
	benchRounds   = 9
	benchMessages = 20000
)

// baseline is the frame of a minimal protocol to compare with: each names its
// sender, and none is acknowledged.
type baseline struct {
	From        string `msgpack:"from"`
	Incarnation uint64 `msgpack:"inc"`
	Sequence    uint64 `msgpack:"seq"`
	Generation  uint64 `msgpack:"gen"`
	Ack         uint64 `msgpack:"ack"`
	Kind        string `msgpack:"kind"`
	Body        []byte `msgpack:"body"`
}

var sample = messenger.Done{Request: "0123456789abcdef01234567", Cell: "cicada-lm/0", Worker: "lm-07", Tokens: 311, First: time.Second}

// runBaseline sends benchMessages in one direction with the minimal protocol
// and returns messages per second and bytes per message.
func runBaseline(b *testing.B) (rate, bytes float64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(conn)
		var head [4]byte
		for range benchMessages {
			if _, err := io.ReadFull(r, head[:]); err != nil {
				return
			}
			body := make([]byte, binary.BigEndian.Uint32(head[:]))
			var t baseline
			var m messenger.Done
			if _, err := io.ReadFull(r, body); err != nil || msgpack.Unmarshal(body, &t) != nil || msgpack.Unmarshal(t.Body, &m) != nil {
				return
			}
		}
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	started, total := time.Now(), 0
	for i := range benchMessages {
		body, _ := msgpack.Marshal(sample)
		frame, _ := msgpack.Marshal(baseline{From: "host-1", Incarnation: 1 << 60, Sequence: uint64(i), Generation: 12345, Kind: "done", Body: body})
		buf := append(binary.BigEndian.AppendUint32(nil, uint32(len(frame))), frame...)
		if _, err := conn.Write(buf); err != nil {
			b.Fatal(err)
		}
		total += len(buf)
	}
	<-done
	return benchMessages / time.Since(started).Seconds(), float64(total) / benchMessages
}

// runMessenger sends the same messages through two messengers. Bytes count both
// directions.
func runMessenger(b *testing.B) (rate, bytes float64) {
	got, count := make(chan struct{}), 0
	to, cleanTo, err := messenger.Open(messenger.Config{Name: "host-2", Incarnation: 1, Address: "127.0.0.1:0"}, func(messenger.Envelope, messenger.Message) {
		if count++; count == benchMessages {
			close(got)
		}
	})
	if err != nil {
		b.Fatal(err)
	}
	defer cleanTo()
	from, clean, err := messenger.Open(messenger.Config{Name: "host-1", Incarnation: 1, Address: "127.0.0.1:0"}, ignore)
	if err != nil {
		b.Fatal(err)
	}
	defer clean()
	from.SetGeneration(12345)
	started := time.Now()
	for range benchMessages {
		for from.Send(to.Address(), sample) != nil {
			time.Sleep(50 * time.Microsecond) // the queue is bounded
		}
	}
	<-got
	rate = benchMessages / time.Since(started).Seconds()
	sent, received := from.Traffic()
	return rate, float64(sent+received) / benchMessages
}

// BenchmarkMessenger compares the messenger with the minimal protocol, in
// alternation within one run.
func BenchmarkMessenger(b *testing.B) {
	for b.Loop() {
		var ratios, rates, baselineRates []float64
		var baselineBytes, messengerBytes float64
		for range benchRounds {
			t, bt := runBaseline(b)
			a, ba := runMessenger(b)
			ratios, rates, baselineRates = append(ratios, a/t), append(rates, a), append(baselineRates, t)
			baselineBytes, messengerBytes = bt, ba
		}
		slices.Sort(ratios)
		slices.Sort(rates)
		slices.Sort(baselineRates)
		b.ReportMetric(baselineRates[benchRounds/2], "baseline-msg/s")
		b.ReportMetric(rates[benchRounds/2], "messenger-msg/s")
		b.ReportMetric(ratios[benchRounds/2], "messenger/baseline")
		b.ReportMetric(ratios[0], "messenger/baseline-min")
		b.ReportMetric(ratios[benchRounds-1], "messenger/baseline-max")
		b.ReportMetric(baselineBytes, "baseline-B/msg")
		b.ReportMetric(messengerBytes, "messenger-B/msg")
	}
}
