package runner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cicadawood/cicadawood/resumer"
	"github.com/cicadawood/cicadawood/runner"
)

// Guards against beginnings that no other host can settle, as it was not told what was listed.
var _ = DescribeTable("A message about a beginning that is not certain has what was listed of the worker", func(incarnation, version string) {
	now := time.Unix(1000, 0)
	listed := resumer.Worker{Service: "s", Name: "a", Incarnation: incarnation, Version: version}
	x := resumer.Record{Key: 7, Worker: listed.Uncertain(), Listed: listed, Host: "h-1", At: now}
	m, ok := runner.EncodeListed(now, []resumer.Record{x})
	Expect(ok).To(BeTrue())
	Expect(runner.DecodeListed(now, m)).To(HaveExactElements(x))
},
	Entry("with its start and its version", "1", "v1"),
	Entry("without its start, which some workers don't state", "", "v1"),
	Entry("without a version", "1", ""),
)

// formerOrigin is messenger.StreamOrigin as hosts of the version before read it.
type formerOrigin struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Key         uint64
	Service     string
	Worker      string
	Incarnation string
	Version     string
	Host        string
	Age         time.Duration
}

// Guards against a message that hosts of the version before can't read, which ends their connection to this one.
var _ = It("A message about a beginning is read by hosts of the version before", func() {
	listed := resumer.Worker{Service: "s", Name: "a", Incarnation: "1", Version: "v1"}
	text, err := msgpack.Marshal(runner.EncodeOrigin(time.Unix(1000, 0), resumer.Record{Key: 7, Worker: listed.Uncertain(), Listed: listed, At: time.Unix(999, 0)}))
	Expect(err).NotTo(HaveOccurred())
	var x formerOrigin
	Expect(msgpack.Unmarshal(text, &x)).To(Succeed())
	Expect(x.Worker).To(Equal("a"))
})
