package explainer_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/explainer"
)

func TestExplainer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "explainer")
}

const firstLog = `ts=2026-12-02T22:00:00.000Z level=info msg=worker host=h-1 worker=w-1 state=present
ts=2026-12-02T22:00:01.000Z level=warn msg="workers can't be listed" host=h-1 error=down
ts=2026-12-02T22:00:02.000Z level=warn msg=send host=h-1 request=a1 worker=w-1 final=false error="the connection broke"
ts=2026-12-02T22:00:02.500Z level=info msg=request host=h-1 request=a2 outcome=answered
something else
ts=2026-12-02T22:00:03.000Z level=warn msg=request host=h-1 request=a1 outcome=answer_lost exposed=true
ts=2026-12-02T22:00:04.000Z level=info msg=worker host=h-1 worker=w-1 state=away
`

const secondLog = `  12.0 h-2 ts=2026-12-02T22:00:01.500Z level=warn msg=send host=h-2 request=a1 worker=w-2 final=true
ts=2026-12-02T22:00:01.600Z level=info msg=worker host=h-2 worker=w-9 state=away
ts=2026-12-02T22:00:01.700Z level=warn msg=dropped lines=7
`

var _ = Describe("Explain", func() {
	read := func(text string) explainer.Log {
		l, err := explainer.Read(strings.NewReader(text))
		Expect(err).NotTo(HaveOccurred())
		return l
	}

	It("orders a request's lines of all hosts by time, with lines for context", func() {
		s := explainer.Explain("a1", []explainer.Log{read(firstLog), read(secondLog)})
		var events []string
		for _, l := range s.Lines {
			events = append(events, l.Host+" "+l.Event)
		}
		Expect(events).To(Equal([]string{
			"h-1 worker", "h-1 workers can't be listed", "h-2 send", "h-1 send", "h-1 request",
		}))
		Expect(s.Unknown).To(HaveLen(3))
		Expect(s.String()).To(ContainSubstring("    2.000s  h-1  send  worker=w-1  final=false  error=\"the connection broke\"\n"))
		Expect(s.String()).To(ContainSubstring("not known: whether a worker ran it"))
	})

	It("follows a stream over its caller's attempts, both ways", func() {
		const first = "ts=2026-12-02T22:00:00.000Z level=info msg=request host=h-1 request=a1 outcome=answer_cut began=w-1 version=v1\n"
		const second = "ts=2026-12-02T22:00:01.000Z level=info msg=request host=h-2 request=a2 resumes=a1 origin=known carried=h-1 outcome=answer_cut\n"
		const third = "ts=2026-12-02T22:00:02.000Z level=info msg=request host=h-3 request=a3 resumes=a1 origin=known carried=h-1 outcome=answered\n"
		logs := []explainer.Log{read(third + firstLog), read(first), read(second)}
		for _, id := range []string{"a2", "a3"} {
			text := explainer.Explain(id, logs).String()
			Expect(text).To(ContainSubstring("began=w-1"))
			Expect(text).To(ContainSubstring("request=a1"))
			Expect(text).To(ContainSubstring("outcome=answered"))
		}
	})

	It("reports a missing final line, and returns nothing for an unknown request", func() {
		s := explainer.Explain("a1", []explainer.Log{read(secondLog)})
		Expect(s.Unknown[0]).To(HavePrefix("how it ended"))
		Expect(explainer.Explain("a9", []explainer.Log{read(firstLog)}).Lines).To(BeEmpty())
	})
})
