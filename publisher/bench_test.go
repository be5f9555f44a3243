package publisher_test

import (
	"context"
	"fmt"
	"maps"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/loader"
	adapter "github.com/cicadawood/cicadawood/platform"
	"github.com/cicadawood/cicadawood/publisher"
	"github.com/cicadawood/cicadawood/storer"
)

// folderOf returns a folder with the given numbers of organisations, each with two keys,
// and workers.
func folderOf(organisations, workers int) loader.Files {
	files := loader.Files{"10.json": `{"classes": {"quote": {"tier": 0, "whole": "1s"}, "chat": {"tier": 1, "whole": "20s"}, "plan": {"tier": 2, "whole": "90s"}}}`}
	const part = 100
	for i := 0; i < organisations; i += part {
		var b strings.Builder
		fmt.Fprintf(&b, "// Organisations from %d on.\n{\"organisations\": {\n", i)
		for j := i; j < min(i+part, organisations); j++ {
			fmt.Fprintf(&b, "  \"org-%d\": {\n    \"keys\": [%q, %q],\n    \"requests\": 20,\n    \"tokens\": 4000,\n    \"classes\": [\"quote\", \"chat\", \"plan\"],\n  },\n",
				j, loader.HashKey(fmt.Sprint("a", j)), loader.HashKey(fmt.Sprint("b", j)))
		}
		b.WriteString("}}\n")
		files[fmt.Sprintf("20-%04d.jsonc", i)] = b.String()
	}
	var b strings.Builder
	b.WriteString("{\"services\": {\"lm\": {\"kind\": \"engine\", \"owner\": \"o\", \"models\": [\"lm\"], \"routes\": [{\"class\": \"chat\"}], \"workers\": [\n")
	for i := range workers {
		fmt.Fprintf(&b, "  {\"name\": \"lm-%d\", \"address\": \"10.20.%d.%d:8000\", \"zone\": \"z%d\", \"slots\": 8},\n", i, i/250, i%250, i%7)
	}
	files["30.jsonc"] = b.String() + "]}}}\n"
	return files
}

// BenchmarkSize pushes, unpacks and parses folders, and reports their size as text and
// packed.
func BenchmarkSize(b *testing.B) {
	for _, n := range []int{10, 100, 940} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			files := folderOf(n, n*830/940)
			text := 0
			for _, f := range files {
				text += len(f)
			}
			s := &fakeStore{}
			for b.Loop() {
				*s = fakeStore{}
				if _, err := (publisher.Pusher{Store: s}).Push(context.Background(), publisher.Change{Files: files}); err != nil {
					b.Fatal(err)
				}
				h, err := publisher.Unpack(s.value)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := h.Files.Parse(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(text), "text-B")
			b.ReportMetric(float64(len(s.value)), "packed-B")
		})
	}
}

const (
	// idleWindow is the time in which reads are counted while nothing changes.
	idleWindow = 10 * time.Second
	// changeWindow is the time in which reads are still counted after all followers have a
	// change in force.
	changeWindow = 500 * time.Millisecond
)

// BenchmarkReads counts the followers' reads of the platform, while nothing changes and
// for one change.
func BenchmarkReads(b *testing.B) {
	for _, n := range []int{4, 16, 64, 360} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			base := folderOf(940, 829)
			platform := faker.NewPlatform()
			server := httptest.NewServer(platform.Handler())
			defer server.Close()
			defer server.CloseClientConnections()
			store, clean := adapter.NewStore(server.URL)
			defer clean()
			push := func(tier int) uint64 {
				h, err := publisher.Read(context.Background(), store)
				if err != nil {
					b.Fatal(err)
				}
				files := maps.Clone(base)
				files["40.json"] = class("hold", tier)
				r, err := publisher.Pusher{Store: store}.Push(context.Background(), publisher.Change{Files: files, Base: publisher.BaseOf(h.Generation, h.Files)})
				if err != nil {
					b.Fatal(err)
				}
				return r.Generation
			}
			g := push(0)
			followers, stop := startFollowers(n, store)
			defer stop()
			awaitAll(followers, g)
			for b.Loop() {
				before, _ := platform.Calls()
				time.Sleep(idleWindow)
				after, _ := platform.Calls()
				b.ReportMetric(float64(after-before)/idleWindow.Seconds()/float64(n), "reads/s/host")
				start := time.Now()
				awaitAll(followers, push(after))
				b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms-to-all")
				time.Sleep(changeWindow)
				end, _ := platform.Calls()
				b.ReportMetric(float64(end-after)/float64(n), "reads/host/change")
			}
		})
	}
}

func startFollowers(n int, store storer.Store) ([]*publisher.Follower, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	followers := make([]*publisher.Follower, n)
	for i := range followers {
		followers[i] = publisher.NewFollower(store, publisher.Timing{}, zap.NewNop(), publisher.Actions{
			Enforce: func(*loader.Folder, uint64) {}, RequestHead: func(string, uint64) {}, SetReady: func(bool) {},
		})
		tasks.Go(func() { followers[i].Run(ctx) })
	}
	return followers, func() {
		cancel()
		tasks.Wait()
	}
}

func awaitAll(followers []*publisher.Follower, generation uint64) {
	for _, f := range followers {
		for f.Head().Generation < generation {
			time.Sleep(time.Millisecond)
		}
	}
}
