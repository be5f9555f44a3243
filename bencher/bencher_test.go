package bencher_test

import (
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/bencher"
)

func TestBencher(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bencher")
}

// rowOf returns the row of that name.
func rowOf(name string) bencher.Row {
	rows := bencher.Rows()
	return rows[slices.IndexFunc(rows, func(r bencher.Row) bool { return r.Name == name })]
}

// results runs a workload with two seeds at 1.5 times the capacity.
func results(w bencher.Workload, k bencher.Condition, row string) []bencher.Result {
	return bencher.Point{Workload: w, Demand: 1.5, Condition: k, Row: rowOf(row)}.Run(1, 2)
}

var _ = Describe("The policy at 1.5 times the capacity", func() {
	topTierClasses := []string{"quote", "hold", "check"}

	DescribeTable("meets the targets of the top tier, and starves no class",
		func(w bencher.Workload) {
			actual, bound := results(w, bencher.NoFault, "ours"), results(w, bencher.NoFault, "bound")
			for i, r := range actual {
				for name, t := range r.Classes {
					if slices.Contains(topTierClasses, name) {
						Expect(t.PassedOver).To(BeZero(), "%s of %s was refused although a lower tier was granted", name, r.Service)
						Expect(t.Met).To(BeNumerically(">=", 99*bound[i].Classes[name].Met/100), "%s of %s", name, r.Service)
					}
					Expect(t.MaxGap).To(BeNumerically("<", 60), "%s of %s", name, r.Service)
				}
			}
		},
		Entry("Wodnik", bencher.Wodnik()), Entry("Krilo", bencher.Krilo()),
	)

	It("gives the same figures in each run", func() {
		Expect(results(bencher.Wodnik(), bencher.WorkerCrash, "cell-6")).To(Equal(results(bencher.Wodnik(), bencher.WorkerCrash, "cell-6")))
	})
})
