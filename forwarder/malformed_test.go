package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/forwarder"
)

// ask returns the status and the body of a worker's answer, or the error of whichever step did not take it for
// whole.
func ask(answer string) (int, string, error) {
	f, clean := forwarder.New(connector.Direct{}, time.Second)
	DeferCleanup(clean)
	w := startRaw(&faker.RawWorker{Answer: answer})
	a, err := f.Do(context.Background(), w.Address(), forwarder.Call{Method: http.MethodPost, Path: "/", Body: []byte("x"), RequestID: id})
	if err != nil {
		return 0, "", err
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	return a.Status, string(body), err
}

var _ = Describe("An answer", func() {
	// Guards against an answer that is passed on though HTTP has none of its form.
	for _, answer := range faker.MalformedAnswers("ok") {
		It("is refused with "+answer.Name, func() {
			status, body, err := ask(answer.Text)
			Expect(err).To(MatchError(forwarder.ErrUnknown), "status %d, body %q", status, body)
		})
	}
	// Guards against a call that counts as not run by a head that can't be believed.
	It("states nothing with a blank in a name", func() {
		_, _, err := ask("HTTP/1.1 503 Busy\r\nX Odd: 1\r\nX-Run: no\r\nContent-Length: 0\r\n\r\n")
		Expect(err).To(MatchError(forwarder.ErrMalformed))
		Expect(err).NotTo(MatchError(forwarder.ErrNotRun))
	})

	// Guards against a sound answer that is refused with the malformed ones.
	for _, answer := range faker.UnusualAnswers("ok") {
		It("is whole with "+answer.Name, func() {
			status, body, err := ask(answer.Text)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusOK))
			Expect(body).To(Equal("ok"))
		})
	}
})
