package soaker_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/platform"
)

// oddDepth is beyond the nesting limit of encoding/json; a value may hold eight times as much.
const oddDepth = 60_000

// maxJoinDelay is the time within which a worker that joins is used.
const maxJoinDelay = 2 * time.Second

// oddEntry is an entry that another writer may leave among the workers'.
type oddEntry struct{ name, spec string }

// oddEntries are of the desk service, so that a host that used one would send requests to it.
var oddEntries = []oddEntry{
	{"deep", strings.Repeat("[", oddDepth) + strings.Repeat("]", oddDepth)},
	{"deep-field", `{"service":"desk","address":"127.0.0.1:9","slots":8,"state":"ready","x":` + strings.Repeat(`{"a":`, oddDepth) + "1" + strings.Repeat("}", oddDepth) + "}"},
	{"number", `{"service":"desk","address":"127.0.0.1:9","slots":1e400,"state":"ready"}`},
	{"port", `{"service":"desk","address":"127.0.0.1:70000","slots":8,"state":"ready"}`},
	{"port-zero", `{"service":"desk","address":"127.0.0.1:0","slots":8,"state":"ready"}`},
	{"anyone", `{"service":"desk","address":"0.0.0.0:9","slots":9223372036854775807,"state":"ready"}`},
	{"large", `{"service":"desk","address":"127.0.0.1:9","slots":8,"state":"ready","x":"` + strings.Repeat("a", 1<<20-100) + `"}`},
}

// putOddEntries writes odd entries, all if no kinds are given, and returns the function that deletes them.
func (c *cluster) putOddEntries(kinds ...string) func() {
	for _, e := range oddEntries {
		if len(kinds) == 0 || slices.Contains(kinds, e.name) {
			c.store.PutRaw("servers", "odd-"+e.name, e.spec)
		}
	}
	return func() {
		for _, e := range oddEntries {
			c.store.Delete("servers", "odd-"+e.name)
		}
	}
}

// Guards against hosts that know no worker any more, or end, for one odd entry among the workers'.
var _ = Describe("A run with odd entries among the workers'", func() {
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		It("uses all others, at hosts that run and that start, and a worker that joins within 2 s, seed "+itoa(seed), func() {
			c := newCluster(seed)
			stopCallers := c.startCallers()
			remove := c.putOddEntries()
			time.Sleep(3 * time.Second)
			c.restartHost(c.hosts[0])
			c.expectUsed("d-new-1")
			remove()
			c.putOddEntries("deep", "large")
			c.expectUsed("d-new-2")
			stopCallers()
			c.checkAll()
		})
	}
})

// restartHost kills a host's process and starts it again.
func (c *cluster) restartHost(h *host) {
	h.processMu.Lock()
	defer h.processMu.Unlock()
	h.kill()
	h.start()
	Eventually(h.pollReady, waitTimeout, 50*time.Millisecond).Should(BeTrue(), h.name)
}

// expectUsed starts a worker, while all others of its service drain, and expects each host to send
// it a request within maxJoinDelay.
func (c *cluster) expectUsed(id string) {
	for _, x := range c.workers {
		if x.Service == "desk" {
			x.Register(c.store, platform.StateDraining)
		}
	}
	c.startWorker(&faker.Worker{ID: id, Service: "desk", Slots: 8, Delay: 5 * time.Millisecond})
	c.mu.Lock()
	x, joined := c.workers[len(c.workers)-1], time.Now()
	c.mu.Unlock()
	for _, h := range c.hosts {
		used := func() bool {
			request := fmt.Sprint(id, "-", h.name, "-", time.Now().UnixNano())
			e := send(h, request, "quote", "key-0", request, "")
			return e.status == http.StatusOK && x.Received(request)
		}
		Eventually(used, time.Until(joined.Add(maxJoinDelay)), time.Millisecond).Should(BeTrue(), "%s at %s", id, h.name)
	}
}
