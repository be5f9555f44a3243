package runner_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/platform"
	"github.com/cicadawood/cicadawood/relayer"
	"github.com/cicadawood/cicadawood/runner"
	"github.com/cicadawood/cicadawood/storer"
)

// Guards against hosts that hear of no other entry any more for one that is larger than a frame.
var _ = Describe("An update of the workers' entries for other hosts", func() {
	update := func(count, bytes int) relayer.Update {
		w := relayer.Update{After: 10, Upto: storer.Version(20 + count)}
		for i := range count {
			w.Changed = append(w.Changed, storer.Object{Key: fmt.Sprintf("servers/i-%d", i), Value: make([]byte, bytes), Version: storer.Version(11 + i)})
		}
		return w
	}

	DescribeTable("fits the frames between hosts, and misses nothing", func(count, bytes, valueBytes int) {
		w := update(count, bytes)
		after, seen := uint64(w.After), 0
		for _, m := range runner.RelayedUpdates(w) {
			text, err := msgpack.Marshal(m)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(text)).To(BeNumerically("<=", messenger.MaxBody))
			Expect(m.After).To(Equal(after))
			for _, x := range m.Changed {
				Expect(x.Key).To(Equal(w.Changed[seen].Key))
				Expect(x.Value).To(HaveLen(valueBytes))
				seen++
			}
			after = m.Upto
		}
		Expect(seen).To(Equal(count))
		Expect(after).To(BeEquivalentTo(w.Upto))
	},
		Entry("no change", 0, 0, 0),
		Entry("a value as large as the store allows", 1, storer.MaxValueBytes, 0),
		Entry("several of them", 5, storer.MaxValueBytes, 0),
		Entry("values as large as an entry may be", 200, platform.MaxEntryBytes, platform.MaxEntryBytes),
		Entry("many small entries", 10_000, 300, 300),
	)
})
