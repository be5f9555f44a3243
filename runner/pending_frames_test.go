package runner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/prover"
	"github.com/cicadawood/cicadawood/runner"
)

// Guards against an ask that is dropped because the dispatcher's host has just started, or
// receives the configuration with a new service a moment after the entry: the caller would
// wait until the entry asks again.
var _ = Describe("A frame for a cell that is not known yet", Label(prover.Cell(prover.Asked, prover.Reorder)), func() {
	now := time.Unix(1000, 0)
	folder := func(services ...string) *loader.Folder {
		f := &loader.Folder{Services: map[string]loader.Service{}}
		for _, s := range services {
			f.Services[s] = loader.Service{Workers: []loader.Worker{{Name: "w", Slots: 1}}}
		}
		return f
	}
	ask := messenger.Ask{Request: "r", Cell: "new/0"}
	var h *runner.PendingFrames
	BeforeEach(func() {
		h = &runner.PendingFrames{}
		Expect(h.Release(now, folder("old"), 7)).To(BeEmpty())
	})

	It("waits for the sender's configuration", func() {
		Expect(h.Add(now, "a", ask, 8)).To(BeTrue())
		Expect(h.Release(now.Add(time.Second), folder("old", "new"), 8)).To(Equal([]messenger.Message{ask}))
		Expect(h.Add(now, "a", ask, 8)).To(BeFalse())
	})

	It("waits on a host that has just started", func() {
		fresh := &runner.PendingFrames{}
		Expect(fresh.Add(now, "a", ask, 8)).To(BeTrue())
		Expect(fresh.Release(now, folder("new"), 8)).To(HaveLen(1))
	})

	It("does not wait where the configuration is not newer, or the cell is known", func() {
		Expect(h.Add(now, "a", ask, 7)).To(BeFalse())
		Expect(h.Add(now, "a", messenger.Ask{Cell: "old/0"}, 8)).To(BeFalse())
		Expect(h.Add(now, "a", messenger.Done{Cell: "new/0"}, 8)).To(BeFalse())
	})

	It("waits for a bounded time, in bounded number", func() {
		for range 1024 {
			Expect(h.Add(now, "a", ask, 8)).To(BeTrue())
		}
		Expect(h.Add(now, "a", ask, 8)).To(BeFalse())
		Expect(h.Release(now.Add(2*time.Second), folder("new"), 8)).To(BeEmpty())
	})
})
