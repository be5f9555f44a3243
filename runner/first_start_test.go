package runner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/runner"
)

// Guards against hosts that take a restart of all hosts for the first start of the system.
var _ = Describe("The first start of the system", func() {
	start := time.Unix(1_000_000, 0)
	at := func(name string, d time.Duration) registrar.Record {
		return registrar.Record{Name: name, Incarnation: uint64(start.Add(d).UnixNano())}
	}
	later := start.Add(2 * time.Second)

	It("is believed once the store is found to know no earlier process, and no host is older", func() {
		x := runner.NewFirstStart()
		Expect(x.Confirmed(later)).To(BeFalse(), "the store did not answer yet")
		x.SetRoster("a", registrar.NewRoster(at("a", 0), at("b", -5*time.Second)))
		x.Written(start, true)
		Expect(x.Confirmed(start)).To(BeFalse(), "the roster may not be known yet")
		Expect(x.Confirmed(later)).To(BeTrue())
	})

	It("is not believed where the store has a record of an earlier process of this name", func() {
		x := runner.NewFirstStart()
		x.Written(start, false)
		Expect(x.Confirmed(later)).To(BeFalse())
	})

	It("is not believed where a host, or a record of one that is gone, is much older", func() {
		x := runner.NewFirstStart()
		x.Written(start, true)
		x.SetRoster("a", registrar.NewRoster(at("a", 0), at("b", -time.Minute)))
		Expect(x.Confirmed(later)).To(BeFalse())
		x.SetRoster("a", registrar.NewRoster(at("a", 0)))
		Expect(x.Confirmed(later)).To(BeFalse())
	})
})
