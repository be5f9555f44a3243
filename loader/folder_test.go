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

const key = `"sha256:c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c"`

// service returns the text of a file with one service and the given fields.
func service(kind, fields string) string {
	return "{\"services\": {\"s\": {\"kind\": \"" + kind + "\", \"hosts\": true, \"owner\": \"desk\",\n" + fields + "}}}"
}

// problemTexts returns the text of each Problem, file:line: field: reason.
func problemTexts(err error) []string {
	var all []string
	for _, p := range loader.Problems(err) {
		all = append(all, p.Error())
	}
	return all
}

var _ = Describe("Files", func() {
	DescribeTable("refuses with file, line, field and reason",
		func(text, want string) {
			_, err := loader.Files{"10.jsonc": classes, "20.jsonc": text}.Parse()
			Expect(problemTexts(err)).To(ConsistOf(HavePrefix("20.jsonc:" + want)))
		},
		Entry("bad syntax", "{\n\"classes\" {}}", `2: `),
		Entry("an unknown field", "{\n\"clases\": {}}", `2: clases: unknown field; did you mean "classes"?`),
		Entry("an unknown nested field", "{\"classes\": {\"x\": {\"whole\": \"1s\",\n\"teir\": 1}}}", `2: classes/x/teir: unknown field; did you mean "tier"?`),
		Entry("a field in the wrong case", "{\n\"Classes\": {}}", `2: Classes: unknown field; did you mean "classes"?`),
		Entry("a repeated field", "{\"classes\": {},\n\"classes\": {}}", `2: classes: given twice`),
		Entry("null", "{\"classes\":\nnull}", `2: classes: is not an object`),
		Entry("a number as a list", "{\"organisations\": {\"x\": {\n\"keys\": 4}}}", `2: organisations/x/keys: is not a list`),
		Entry("a number as a string", service("engine", `"models": [1]`), `2: services/s/models/0: is not a string`),
		Entry("a number as a flag", service("plain", `"fencing": 1`), `2: services/s/fencing: is not true or false`),
		Entry("a fractional tier", "{\"classes\": {\"x\": {\"whole\": \"1s\",\n\"tier\": 1.5}}}", `2: classes/x/tier: is not a whole number within range`),
		Entry("a number that is too large", "{\"classes\": {\"x\": {\"whole\": \"1s\",\n\"tier\": 99999999999999999999}}}", `2: classes/x/tier: `),
		Entry("an invalid name", "{\"classes\": {\n\"x y\": {\"whole\": \"1s\"}}}", `2: classes/x y: is not a name`),
		Entry("a name defined in another file", "{\"classes\": {\n\"hold\": {\"whole\": \"1s\"}}}", `2: classes/hold: defined already at 10.jsonc:3`),
		Entry("an undefined class", "{\"organisations\": {\"dock\": {\n\"classes\": [\"holt\"]}}}", `2: organisations/dock/classes/0: no class "holt"; did you mean "hold"?`),
		Entry("a repeated class", "{\"organisations\": {\"dock\": {\n\"classes\": [\"hold\", \"hold\"]}}}", `2: organisations/dock/classes/1: class "hold" is given twice`),
		Entry("a plaintext key", "{\"organisations\": {\"dock\": {\n\"keys\": [\"secret\"]}}}", `2: organisations/dock/keys/0: is not sha256:`),
		Entry("a key of two organisations", "{\"organisations\": {\"a\": {\"keys\": ["+key+"]}, \"b\": {\n\"keys\": ["+key+"]}}}", `2: organisations/b/keys/0: is a key of organisation a already`),
		Entry("a bad limit", "{\"organisations\": {\"dock\": {\n\"tokens\": -1}}}", `2: organisations/dock/tokens: must not be negative`),
		Entry("an unknown kind", service("motor", `"cell": 0`), `1: services/s/kind: is "motor"`),
		Entry("no owner", "{\"services\": {\n\"s\": {\"kind\": \"plain\", \"hosts\": true}}}", `2: services/s/owner: missing`),
		Entry("a bad duration", "{\"classes\": {\"x\": {\n\"whole\": \"soon\"}}}", `2: classes/x/whole: "soon" is not a duration`),
		Entry("a first-byte target above the answer target", "{\"classes\": {\"x\": {\"whole\": \"1s\",\n\"first\": \"2s\"}}}", `2: classes/x/first: is longer`),
		Entry("shares that sum to 1", "{\"classes\": {\"x\": {\"whole\": \"1s\", \"share\": 0.7}, \"y\": {\"whole\": \"1s\",\n\"share\": 0.3}}}", `2: classes/y/share: the shares of all classes sum to 1`),
		Entry("an engine without models", "{\"services\": {\n\"s\": {\"kind\": \"engine\", \"owner\": \"o\", \"hosts\": true}}}", `2: services/s/models: missing`),
		Entry("a repeated model", service("engine", `"models": ["m", "m"]`), `2: services/s/models/1: model "m"`),
		Entry("an undefined model", service("engine", `"models": ["lm"], "routes": [{"class": "hold", "model": "ln"}]`), `2: services/s/routes/0/model: no model "ln" in this service; did you mean "lm"?`),
		Entry("a path for an engine", service("engine", `"models": ["lm"], "routes": [{"class": "hold", "path": "/x"}]`), `2: services/s/routes/0: an engine's routes`),
		Entry("a bad method", service("plain", `"routes": [{"class": "hold", "method": "get"}]`), `2: services/s/routes/0/method: "get" is not one of`),
		Entry("a bad path", service("plain", `"routes": [{"class": "hold", "path": "x"}]`), `2: services/s/routes/0/path: must start with /`),
		Entry("a route after an equal one", service("plain", `"routes": [{"class": "hold"}, {"class": "hold"}]`), `2: services/s/routes/1: matches the same requests as route 0`),
		Entry("a worker with a host name as address", service("plain", `"workers": [{"name": "w", "address": "localhost:80", "slots": 1}]`), `2: services/s/workers/0/address: "localhost:80" is not IP:port`),
		Entry("two workers with one address", service("plain", `"workers": [{"name": "w", "address": "127.0.0.1:80", "slots": 1}, {"name": "v", "address": "127.0.0.1:80", "slots": 1}]`), `2: services/s/workers/1/address: "127.0.0.1:80" is not IP:port, or given twice`),
		Entry("a worker without slots", service("plain", `"workers": [{"name": "w", "address": "127.0.0.1:80"}]`), `2: services/s/workers/0/slots: must be positive`),
		Entry("an undefined zone", "{\"zones\": {\"sopot\": {\n\"latency\": {\"sopto\": \"1ms\"}}}}", `2: zones/sopot/latency/sopto: no zone "sopto"; did you mean "sopot"?`),
	)

	It("reports every problem of every file at once", func() {
		_, err := loader.Files{
			"10.jsonc": "{\"classes\": {\"x\": {\"teir\": 1, \"hole\": \"1s\"}}}",
			"20.jsonc": "{\"organisations\": {\"dock\": {\"keys\": 1, \"limit\": 2}}}",
			"30.jsonc": "{",
		}.Parse()
		Expect(problemTexts(err)).To(HaveLen(5))
	})

	It("merges files in name order", func() {
		f, err := loader.Files{"10.jsonc": classes, "20.jsonc": `{"organisations": {"dock": {"classes": ["hold"]}}}`}.Parse()
		Expect(err).NotTo(HaveOccurred())
		Expect(f.Classes).To(HaveKey("hold"))
		Expect(f.Organisations).To(HaveKey("dock"))
	})
})

var _ = DescribeTable("ParseHost refuses with file, line, field and reason",
	func(change, want string) {
		_, err := loader.ParseHost("h.jsonc", []byte(`{"name": "h", "zone": "z", "listen": "127.0.0.1:1", "control": "127.0.0.1:2",
"admin": "127.0.0.1:3", "platform": "http://127.0.0.1:4", `+change+`}`))
		Expect(problemTexts(err)).To(ConsistOf(HavePrefix("h.jsonc:" + want)))
	},
	Entry("an unknown field", `"lsiten": 1`, `2: lsiten: unknown field; did you mean "listen"?`),
	Entry("a peer with a host name as address", `"peers": ["host-2:1"]`, `2: peers/0: "host-2:1" is not IP:port`),
	Entry("a negative limit", `"limits": {"lease": "-1s"}`, `2: limits/lease: must not be negative`),
)
