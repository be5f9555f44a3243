package connector_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/faker"
)

const (
	mib = 1 << 20
	// earlyTries is how often each early answer is given: whether its end is mistaken is a race.
	earlyTries = 40
)

// startRaw starts a worker that is stopped at the end of the spec.
func startRaw(w *faker.RawWorker) *faker.RawWorker {
	stop, err := w.Start()
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	DeferCleanup(stop)
	return w
}

// upload sends a request with a body to a worker, and returns what the answer's body held, and the error of
// whichever step did not take it for whole.
func upload(pool *connector.Pool, address string, size int) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	a, err := pool.Do(ctx, address, connector.Call{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, size)})
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	if err == nil {
		err = a.ConfirmEnd(connector.Call{})
	}
	a.Finish()
	return string(body), err
}

// Guards against a part of an answer that is taken for the whole because the write of the request got the
// connection's reset, and not the read of the answer.
var _ = Describe("An answer without a length whose connection is reset beside the upload", func() {
	isNotWhole := func(status string, end faker.ConnEnd, delay time.Duration, size int) {
		It(fmt.Sprintf("is not whole: %s, %s after %s, %d MiB", status, end, delay, size/mib), func() {
			pool, clean := connector.New(connector.Direct{})
			DeferCleanup(clean)
			w := startRaw(&faker.RawWorker{Answer: "HTTP/1.1 " + status + "\r\n\r\npart", End: end, Delay: delay})
			whole := 0
			for range earlyTries {
				_, err := upload(pool, w.Address(), size)
				if err == nil {
					whole++
					continue
				}
				Expect(err).To(MatchError(connector.ErrLost))
				Expect(err).To(MatchError(connector.ErrClosedByPeer))
			}
			Expect(whole).To(BeZero(), "of %d", earlyTries)
		})
	}
	for _, end := range []faker.ConnEnd{faker.EndReset, faker.EndUnread} {
		for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			for _, size := range []int{mib, 8 * mib, 64 * mib} {
				isNotWhole("200 OK", end, delay, size)
			}
		}
		for _, status := range []string{"404 Not Found", "500 Internal Server Error"} {
			isNotWhole(status, end, time.Millisecond, 8*mib)
		}
	}
})

// Guards against a sound answer that is refused because its worker did not wait for the whole request.
var _ = DescribeTable("An answer beside or after an upload is whole",
	func(w *faker.RawWorker) {
		pool, clean := connector.New(connector.Direct{})
		DeferCleanup(clean)
		startRaw(w)
		for range earlyTries {
			body, err := upload(pool, w.Address(), 8*mib)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("whole"))
		}
	},
	Entry("without a length, after the whole request was read", &faker.RawWorker{Answer: "HTTP/1.1 200 OK\r\n\r\nwhole", ReadFirst: true}),
	Entry("without a length, from a worker that closes its direction and reads on", &faker.RawWorker{Answer: "HTTP/1.1 200 OK\r\n\r\nwhole", End: faker.EndHalf, Delay: 100 * time.Millisecond}),
	Entry("with a length, reset after its last byte", &faker.RawWorker{Answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", End: faker.EndReset}),
	Entry("in chunks, reset after the last one", &faker.RawWorker{Answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", End: faker.EndReset}),
)
