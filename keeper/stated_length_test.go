package keeper_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/keeper"
)

// Guards against a host that ends for a record of a few bytes that states billions of elements.
var _ = It("A record that states more than it holds is refused", func() {
	billions := []byte{0xdd, 0xff, 0xff, 0xff, 0xff}
	_, err := keeper.DecodeRecords(billions)
	Expect(err).To(MatchError(keeper.ErrRecord))
	_, err = keeper.DecodeHead(append([]byte{0x81, 0xa1, 'z'}, billions...))
	Expect(err).To(MatchError(keeper.ErrRecord))
})
