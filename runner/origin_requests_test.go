package runner_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/relayer"
	"github.com/cicadawood/cicadawood/runner"
	"github.com/cicadawood/cicadawood/storer"
)

// Guards against a stream that goes on at another version, as a host vouches for one with a list in which a version that came and went is not yet.
var _ = Describe("A host that is asked whether one version served", func() {
	var sent []messenger.OriginReply
	var x runner.Selector
	var now time.Time

	BeforeEach(func() {
		sent, now = nil, time.Now()
		x = runner.NewSelectorOf(now, loader.Host{Name: "h", Zone: "z"}, nil, func(_ string, m messenger.Message) {
			if r, ok := m.(messenger.OriginReply); ok {
				sent = append(sent, r)
			}
		})
		start := now.Add(-time.Minute)
		x.StoreAnswered(start, start, true, relayer.Update{Upto: 2, Changed: []storer.Object{workerEvent(2, "a", "1", "v1")}})
		x.StoreAnswered(now, now, false, relayer.Update{After: 2, Upto: 2})
	})
	ask := func() {
		x.Receive(time.Now(), "new", messenger.OriginRequest{Reply: "10.0.0.9:1", Services: []string{"s"}, Keys: []uint64{7}})
	}

	It("reads the list first", func() {
		x.SetListReader(func(storer.Version) (relayer.Update, error) {
			return relayer.Update{After: 2, Upto: 4, Changed: []storer.Object{workerEvent(3, "b", "1", "v2"), removalEvent(4, "b")}}, nil
		})
		ask()
		Expect(sent).To(BeEmpty())
		Eventually(func() []messenger.OriginReply { x.HandlePosted(); return sent }, time.Second, time.Millisecond).Should(HaveLen(1))
		Expect(sent[0].Histories).To(HaveExactElements(HaveField("Software", ConsistOf("version v1", "version v2"))))
	})

	It("says that its list is not current if it can't be read", func() {
		x.SetListReader(func(storer.Version) (relayer.Update, error) { return relayer.Update{}, errors.New("no answer") })
		ask()
		Eventually(func() []messenger.OriginReply { x.HandlePosted(); return sent }, time.Second, time.Millisecond).Should(HaveLen(1))
		Expect(sent[0].Histories).To(HaveExactElements(And(HaveField("Complete", true), HaveField("Fresh", false))))
	})
})
