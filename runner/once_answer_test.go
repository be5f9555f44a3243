package runner_test

import (
	"context"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/forwarder"
	"github.com/cicadawood/cicadawood/keeper"
	"github.com/cicadawood/cicadawood/reserver"
	"github.com/cicadawood/cicadawood/runner"
)

// fixedAnswer answers each call with a body.
type fixedAnswer struct {
	contentType string
	body        io.Reader
	framed      bool
}

func (f fixedAnswer) Do(context.Context, string, forwarder.Call) (*forwarder.Answer, error) {
	return &forwarder.Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {f.contentType}}, Length: -1, Framed: f.framed, Body: io.NopCloser(f.body)}, nil
}

// Guards against a call that counts as run to its end though its answer was cut off, and against answers
// that take memory which nothing counts.
var _ = DescribeTable("The answer of a call that runs once",
	func(f fixedAnswer, memory *reserver.Memory, expected keeper.CallResult) {
		const limit = 100 << 10
		result, _, _ := runner.CallWorker(f, memory, limit)
		Expect(result).To(Equal(expected))
		taken, _ := memory.Taken()
		Expect(taken).To(BeZero())
	},
	Entry("is kept if it is whole", fixedAnswer{"text/plain", strings.NewReader("whole"), true}, reserver.New(16<<20), keeper.CallRan),
	Entry("is unknown if its end can't be told", fixedAnswer{"text/plain", strings.NewReader("half"), false}, reserver.New(16<<20), keeper.CallUnknown),
	Entry("is known to have run if it is too large", fixedAnswer{"text/plain", strings.NewReader(strings.Repeat("x", 200<<10)), true}, reserver.New(16<<20), keeper.CallRan),
	Entry("is unknown if it is a stream that is too large", fixedAnswer{"text/event-stream", strings.NewReader(strings.Repeat("data: x\n\n", 20<<10)), true}, reserver.New(16<<20), keeper.CallUnknown),
	Entry("is unknown if there is no memory for it", fixedAnswer{"text/plain", strings.NewReader(strings.Repeat("x", 90<<10)), true}, reserver.New(64<<10), keeper.CallUnknown),
)
