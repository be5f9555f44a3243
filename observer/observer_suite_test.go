package observer_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestObserver(t *testing.T) {
	RegisterFailHandler(Fail)
	// The seed is fixed so that every run tests the same schedules.
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		t.Fatal(err)
	}
	RunSpecs(t, "observer")
}
