package driver_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/driver"
)

// A host hangs, and a call takes longer than the histogram tells apart. Dropped, the
// slowest call is missing from the very figure that it should show in.
var _ = Describe("Times of calls", func() {
	It("count one beyond the longest as the longest", func() {
		longest := driver.TimeAtPercentile(100, time.Millisecond, time.Hour)
		Expect(longest).To(BeNumerically("~", 2*time.Minute, 200*time.Millisecond))
		Expect(driver.TimeAtPercentile(50, time.Millisecond, time.Hour)).To(BeNumerically("~", time.Millisecond, time.Microsecond))
	})
})
