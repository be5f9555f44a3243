package registrar_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	adapter "github.com/cicadawood/cicadawood/platform"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/registrar"
)

const (
	benchSettle = 3 * time.Second
	benchLength = 8 * time.Second
)

// BenchmarkHeartbeat measures the cost of membership per host in fleets of 2 to 32 hosts, in
// this process, each with its own messenger on loopback.
func BenchmarkHeartbeat(b *testing.B) {
	for _, hosts := range []int{2, 4, 8, 16, 32} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			for b.Loop() {
				measure(b, hosts)
			}
		})
	}
}

// benchHost is one host of the benchmark.
type benchHost struct {
	m     *messenger.Messenger
	r     *registrar.Registrar
	ready chan struct{}
}

func measure(b *testing.B, hosts int) {
	platform := faker.NewPlatform()
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	ctx, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	fleet := make([]*benchHost, hosts)
	for i := range fleet {
		store, clean := adapter.NewStore(server.URL)
		defer clean()
		h := &benchHost{ready: make(chan struct{})}
		name := fmt.Sprintf("host-%02d", i)
		m, cleanMessenger, err := messenger.Open(messenger.Config{Name: name, Incarnation: 1, Address: "127.0.0.1:0"}, func(e messenger.Envelope, msg messenger.Message) {
			<-h.ready
			h.r.Receive(e.From, msg)
		})
		if err != nil {
			b.Fatal(err)
		}
		defer cleanMessenger()
		h.m = m
		h.r = registrar.New(registrar.Config{
			Self:              registrar.Record{Name: name, Zone: fmt.Sprint("z", i%4), Control: m.Address(), Incarnation: 1},
			HeartbeatInterval: beat, LeaseDuration: 20 * time.Second, Store: store, Transport: m, Log: zap.NewNop(), Notify: func(registrar.Roster) {},
		})
		close(h.ready)
		tasks.Go(func() { h.r.Run(ctx) })
		fleet[i] = h
	}
	time.Sleep(benchSettle)
	before, cpu := traffic(fleet), processorTime()
	reads, writes := platform.Calls()
	time.Sleep(benchLength)
	after, cpuAfter := traffic(fleet), processorTime()
	readsAfter, writesAfter := platform.Calls()
	per := float64(hosts) * benchLength.Seconds()
	var mem runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&mem)
	alive := fleet[0].r.Counts().Alive
	stop()
	tasks.Wait()
	if alive != hosts {
		b.Fatalf("%d of %d hosts alive", alive, hosts)
	}
	b.ReportMetric(float64(after-before)/per, "B/s/host")
	b.ReportMetric(100*(cpuAfter-cpu).Seconds()/per, "%core/host")
	b.ReportMetric(float64(mem.HeapAlloc)/float64(hosts)/1024, "heapKB/host")
	b.ReportMetric(float64(readsAfter-reads)/per, "store-reads/s/host")
	b.ReportMetric(float64(writesAfter-writes)/per, "store-writes/s/host")
}

// traffic returns the number of bytes sent and received by all hosts.
func traffic(fleet []*benchHost) uint64 {
	var total uint64
	for _, h := range fleet {
		sent, received := h.m.Traffic()
		total += sent + received
	}
	return total
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkFleet simulates fleets up to the size to design for in virtual time, and counts
// the membership messages at rest and after the failure of a host.
func BenchmarkFleet(b *testing.B) {
	for _, hosts := range []int{9, 36, 120, 360} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(hosts, 7, 3)
				f.run(5 * time.Second)
				started, sent := time.Now(), f.sent()
				f.run(20 * time.Second)
				b.ReportMetric(float64(f.sent()-sent)/float64(hosts)/20, "msg/s/host")
				b.ReportMetric(100*time.Since(started).Seconds()/float64(hosts)/20, "%core/host")
				sent = f.sent()
				f.kill(victim)
				killedAt := f.now
				for f.now-killedAt < 10*time.Second && (len(f.rosters()) > 1 || f.rosters()[0] != f.running()) {
					f.run(10 * time.Millisecond)
				}
				b.ReportMetric(float64((f.now-killedAt)/time.Millisecond), "ms-to-know")
				f.run(5 * time.Second)
				b.ReportMetric(float64(f.sent()-sent)/float64(hosts), "msg/host-in-death")
			}
		})
	}
}

// sent returns the number of messages sent by all hosts so far.
func (f *fleet) sent() int {
	total := 0
	for _, n := range f.nodes {
		total += n.sent
	}
	return total
}
