package loader_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/loader"
)

// Guards against a file of settings that ends each process that parses it, for want of stack.
var _ = DescribeTable("A file that is nested too deep is refused as a whole, and named", func(open, end string, depth int) {
	text := `{"organisations":` + strings.Repeat(open, depth) + "1" + strings.Repeat(end, depth) + "}"
	_, err := loader.Files{"10.jsonc": text}.Parse()
	problems := loader.Problems(err)
	Expect(problems).NotTo(BeEmpty())
	Expect(problems[0].File).To(Equal("10.jsonc"))
	_, err = loader.ParseHost("host.jsonc", []byte(text))
	Expect(err).To(HaveOccurred())
},
	Entry("lists", "[", "]", 20_000),
	Entry("many lists", "[", "]", 8<<20),
	Entry("lists that don't end", "[", "", 16<<20),
	Entry("objects", `{"a":`, "}", 20_000),
	Entry("many objects", `{"a":`, "}", 2<<20),
	Entry("comments between lists", "[/*\"*/", "]", 1<<20),
	Entry("line comments between lists", "[//\"\n", "]", 1<<20),
	Entry("slashes that are no comment", "/[", "]", 1<<20),
)

// Guards against brackets of texts and comments that count as nesting.
var _ = DescribeTable("Brackets that nest nothing are no reason to refuse a file", func(text string) {
	_, err := loader.Files{"10.jsonc": text}.Parse()
	Expect(err).NotTo(HaveOccurred())
},
	Entry("in a line comment", "//"+strings.Repeat("[", 1000)+"\n{}"),
	Entry("in a comment", "/*"+strings.Repeat("[", 1000)+"*/{}"),
	Entry("in a comment with stars", "/***"+strings.Repeat("[*", 1000)+"**/{}"),
	Entry("in a text", `{"zones":{"a":{"region":"`+strings.Repeat(`\"[`, 1000)+`"}}}`),
)
