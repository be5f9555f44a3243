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
	s := loader.Service{CellSize: cell}
	for i := range workers {
		s.Workers = append(s.Workers, loader.Worker{Name: fmt.Sprintf("w%03d", i), Slots: 1})
	}
	return s
}

func cellByWorker(cells []dispatcher.Cell) map[string]string {
	byWorker := map[string]string{}
	for _, c := range cells {
		for _, w := range c.Workers {
			byWorker[w.Name] = c.Name
		}
	}
	return byWorker
}

var _ = Describe("SplitCells", func() {
	DescribeTable("puts each worker into one cell, and no more than the maximum into any", func(workers, size int) {
		cells := dispatcher.SplitCells("s", serviceOf(workers, size))
		Expect(cellByWorker(cells)).To(HaveLen(workers))
		for _, c := range cells {
			Expect(c.Workers).NotTo(BeEmpty())
			if size > 0 {
				Expect(len(c.Workers)).To(BeNumerically("<=", size))
			}
		}
	}, Entry("one cell", 12, 0), Entry("one worker per cell", 5, 1), Entry("not divisible", 13, 6), Entry("many workers", 830, 6))

	// A worker that moves is unknown to its new dispatcher until its calls are
	// claimed: adding one worker must not move half of the others.
	It("moves few workers when one is added or removed", func() {
		const sizes, meanMoved = 20, 5
		moved := 0
		for n := 90; n < 90+sizes; n++ {
			larger := serviceOf(n+1, 6)
			smaller := loader.Service{CellSize: 6, Workers: slices.Delete(slices.Clone(larger.Workers), n/2, n/2+1)}
			before, after := cellByWorker(dispatcher.SplitCells("s", smaller)), cellByWorker(dispatcher.SplitCells("s", larger))
			for w, c := range before {
				if after[w] != c {
					moved++
				}
			}
		}
		Expect(moved).To(BeNumerically("<=", sizes*meanMoved))
	})
})

var _ = Describe("Chooser", func() {
	It("prefers the cell with the shorter expected wait until the report is out of date", func() {
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
