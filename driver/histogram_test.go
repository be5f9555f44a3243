package driver_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/driver"
)

// Guards against dropping a call that takes longer than the range of the histogram, as
// when a host hangs: the percentiles would then miss the slowest calls.
var _ = Describe("Times of calls", func() {
	It("count a time beyond the range as the longest", func() {
		longest := driver.TimeAtPercentile(100, time.Millisecond, time.Hour)
		Expect(longest).To(BeNumerically("~", 2*time.Minute, 200*time.Millisecond))
		Expect(driver.TimeAtPercentile(50, time.Millisecond, time.Hour)).To(BeNumerically("~", time.Millisecond, time.Microsecond))
	})
})
