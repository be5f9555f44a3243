package messenger_test

import (
	"encoding/binary"
	"net"
	"runtime"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/reserver"
)

// hello is the first frame of a connection.
type hello struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Name        string
	Incarnation uint64
}

// begin opens a connection and sends a hello, and then the given bytes.
func begin(address, name string, then []byte) {
	c, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	_, err = messenger.WriteFrame(c, hello{Name: name, Incarnation: 1})
	Expect(err).NotTo(HaveOccurred())
	_, err = c.Write(then)
	Expect(err).NotTo(HaveOccurred())
}

// stated returns the length of a frame, and the given number of bytes of it.
func stated(length, sent int) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(length)), make([]byte, sent)...)
}

var _ = Describe("Frames that don't arrive whole", func() {
	const senders = 60

	// Guards against a host that is killed because senders state frames that they don't send.
	It("take no memory for what has not arrived", func() {
		address := unusedAddress()
		m := openWith(messenger.Config{Name: "a", Incarnation: 1, Address: address}, ignore)
		heap := func() uint64 {
			var s runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&s)
			return s.HeapAlloc
		}
		before := heap()
		for i := range senders {
			begin(address, numbered(0, senders)[i], stated(messenger.MaxFrame, 10))
		}
		Eventually(func() uint64 { return m.Counts().Received }, "5s").Should(BeNumerically(">=", senders*8))
		Consistently(heap, "300ms").Should(BeNumerically("<", before+senders*messenger.MaxFrame/4))
	})

	// Guards against the same with frames that arrive but for their end.
	It("count for the memory, and don't keep other frames out", func() {
		const limit = 8 << 20
		memory := reserver.New(limit)
		address := unusedAddress()
		var r recorder
		_ = openWith(messenger.Config{Name: "a", Incarnation: 1, Address: address, Memory: memory}, r.handle)
		for i := range senders {
			begin(address, numbered(0, senders)[i], stated(messenger.MaxFrame, 300<<10))
		}
		Eventually(func() int64 { return memory.Refused(reserver.Frame) }, "5s").Should(BeNumerically(">", 0))
		_, most := memory.Taken()
		Expect(most).To(BeNumerically("<=", limit))
		sendAll(open("b", 1, unusedAddress(), ignore), address, numbered(0, 20))
		Eventually(r.all, "5s").Should(Equal(numbered(0, 20)))
	})
})
