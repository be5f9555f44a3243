package faker_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/faker"
)

func TestFaker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "faker")
}

// earlyTries is how often each early answer is given: whether its end is mistaken is a race.
const earlyTries = 40

// Guards against a rig that shows an orderly end where a worker reset its connection.
var _ = DescribeTable("A Link passes on the reset of a connection that is written to",
	func(end faker.ConnEnd, delay time.Duration, bytes int) {
		w := &faker.RawWorker{Answer: "HTTP/1.1 200 OK\r\n\r\npart", End: end, Delay: delay}
		stop, err := w.Start()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(stop)
		link, closeLink, err := faker.NewLink("127.0.0.1:0", w.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(closeLink)
		pool, clean := connector.New(connector.Direct{})
		DeferCleanup(clean)
		whole := 0
		for range earlyTries {
			if upload(pool, link.Address(), bytes) == nil {
				whole++
			}
		}
		Expect(whole).To(BeZero(), "of %d", earlyTries)
	},
	Entry("at once, 128 KiB", faker.EndReset, time.Duration(0), 128<<10),
	Entry("at once, 1 MiB", faker.EndReset, time.Duration(0), 1<<20),
	Entry("at once, 4 MiB", faker.EndReset, time.Duration(0), 4<<20),
	Entry("a moment later", faker.EndReset, time.Millisecond, 4<<20),
	Entry("later", faker.EndReset, 20*time.Millisecond, 8<<20),
	Entry("closed with bytes unread", faker.EndUnread, time.Millisecond, 4<<20),
)

// upload sends a request with a body, and returns an error unless its answer ended in order.
func upload(pool *connector.Pool, address string, bytes int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	a, err := pool.Do(ctx, address, connector.Call{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, bytes)})
	if err != nil {
		return err
	}
	defer a.Close()
	_, err = io.Copy(io.Discard, a)
	return err
}
