package messenger_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cicadawood/cicadawood/messenger"
)

// fieldCounts is the number of fields of each kind of message that is written as an array.
var fieldCounts = map[string]int{
	"ask":         14,
	"away":        1,
	"backoff":     2,
	"beat":        3,
	"began":       1,
	"borrow":      4,
	"cancel":      3,
	"claim":       3,
	"done":        7,
	"entries":     2,
	"fetch":       2,
	"fetched":     1,
	"flush":       1,
	"flushed":     1,
	"grant":       8,
	"hasbegun":    3,
	"leaving":     1,
	"lend":        4,
	"mark":        4,
	"moved":       3,
	"news2":       2,
	"once":        12,
	"oncego":      4,
	"onceready":   4,
	"onceverdict": 8,
	"preempt":     3,
	"probe2":      2,
	"progress":    4,
	"quarantine":  1,
	"refuse":      7,
	"seek2":       17,
	"seekbound":   4,
	"shared3":     7,
	"sought2":     12,
	"suspect":     2,
	"vouch":       2,
	"whobegan":    3,
	"word":        4,
}

// Guards against messages that hosts of the previous version can't read, because they have a
// field more under the same kind.
var _ = It("keeps the number of fields of each kind of message", func() {
	for kind, count := range fieldCounts {
		body, err := msgpack.Marshal(make([]any, count))
		Expect(err).NotTo(HaveOccurred())
		_, err = messenger.Envelope{Kind: kind, Body: body}.Message()
		Expect(err).NotTo(HaveOccurred(), kind)
	}
})
