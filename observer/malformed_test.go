package observer_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/observer"
)

// readFrom reads the host list and a load report from a server that gives one answer to all calls.
func readFrom(answer string) (listErr, reportErr error) {
	w := &faker.RawWorker{Answer: answer}
	stop, err := w.Start()
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	DeferCleanup(stop)
	c, clean := observer.NewClient("http://"+w.Address(), connector.Direct{})
	DeferCleanup(clean)
	_, listErr = c.List(context.Background())
	_, reportErr = c.Report(context.Background(), w.Address())
	return listErr, reportErr
}

var _ = Describe("An answer", func() {
	// Guards against a list or a report that is believed though the answer's head is none of HTTP's.
	for _, answer := range faker.MalformedAnswers("{}") {
		It("is no list and no report with "+answer.Name, func() {
			listErr, reportErr := readFrom(answer.Text)
			Expect(listErr).To(MatchError(observer.ErrUnavailable))
			Expect(reportErr).To(MatchError(observer.ErrUnavailable))
		})
	}
	for _, answer := range faker.UnusualAnswers("{}") {
		It("is a list and a report with "+answer.Name, func() {
			listErr, reportErr := readFrom(answer.Text)
			Expect(listErr).NotTo(HaveOccurred())
			Expect(reportErr).NotTo(HaveOccurred())
		})
	}
})
