package tunneler_test

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
	uploadBytes = 8 << 20
	// earlyTries is how often each early answer is given: whether its end is mistaken is a race.
	earlyTries = 40
)

// uploadThrough sends requests with a body to a worker through another host, each of which gets an answer
// without a length. It returns how many of these ended in order, and the errors of the others.
func uploadThrough(w *faker.RawWorker) (whole int, errs []error) {
	stop, err := w.Start()
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	DeferCleanup(stop)
	a, b := newHost("a", 10), newHost("b", 10)
	meet([]worker{{address: w.Address()}}, a, b)
	a.links.cut.Store(true)
	pool, clean := connector.New(a)
	DeferCleanup(clean)
	for range earlyTries {
		if err := uploadOnce(pool, w.Address()); err != nil {
			errs = append(errs, err)
			continue
		}
		whole++
	}
	return whole, errs
}

func uploadOnce(pool *connector.Pool, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	a, err := pool.Do(ctx, address, connector.Call{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, uploadBytes)})
	if err != nil {
		return err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	if err == nil && string(body) != "part" {
		return fmt.Errorf("body %q", body)
	}
	return err
}

var _ = Describe("An answer without a length to an upload through another host", func() {
	const answer = "HTTP/1.1 200 OK\r\n\r\npart"

	// Guards against a part of an answer that is taken for the whole because the helper's write got the
	// reset, and not its read.
	for _, end := range []faker.ConnEnd{faker.EndReset, faker.EndUnread} {
		for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			It(fmt.Sprintf("is not whole if its connection is reset, %s after %s", end, delay), func() {
				whole, errs := uploadThrough(&faker.RawWorker{Answer: answer, End: end, Delay: delay})
				Expect(whole).To(BeZero(), "of %d", earlyTries)
				for _, err := range errs {
					Expect(err).To(MatchError(connector.ErrLost))
				}
			})
		}
	}

	DescribeTable("is whole",
		func(w *faker.RawWorker) {
			whole, errs := uploadThrough(w)
			Expect(errs).To(BeEmpty())
			Expect(whole).To(Equal(earlyTries))
		},
		Entry("after the whole request was read", &faker.RawWorker{Answer: answer, ReadFirst: true}),
		Entry("from a worker that closes its direction and reads on", &faker.RawWorker{Answer: answer, End: faker.EndHalf, Delay: 100 * time.Millisecond}),
	)
})
