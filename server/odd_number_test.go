package server_test

import (
	"context"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against one caller's numbers that spoil its organisation's limits, or the sums over all callers.
var _ = DescribeTable("A body with an odd number, or nested too deep, is refused with an error code, and not run",
	func(fields, code string) {
		s := startFixture(options{limiter: &countingLimiter{remaining: 1}})
		g := s.send(s.request(context.Background(), "/v1/chat/completions", `{"model":"lm","prompt":"y",`+fields+`}`))
		Expect(g.status).To(Equal(http.StatusBadRequest))
		Expect(g.code).To(Equal(code))
		Expect(g.run).To(Equal("no"))
		Expect(len(g.body)).To(BeNumerically("<", 4<<10))
		Expect(s.allocator.asks).To(BeEmpty())
		Expect(s.json().status).To(Equal(http.StatusOK), "the next request")
	},
	Entry("most tokens that fit", `"max_tokens":9223372036854775807`, "bad_number"),
	Entry("more tokens than any answer has", `"max_tokens":1073741825`, "bad_number"),
	Entry("fewer tokens than none", `"max_tokens":-9223372036854775808,"max_completion_tokens":-9223372036854775808`, "bad_number"),
	Entry("fewer tokens than none beside some", `"max_tokens":-1,"max_completion_tokens":5`, "bad_number"),
	Entry("too many choices", `"n":4611686018427387904,"max_tokens":4`, "bad_number"),
	Entry("fewer choices than none", `"n":-1`, "bad_number"),
	Entry("a number of 20 digits", `"max_tokens":99999999999999999999`, "bad_json"),
	Entry("a number of 1 MB", `"max_tokens":`+strings.Repeat("9", 1_000_000), "bad_json"),
	Entry("a number beyond any", `"max_tokens":1e400`, "bad_json"),
	Entry("deep messages", `"messages":`+nested, "bad_json"),
	Entry("a deep field that nobody reads", `"x":`+nested, "bad_json"),
)

// nested is a JSON value beyond the nesting limit of encoding/json.
var nested = strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
