package messenger_test

import (
	"net"
	"sync/atomic"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/messenger"
)

// failingListener fails to accept connections while it has failures left.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a host that gets no messages of others any more since it once had too few descriptors.
var _ = It("The messenger accepts connections again after it could not", func() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	listener := &failingListener{Listener: l}
	listener.failures.Store(3)
	got := &recorder{}
	var reported atomic.Int64
	receiver := openWith(messenger.Config{Name: "b", Incarnation: 1, Listener: listener, OnAcceptFailure: func(error) { reported.Add(1) }}, got.handle)
	sender := open("a", 1, "127.0.0.1:0", ignore)
	sendAll(sender, receiver.Address(), numbered(0, 3))
	Eventually(got.all, "5s").Should(Equal(numbered(0, 3)))
	Expect(receiver.Counts().Unaccepted).To(Equal(uint64(3)))
	Expect(reported.Load()).To(Equal(int64(3)))
})
