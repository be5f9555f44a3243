package quarantiner_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/quarantiner"
)

func TestQuarantiner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantiner")
}

var _ = Describe("Fingerprint", func() {
	It("rejects text that is not a fingerprint", func() {
		var f quarantiner.Fingerprint
		for _, text := range []string{"", "12", "x123456789abcdef", "0123456789abcdef00"} {
			Expect(f.UnmarshalText([]byte(text))).NotTo(Succeed(), text)
		}
	})

	It("differs if caller, method, path or body differ, and is the same otherwise", func() {
		all := map[quarantiner.Fingerprint]string{}
		for _, x := range [][4]string{
			{"a", "POST", "/p", "b"},
			{"b", "POST", "/p", "b"},
			{"a", "PUT", "/p", "b"},
			{"a", "POST", "/p?q", "b"},
			{"a", "POST", "/p", "c"},
			{"a", "POST", "/", "pb"},
			{"", "aPOST", "/p", "b"},
		} {
			f := quarantiner.FingerprintOf(x[0], x[1], x[2], []byte(x[3]))
			Expect(f).To(Equal(quarantiner.FingerprintOf(x[0], x[1], x[2], []byte(x[3]))))
			Expect(all).NotTo(HaveKey(f))
			text, err := f.MarshalText()
			Expect(err).NotTo(HaveOccurred())
			var same quarantiner.Fingerprint
			Expect(same.UnmarshalText(text)).To(Succeed())
			Expect(same).To(Equal(f))
			all[f] = x[3]
		}
	})
})
