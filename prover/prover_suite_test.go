package prover_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/prover"
)

func TestProver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "prover")
}

var _ = Describe("the table of cells", func() {
	It("gives a reason for each cell that can't occur, and no other", func() {
		possible := prover.Cells()
		for _, s := range prover.Steps() {
			for _, f := range prover.Faults() {
				if prover.ImpossibleReason(s, f) == "" {
					Expect(possible).To(ContainElement(prover.Cell(s, f)))
				} else {
					Expect(possible).NotTo(ContainElement(prover.Cell(s, f)))
				}
			}
		}
	})
})
