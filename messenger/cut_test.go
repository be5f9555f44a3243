package messenger_test

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/messenger"
)

// Guards against a part of a frame that is taken for a whole one.
var _ = It("A frame that ends at any byte before its end is none", func() {
	var whole bytes.Buffer
	_, err := messenger.WriteFrame(&whole, messenger.RepeatBorrow{Service: "s", Sequence: 1 << 40, Amount: 1.5, Sharing: 9})
	Expect(err).NotTo(HaveOccurred())
	for n := range whole.Len() {
		var got messenger.RepeatBorrow
		_, err := messenger.ReadFrame(bytes.NewReader(whole.Bytes()[:n]), &got)
		Expect(err).To(HaveOccurred(), "%d bytes", n)
	}
})
