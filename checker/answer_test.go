package checker_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/checker"
)

// Guards against an answer that is believed though what it states, or where it ends, is uncertain.
var _ = DescribeTable("An answer with a byte in the name of a field",
	func(sound string) {
		for b := range 256 {
			r := &http.Response{StatusCode: http.StatusOK, Header: http.Header{"X" + string([]byte{byte(b)}) + "Y": {"1"}}}
			err := checker.Answer(r)
			if strings.IndexByte(sound, byte(b)) >= 0 {
				Expect(err).NotTo(HaveOccurred(), "byte %d", b)
				continue
			}
			Expect(err).To(MatchError(checker.ErrMalformed), "byte %d", b)
		}
	},
	Entry("is sound only with those of RFC 9110, 5.6.2", "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"),
)

var _ = It("An answer is refused for any status below 100, and for no other", func() {
	for status := range 1000 {
		err := checker.Answer(&http.Response{StatusCode: status})
		Expect(err != nil).To(Equal(status < 100), "status %d", status)
	}
})

// Guards against a line of the log that is as long as a name may be.
var _ = It("An error shows a part of a long name", func() {
	name := strings.Repeat("x", 60_000) + " "
	err := checker.Answer(&http.Response{StatusCode: http.StatusOK, Header: http.Header{name: {"1"}}})
	Expect(len(fmt.Sprint(err))).To(BeNumerically("<", 200))
})

// closingBody records whether it was closed.
type closingBody struct {
	io.Reader
	closed bool
}

func (b *closingBody) Close() error {
	b.closed = true
	return nil
}

// fixedTransport answers each request with the same answer.
type fixedTransport struct{ answer *http.Response }

func (t fixedTransport) RoundTrip(*http.Request) (*http.Response, error) { return t.answer, nil }

// Guards against a connection that is kept after a malformed answer.
var _ = It("A Transport closes a malformed answer", func() {
	body := &closingBody{Reader: strings.NewReader("")}
	transport := checker.Transport{Base: fixedTransport{&http.Response{StatusCode: 0, Body: body}}}
	_, err := transport.RoundTrip(nil)
	Expect(err).To(MatchError(checker.ErrMalformed))
	Expect(body.closed).To(BeTrue())
})
