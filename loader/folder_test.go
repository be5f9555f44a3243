package loader_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/loader"
)

const classes = `{
  // tier 0 is the most urgent
  "classes": {"hold": {"tier": 0, "whole": "2s"}},
}`

var _ = Describe("Files", func() {
	DescribeTable("refuses with file, line, field and reason",
		func(text, want string) {
			_, err := loader.Files{"10.jsonc": classes, "20.jsonc": text}.Parse()
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry("an unknown field", "{\n\"clases\": {}}", `20.jsonc:2: clases: unknown field`),
		Entry("a field given twice", "{\"classes\": {},\n\"classes\": {}}", `20.jsonc:2: classes: given twice`),
		Entry("a name of another file", "{\"classes\": {\n\"hold\": {\"whole\": \"1s\"}}}", `20.jsonc:2: classes/hold: defined already at 10.jsonc:3`),
		Entry("a dangling class", "{\"organisations\": {\"dock\": {\n\"classes\": [\"holt\"]}}}", `20.jsonc:2: organisations/dock/classes/0: no class "holt"`),
		Entry("a wrong kind", "{\"services\": {\"s\": {\n\"kind\": \"motor\", \"hosts\": true}}}", `20.jsonc:2: services/s/kind: is "motor"`),
		Entry("a bad duration", "{\"classes\": {\"x\": {\n\"whole\": \"soon\"}}}", `"soon" is not a duration`),
	)

	It("merges files in name order", func() {
		f, err := loader.Files{"10.jsonc": classes, "20.jsonc": `{"organisations": {"dock": {"classes": ["hold"]}}}`}.Parse()
		Expect(err).NotTo(HaveOccurred())
		Expect(f.Classes).To(HaveKey("hold"))
		Expect(f.Organisations).To(HaveKey("dock"))
	})
})
