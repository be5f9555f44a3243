package explainer_test

import (
	"fmt"
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

	It("shows which parts the crashed workers of all hosts share", func() {
		const crash = "ts=2026-12-02T22:00:01.000Z level=warn msg=send host=%s request=%s parts=%s worker=%s ended=true\n"
		logs := []explainer.Log{
			read(fmt.Sprintf(crash+crash, "h-1", "a1", "cc,bb,01", "w-1", "h-1", "a1", "cc,bb,01", "w-2")),
			read(fmt.Sprintf(crash+crash, "h-2", "b1", "bb,cc,02", "w-3", "h-2", "b2", "cc,03", "w-3")),
			read("ts=2026-12-02T22:00:01.500Z level=info msg=request host=h-3 request=s1 parts=cc,04 outcome=answered worker=w-4\n"),
		}
		s := explainer.Explain("a1", logs)
		Expect(s.Crashes).To(Equal(explainer.Crashes{
			Own: []string{"w-1", "w-2"}, Total: 3,
			Parts: []explainer.PartCrashes{{Part: "bb", Crashed: 3}, {Part: "cc", Crashed: 3, Answered: 1}, {Part: "01", Crashed: 2}},
		}))
		Expect(s.String()).To(ContainSubstring("part bb: 3 workers crashed with it, 0 requests with it were answered\n"))
		Expect(explainer.Explain("s1", logs).String()).NotTo(ContainSubstring("crashed"))
	})

	It("reports a missing final line, and returns nothing for an unknown request", func() {
		s := explainer.Explain("a1", []explainer.Log{read(secondLog)})
		Expect(s.Unknown[0]).To(HavePrefix("how it ended"))
		Expect(explainer.Explain("a9", []explainer.Log{read(firstLog)}).Lines).To(BeEmpty())
	})
})
