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

var _ = Describe("The fault matrix", func() {
	It("gives a reason for exactly the cells that can't occur", func() {
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
