package attributor_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/attributor"
)

var _ = Describe("Keys", func() {
	It("give back the same ID for a part at any place and with any model", func() {
		bad := attributor.IDOf("bad")
		for _, names := range [][]string{{"bad", "a", "b"}, {"a", "bad", "b"}, {"b", "a", "bad"}} {
			for _, model := range []string{"m", "n"} {
				ids := attributor.IDs(attributor.Keys(model, names))
				for i, name := range names {
					Expect(ids[i]).To(Equal(attributor.IDOf(name)))
				}
				Expect(ids).To(ContainElement(bad))
			}
		}
	})

	It("differ by the model and by the parts before", func() {
		plain := attributor.Keys("m", []string{"a", "b"})
		Expect(attributor.Keys("m", []string{"a", "b"})).To(Equal(plain))
		Expect(attributor.Keys("n", []string{"a", "b"})[0]).NotTo(Equal(plain[0]))
		Expect(attributor.Keys("n", []string{"a", "b"})[1]).NotTo(Equal(plain[1]))
		Expect(attributor.Keys("m", []string{"c", "b"})[1]).NotTo(Equal(plain[1]))
		Expect(attributor.Keys("m", []string{"b", "a"})[1]).NotTo(Equal(plain[0]))
	})

	It("are logged in ten hexadecimal digits", func() {
		Expect(attributor.PartID(0x12).String()).To(Equal("0000000012"))
		Expect(attributor.Join([]attributor.PartID{1, 2})).To(Equal("0000000001,0000000002"))
	})
})
