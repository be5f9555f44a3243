package messenger_test

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cicadawood/cicadawood/messenger"
)

// Guards against a host of the next version whose new messages cut its connection, and with it
// all others, to hosts of this version.
var _ = It("skips messages of a kind that only a later version knows, and acknowledges them", func() {
	var got recorder
	receiver := open("new", 1, "127.0.0.1:0", got.handle)
	conn, err := net.Dial("tcp", receiver.Address())
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	known, err := msgpack.Marshal(messenger.Cancel{Request: "after"})
	Expect(err).NotTo(HaveOccurred())
	writeRaw(conn, []any{"later", uint64(1)})
	writeRaw(conn, []any{uint64(1), uint64(0), "from-the-future", []byte{0xc0}})
	writeRaw(conn, []any{uint64(2), uint64(0), "cancel", known})
	Eventually(got.all, 2*time.Second).Should(Equal([]string{"after"}))
	Expect(receiver.Counts().Unknown).To(BeEquivalentTo(1))
})
