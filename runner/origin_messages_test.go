package runner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/resumer"
	"github.com/cicadawood/cicadawood/runner"
)

// Guards against beginnings that no other host can settle, as it was not told what was listed.
var _ = DescribeTable("A message about a beginning that is not certain has what was listed of the worker", func(incarnation, version string) {
	now := time.Unix(1000, 0)
	listed := resumer.Worker{Service: "s", Name: "a", Incarnation: incarnation, Version: version}
	x := resumer.Record{Key: 7, Worker: listed.Uncertain(), Listed: listed, Host: "h-1", At: now}
	Expect(runner.DecodeOrigin(now, runner.EncodeOrigin(now, x))).To(Equal(x))
},
	Entry("with its start and its version", "1", "v1"),
	Entry("without its start, which some workers don't state", "", "v1"),
	Entry("without a version", "1", ""),
)
