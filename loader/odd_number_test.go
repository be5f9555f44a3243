package loader_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/loader"
)

// settings returns the text of a host's settings with further fields.
func settings(fields string) []byte {
	return []byte(`{"name":"a","zone":"z","platform":"http://192.0.2.1:7000","listen":"127.0.0.1:1","control":"127.0.0.1:2","admin":"127.0.0.1:3"` + fields + `}`)
}

// Guards against a host that starts with a limit that wraps, or ends as it makes a timer of it.
var _ = DescribeTable("A host's settings with an odd value are refused, and the field is named", func(fields, field string) {
	_, err := loader.ParseHost("host.jsonc", settings(fields))
	problems := loader.Problems(err)
	Expect(problems).NotTo(BeEmpty())
	Expect(problems[0].File).To(Equal("host.jsonc"))
	Expect(problems[0].Field).To(Equal(field))
	Expect(len(problems[0].Reason)).To(BeNumerically("<", 400))
},
	Entry("a number beyond any", `,"limits":{"cores":1e400}`, "limits/cores"),
	Entry("a number of 20 digits", `,"limits":{"calls":99999999999999999999}`, "limits/calls"),
	Entry("a negative number", `,"limits":{"calls":-1}`, "limits/calls"),
	Entry("memory that wraps in bytes", `,"limits":{"memory":17592186044416}`, "limits/memory"),
	Entry("the largest number", `,"limits":{"body":9223372036854775807}`, "limits/body"),
	Entry("more cores than any machine has", `,"limits":{"cores":1e300}`, "limits/cores"),
	Entry("a time beyond any", `,"limits":{"drain":"2562047h"}`, "limits/drain"),
	Entry("a time too short for a timer", `,"limits":{"beat":"1ns"}`, "limits/beat"),
	Entry("a negative time", `,"limits":{"beat":"-1s"}`, "limits/beat"),
	Entry("a layout that no host would use", `,"limits":{"once":{"partitions":4097}}`, "limits/once/partitions"),
	Entry("the largest number of calls once", `,"limits":{"once":{"operations":9223372036854775807}}`, "limits/once/operations"),
	Entry("a negative number of calls once", `,"limits":{"once":{"operations":-1}}`, "limits/once/operations"),
	Entry("a port out of range", `,"ready":"127.0.0.1:65536"`, "ready"),
	Entry("a peer's port out of range", `,"peers":["127.0.0.1:99999"]`, "peers/0"),
	Entry("a name of 1 MiB", `,"region":"`+strings.Repeat("x", 1<<20)+`"`, "region"),
)

// Guards against a pushed worker whose slots make the sums over workers wrap.
var _ = DescribeTable("A worker's slots that can't be added up are refused", func(slots string) {
	_, err := loader.Files{"a.json": `{"services":{"s":{"kind":"plain","owner":"o","workers":[{"name":"w","address":"192.0.2.1:80","slots":` + slots + `}]}}}`}.Parse()
	problems := loader.Problems(err)
	Expect(problems).To(HaveLen(1))
	Expect(problems[0].Field).To(HaveSuffix("workers/0/slots"))
},
	Entry("the largest number", "9223372036854775807"),
	Entry("one too many", "100001"),
	Entry("none", "0"),
	Entry("20 digits", "99999999999999999999"),
	Entry("beyond any", "1e400"),
)

// Guards against settings that were valid and no longer are.
var _ = It("A host's settings with common values are accepted", func() {
	_, err := loader.ParseHost("host.jsonc", settings(`,"region":"r","limits":{"cores":64,"memory":1048576,"calls":1000000,"beat":"10ms","drain":"12h","body":1073741824}`))
	Expect(err).NotTo(HaveOccurred())
})
