package messenger_test

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/messenger"
)

// Guards against a host that ends for a message of a few bytes that states billions of elements.
var _ = DescribeTable("A message that states more than it holds, or is nested deeply, is refused",
	func(body []byte) {
		_, err := messenger.Envelope{Kind: "word", Body: body}.Message()
		Expect(err).To(MatchError(messenger.ErrFrame))
	},
	Entry("billions of changes", []byte{0x94, 0, 0, 0xdd, 0xff, 0xff, 0xff, 0xff}),
	Entry("an unknown field that is nested deeply", append(append([]byte{0x81, 0xa1, 'z'}, bytes.Repeat([]byte{0x91}, 1<<20-100)...), 0xc0)),
)
