package registrar_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/registrar"
)

var _ = Describe("Roster", func() {
	fleet := func(change func(i int, h *registrar.Record)) registrar.Roster {
		var hosts []registrar.Record
		for i := range 20 {
			h := registrar.Record{Name: fmt.Sprintf("h-%02d", i), Weight: 19}
			change(i, &h)
			hosts = append(hosts, h)
		}
		return registrar.NewRoster(hosts...)
	}
	names := func(hosts []registrar.Record) []string {
		var out []string
		for _, h := range hosts {
			out = append(out, h.Name)
		}
		return out
	}

	// Guards against an unnecessary change of owners when the first one fails: the next one must
	// be the one that was second all along, and the others must not change.
	It("passes a role with several owners to the next one in order", func() {
		five := names(fleet(func(int, *registrar.Record) {}).Owners("decide", 5))
		Expect(five).To(HaveLen(5))
		without := names(fleet(func(_ int, h *registrar.Record) { h.Leaving = h.Name == five[0] }).Owners("decide", 4))
		Expect(without).To(Equal(five[1:]))
		owner, _ := fleet(func(int, *registrar.Record) {}).Owner("decide")
		Expect(owner.Name).To(Equal(five[0]))
	})

	It("gives such a role to large hosts first, and to small ones if there are too few large ones", func() {
		r := fleet(func(i int, h *registrar.Record) {
			if i < 4 {
				h.Weight = 80 - 10*i
			}
		})
		Expect(names(r.Owners("decide", 3))).To(HaveEach(BeElementOf("h-00", "h-01", "h-02", "h-03")))
		Expect(names(r.Owners("decide", 5))[:4]).To(ConsistOf("h-00", "h-01", "h-02", "h-03"))
		Expect(r.Owners("decide", 50)).To(HaveLen(20))
	})
})
