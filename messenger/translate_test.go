package messenger_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/messenger"
)

// Guards against messages that miss a link by which this host alone reaches another host.
var _ = It("Messages to a host that is reached under another address go there, and not past it", func() {
	var got recorder
	to := open("b", 1, unusedAddress(), got.handle)
	link, closeLink, err := faker.NewLink("127.0.0.1:0", to.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(closeLink)
	from := openWith(messenger.Config{Name: "a", Incarnation: 1, Address: unusedAddress(), Translate: map[string]string{to.Address(): link.Address()}}, ignore)
	sendAll(from, to.Address(), numbered(0, 1))
	Eventually(got.all).WithTimeout(5 * time.Second).Should(Equal(numbered(0, 1)))
	link.Set(faker.Cut, 0)
	sendAll(from, to.Address(), numbered(1, 2))
	Consistently(got.all).WithTimeout(300 * time.Millisecond).Should(Equal(numbered(0, 1)))
	link.Set(faker.Pass, 0)
	Eventually(got.all).WithTimeout(5 * time.Second).Should(Equal(numbered(0, 2)))
})
