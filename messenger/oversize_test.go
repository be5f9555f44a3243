package messenger_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/messenger"
)

// Guards against one message over the bound of a frame that ends the connection again and again,
// so that no later message arrives.
var _ = Describe("A message that is larger than a frame may be", func() {
	It("is refused, and the messages after it arrive", func() {
		var got recorder
		to := unusedAddress()
		open("b", 1, to, got.handle)
		a := open("a", 1, unusedAddress(), got.handle)
		Expect(a.Send(to, messenger.Cancel{Request: "before"})).To(Succeed())
		Expect(a.Send(to, messenger.Cancel{Request: strings.Repeat("x", messenger.MaxFrame)})).To(MatchError(messenger.ErrFrame))
		Expect(a.Send(to, messenger.Cancel{Request: "after"})).To(Succeed())
		Eventually(got.all, 3*time.Second).Should(Equal([]string{"before", "after"}))
		Expect(a.Counts().Dropped).To(BeEquivalentTo(1))
	})

	It("is sent if it just fits", func() {
		var got recorder
		to := unusedAddress()
		open("b", 1, to, got.handle)
		a := open("a", 1, unusedAddress(), got.handle)
		Expect(a.Send(to, messenger.Cancel{Request: strings.Repeat("x", messenger.MaxBody-32)})).To(Succeed())
		Expect(a.Send(to, messenger.Cancel{Request: "after"})).To(Succeed())
		Eventually(func() int { return len(got.all()) }, 3*time.Second).Should(Equal(2))
	})
})
