package server_test

import (
	"context"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/loader"
)

const (
	uploadBytes = 8 << 20
	// earlyTries is how often each early answer is given: whether its end is mistaken is a race.
	earlyTries = 40
)

// uploadTo sends requests with a large body, each of which a worker answers, and returns the answers.
func uploadTo(w *faker.RawWorker) []response {
	stop, err := w.Start()
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	DeferCleanup(stop)
	s := startFixture(options{limits: func(l *loader.Limits) { l.MaxBody, l.MaxBuffered = 2*uploadBytes, 32*uploadBytes }})
	s.allocator.workers = []loader.Worker{{Name: "raw", Address: w.Address(), Slots: 16}}
	body := strings.Repeat("u", uploadBytes)
	var answers []response
	for range earlyTries {
		answers = append(answers, s.send(s.request(context.Background(), "/services/desk/log", body)))
	}
	return answers
}

var _ = Describe("An event stream without a length to an upload, of a plain service,", func() {
	const answer = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"

	// Guards against a part of a stream that is passed on as whole because the write of the call got the
	// connection's reset, and not the read of the answer.
	DescribeTable("is broken off if its connection is reset",
		func(end faker.ConnEnd, delay time.Duration) {
			whole := 0
			for _, g := range uploadTo(&faker.RawWorker{Answer: answer, End: end, Delay: delay}) {
				if g.status == http.StatusOK && !g.broken {
					whole++
					continue
				}
				Expect(g.broken || g.status == http.StatusBadGateway).To(BeTrue(), "%+v", g)
			}
			Expect(whole).To(BeZero(), "of %d", earlyTries)
		},
		Entry("at once", faker.EndReset, time.Duration(0)),
		Entry("a moment later", faker.EndReset, time.Millisecond),
		Entry("later", faker.EndReset, 20*time.Millisecond),
		Entry("with bytes unread", faker.EndUnread, time.Millisecond),
	)

	It("is whole if its worker closes its direction and reads on", func() {
		for _, g := range uploadTo(&faker.RawWorker{Answer: answer, End: faker.EndHalf, Delay: 10 * time.Millisecond}) {
			Expect(g.status).To(Equal(http.StatusOK))
			Expect(g.broken).To(BeFalse())
			Expect(g.tokens).To(HaveLen(1))
		}
	})
})
