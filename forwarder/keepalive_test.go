package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/checker"
	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/forwarder"
)

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT option.
const tcpUserTimeout = 0x12

// recordingDialer keeps the last connection.
type recordingDialer struct {
	connector.Direct
	last *net.TCPConn
}

func (d *recordingDialer) Dial(ctx context.Context, t connector.Target) (net.Conn, error) {
	c, err := d.Direct.Dial(ctx, t)
	if err == nil {
		d.last = c.(*checker.Conn).NetConn().(*net.TCPConn)
	}
	return c, err
}

func (d *recordingDialer) option(name int) time.Duration {
	raw, err := d.last.SyscallConn()
	Expect(err).NotTo(HaveOccurred())
	var value int
	var optErr error
	Expect(raw.Control(func(fd uintptr) { value, optErr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, name) })).To(Succeed())
	Expect(optErr).NotTo(HaveOccurred())
	return time.Duration(value)
}

// Guards against the first unanswered keep-alive probe ending a connection: with a
// TCP_USER_TIMEOUT, Linux gives up at that time after the last packet, whatever the count.
var _ = DescribeTable("A connection to a backend server outlasts all but the last keep-alive probe", func(silenceTimeout time.Duration) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	DeferCleanup(s.Close)
	d := &recordingDialer{}
	f, clean := forwarder.New(d, silenceTimeout)
	DeferCleanup(clean)
	a, err := f.Do(context.Background(), strings.TrimPrefix(s.URL, "http://"), forwarder.Call{Method: http.MethodGet, Path: "/", RequestID: "cw-1"})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(a.Body.Close)
	idle := d.option(syscall.TCP_KEEPIDLE) * time.Second
	interval := d.option(syscall.TCP_KEEPINTVL) * time.Second
	probes := d.option(syscall.TCP_KEEPCNT)
	userTimeout := d.option(tcpUserTimeout) * time.Millisecond
	Expect(probes).To(BeNumerically(">", 1))
	Expect(userTimeout).To(BeNumerically(">=", idle+probes*interval))
},
	Entry("usual time-out", 2*time.Second),
	Entry("time-out below the system's shortest", 100*time.Millisecond),
	Entry("long time-out", 30*time.Second),
)
