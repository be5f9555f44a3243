package forwarder_test

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
	"github.com/cicadawood/cicadawood/forwarder"
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

// upload sends a call with a body to a worker, and returns the answer's body, or the error of whichever step
// did not take it for whole.
func upload(f *forwarder.Forwarder, address string, size int) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	a, err := f.Do(ctx, address, forwarder.Call{Method: http.MethodPost, Path: "/", Body: make([]byte, size), RequestID: id})
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

// Guards against a part of an answer that is taken for the whole because the write of the call got the
// connection's reset, and not the read of the answer.
var _ = Describe("An answer without a length whose connection is reset beside the upload", func() {
	for _, end := range []faker.ConnEnd{faker.EndReset, faker.EndUnread} {
		for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			for _, size := range []int{mib, 8 * mib, 64 * mib} {
				It(fmt.Sprintf("is not whole: %s after %s, %d MiB", end, delay, size/mib), func() {
					f, clean := forwarder.New(connector.Direct{}, time.Second)
					DeferCleanup(clean)
					w := startRaw(&faker.RawWorker{Answer: "HTTP/1.1 200 OK\r\n\r\npart", End: end, Delay: delay})
					whole := 0
					for range earlyTries {
						_, err := upload(f, w.Address(), size)
						if err == nil {
							whole++
							continue
						}
						Expect(err).To(MatchError(forwarder.ErrUnknown))
					}
					Expect(whole).To(BeZero(), "of %d", earlyTries)
				})
			}
		}
	}
})

// Guards against a sound answer that is refused because its worker did not wait for the whole call.
var _ = DescribeTable("An answer beside or after an upload is whole",
	func(w *faker.RawWorker) {
		f, clean := forwarder.New(connector.Direct{}, time.Second)
		DeferCleanup(clean)
		startRaw(w)
		for range earlyTries {
			body, err := upload(f, w.Address(), 8*mib)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("whole"))
		}
	},
	Entry("without a length, after the whole call was read", &faker.RawWorker{Answer: "HTTP/1.1 200 OK\r\n\r\nwhole", ReadFirst: true}),
	Entry("without a length, from a worker that closes its direction and reads on", &faker.RawWorker{Answer: "HTTP/1.1 200 OK\r\n\r\nwhole", End: faker.EndHalf, Delay: 100 * time.Millisecond}),
	Entry("with a length, reset after its last byte", &faker.RawWorker{Answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", End: faker.EndReset, Delay: 20 * time.Millisecond}),
)
