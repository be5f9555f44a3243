package checker_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/checker"
)

func TestChecker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "checker")
}

// endedConn is a connection that is at its end for who reads, and fails for who writes.
type endedConn struct {
	net.Conn
	failure error
}

func (endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c endedConn) Write([]byte) (int, error) { return 0, c.failure }

// Guards against an end that passes for orderly because a write got the error of the failure.
var _ = DescribeTable("A connection that ends for its reader, after a write",
	func(failure error, inOrder bool) {
		c := checker.NewConn(endedConn{failure: failure})
		_, err := c.Write([]byte("x"))
		Expect(errors.Is(err, failure)).To(BeTrue(), "the writer gets it, too: %v", err)
		_, err = c.Read(make([]byte, 1))
		if inOrder {
			Expect(err).To(Equal(io.EOF))
			return
		}
		Expect(err).To(MatchError(checker.ErrBroken))
		Expect(err).To(MatchError(failure))
		Expect(err).NotTo(MatchError(io.EOF))
	},
	Entry("has ended in order if the write succeeded", error(nil), true),
	Entry("has ended in order if the write came after the end", error(&net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EPIPE)}), true),
	Entry("has ended in order if the write was ended by its deadline", error(&net.OpError{Op: "write", Err: os.ErrDeadlineExceeded}), true),
	Entry("is broken if the write got a reset", error(&net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ECONNRESET)}), false),
	Entry("is broken if the write got a time-out of sent bytes", error(&net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ETIMEDOUT)}), false),
	Entry("is broken if the write got that the host is unreachable", error(&net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EHOSTUNREACH)}), false),
)

// pendingConn is a connection that is at its end for who reads, and whose state is unknown, while a write lasts.
type pendingConn struct {
	endedConn
	begun, goOn chan struct{}
}

func (c pendingConn) Write([]byte) (int, error) {
	close(c.begun)
	<-c.goOn
	return 0, errors.New("ended")
}

var _ = Describe("A connection that ends for its reader while a write is under way", func() {
	It("is broken if its state is unknown", func() {
		pending := pendingConn{begun: make(chan struct{}), goOn: make(chan struct{})}
		DeferCleanup(func() { close(pending.goOn) })
		c := checker.NewConn(pending)
		go func() { _, _ = c.Write([]byte("x")) }()
		<-pending.begun
		_, err := c.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(io.EOF))
	})

	// Guards against a read that waits for a write that may last for as long as the peer does not read.
	It("has ended in order if the peer closed its direction", func() {
		near, far := pair()
		writeLarge(near)
		Expect(far.CloseWrite()).To(Succeed())
		Expect(near.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err := near.Read(make([]byte, 1))
		Expect(err).To(Equal(io.EOF))
	})

	It("has ended in order if the peer closed its direction, and reset the connection afterwards", func() {
		near, far := pair()
		written := writeLarge(near)
		Expect(far.CloseWrite()).To(Succeed())
		Expect(far.SetLinger(0)).To(Succeed())
		Expect(far.Close()).To(Succeed())
		Eventually(written).Should(Receive(MatchError(syscall.EPIPE)))
		_, err := near.Read(make([]byte, 1))
		Expect(err).To(Equal(io.EOF))
	})
})

// largeBytes is more than the buffers of both ends hold.
const largeBytes = 64 << 20

// writeLarge begins a write that lasts until the other end reads or closes.
func writeLarge(c net.Conn) (written chan error) {
	written = make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, largeBytes))
		written <- err
	}()
	Consistently(written, "20ms").ShouldNot(Receive())
	return written
}

// pair returns the two ends of a connection.
func pair() (near *checker.Conn, far *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	accepted, err := l.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = accepted.Close() })
	return checker.NewConn(c), accepted.(*net.TCPConn)
}
