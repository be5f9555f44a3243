package dispatcher_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/dispatcher"
	"github.com/cicadawood/cicadawood/loader"
)

func serviceOf(workers, cell int) loader.Service {
	s := loader.Service{Cell: cell}
	for i := range workers {
		s.Workers = append(s.Workers, loader.Worker{Name: fmt.Sprintf("w%03d", i), Slots: 1})
	}
	return s
}

func homes(cells []dispatcher.Cell) map[string]string {
	home := map[string]string{}
	for _, c := range cells {
		for _, w := range c.Workers {
			home[w.Name] = c.Name
		}
	}
	return home
}

var _ = Describe("Cells", func() {
	DescribeTable("hold every worker once, and at most so many", func(workers, size int) {
		cells := dispatcher.SplitCells("s", serviceOf(workers, size))
		Expect(homes(cells)).To(HaveLen(workers))
		for _, c := range cells {
			Expect(c.Workers).NotTo(BeEmpty())
			if size > 0 {
				Expect(len(c.Workers)).To(BeNumerically("<=", size))
			}
		}
	}, Entry("all in one", 12, 0), Entry("one each", 5, 1), Entry("uneven", 13, 6), Entry("many", 830, 6))

	// A worker that moves between cells is unknown to its new dispatcher until its
	// calls are claimed: an added worker must not move half of the others.
	It("move few workers when one is added or removed", func() {
		const sizes, meanMoved = 20, 5
		moved := 0
		for n := 90; n < 90+sizes; n++ {
			more := serviceOf(n+1, 6)
			less := loader.Service{Cell: 6, Workers: slices.Delete(slices.Clone(more.Workers), n/2, n/2+1)}
			before, after := homes(dispatcher.SplitCells("s", less)), homes(dispatcher.SplitCells("s", more))
			for w, c := range before {
				if after[w] != c {
					moved++
				}
			}
		}
		Expect(moved).To(BeNumerically("<=", sizes*meanMoved))
	})
})

var _ = Describe("A chooser", func() {
	It("prefers the cell with the shorter wait, until that is old", func() {
		var c dispatcher.Chooser
		c.RecordWait(ready, "a", "check", 2*time.Second)
		for r := range uint64(20) {
			Expect(c.Choose(ready, []string{"a", "b"}, "check", r)).To(Equal("b"))
		}
		seen := map[string]bool{}
		for r := range uint64(20) {
			seen[c.Choose(ready.Add(3*time.Second), []string{"a", "b"}, "check", r)] = true
		}
		Expect(seen).To(HaveLen(2))
	})
})
