package observer_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cicadawood/cicadawood/dispatcher"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/observer"
	"github.com/cicadawood/cicadawood/prover"
)

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// configuration returns a service with one configured worker and others from the host list.
func configuration() map[string]loader.Service {
	return map[string]loader.Service{"lm": {UseHostList: true, Workers: []loader.Worker{{Name: "fixed", Address: "fixed", Slots: 1}}}}
}

func listing(names ...string) []observer.Listing {
	var out []observer.Listing
	for _, n := range names {
		name, leaving := strings.CutSuffix(n, "!")
		out = append(out, observer.Listing{Service: "lm", Name: name, Address: name, Slots: 1, Leaving: leaving})
	}
	return out
}

// event is an input of one source, or a sweep, at a time in seconds.
type event struct {
	at   float64
	kind string // list, report, refuse or sweep
	args string // names; ! marks a leaving one
}

func (a event) applyTo(o *observer.Observer) {
	name, leaving := strings.CutSuffix(a.args, "!")
	switch a.kind {
	case "list":
		o.Listed(at(a.at), listing(strings.Fields(a.args)...))
	case "report":
		o.Reported(at(a.at), name, observer.Report{Leaving: leaving})
	case "refuse":
		worker, retryAfter, _ := strings.Cut(name, " ")
		d, _ := time.ParseDuration(retryAfter) // 0 if missing
		o.Refused(at(a.at), worker, d)
	case "sweep":
		o.Sweep(at(a.at))
	}
}

// available returns the workers that get new work.
func available(o *observer.Observer, now time.Time) string {
	var names []string
	for _, c := range dispatcher.SplitCells("lm", o.Services()["lm"]) {
		for _, w := range o.Available(now, c).Workers {
			names = append(names, w.Name)
		}
	}
	return strings.Join(names, " ")
}

var _ = Describe("Observer", func() {
	// Guards against new work for a worker that is about to be replaced. It must get none as soon
	// as the host list, its report or its refusal shows that, and a later message of another
	// source, which may be older, must not revoke it.
	DescribeTable("decides which workers get new work",
		func(second float64, want string, events ...event) {
			o := &observer.Observer{}
			o.Configure(configuration())
			for _, a := range events {
				a.applyTo(o)
			}
			o.Sweep(at(second))
			Expect(available(o, at(second))).To(Equal(want))
		},
		Entry("the configuration alone", 0.0, "fixed"),
		Entry("configuration and list", 1.0, "a b fixed", event{0, "list", "a b"}),
		Entry("the list says leaving", 1.0, "b fixed", event{0, "list", "a! b"}),
		Entry("the report says leaving", 2.0, "b fixed", event{0, "list", "a b"}, event{1, "report", "a!"}),
		Entry("a refusal says leaving", 2.0, "b fixed", event{0, "list", "a b"}, event{1, "refuse", "a"}),
		Entry("a refusal alone expires", 6.0, "a b fixed", event{0, "list", "a b"}, event{1, "refuse", "a"}),
		Entry("a refusal holds as long as it asks for", 10.9, "b fixed", event{0, "list", "a b"}, event{1, "refuse", "a 10s"}),
		Entry("and no longer", 11.0, "a b fixed", event{0, "list", "a b"}, event{1, "refuse", "a 10s"}),
		Entry("a refusal that asks for less does not end it", 10.9, "b fixed", event{0, "list", "a b"}, event{1, "refuse", "a 10s"}, event{2, "refuse", "a 1s"}),
		Entry("a refusal that asks for less than the usual hold has that", 3.9, "b fixed", event{0, "list", "a b"}, event{1, "refuse", "a 1s"}),
		Entry("a report that is older than the refusal changes nothing", 2.0, "b fixed", event{0, "list", "a b"}, event{1, "refuse", "a"}, event{1.5, "report", "a"}),
		Entry("a late list does not revoke what the report says", Label(prover.Cell(prover.Granted, prover.LateHostList), prover.Cell(prover.Sent, prover.LateHostList), prover.Cell(prover.Draining, prover.LateHostList)),
			3.0, "b fixed", event{0, "list", "a b"}, event{1, "report", "a!"}, event{2, "list", "a b"}),
		Entry("a report does not revoke what the list says", 3.0, "b fixed", event{0, "list", "a! b"}, event{2, "report", "a"}),
		Entry("a restarted worker is available again when its report says so", 3.0, "a b fixed", event{0, "list", "a b"}, event{1, "report", "a!"}, event{2, "report", "a"}),
		Entry("a worker is available again when the list says so", 3.0, "a b fixed", event{0, "list", "a! b"}, event{2, "list", "a b"}),
		Entry("a list without a worker that answers removes nothing", 31.0, "a b fixed",
			event{0, "list", "a b"}, event{1, "list", "b"}, event{15, "report", "a"}, event{16, "sweep", ""}, event{30, "report", "a"}),
		Entry("a list without a worker that no longer answers removes it", 31.0, "b fixed", event{0, "list", "a b"}, event{1, "report", "a"}, event{2, "list", "b"}),
		Entry("a list without a worker that only other hosts ask removes it later", 31.0, "a b fixed", event{0, "list", "a b"}, event{2, "list", "b"}),
		Entry("and then does", 63.0, "b fixed", event{0, "list", "a b"}, event{2, "list", "b"}),
		Entry("a list never removes a configured worker", 100.0, "b fixed", event{0, "list", "b"}),
		Entry("a list may report a configured worker as leaving", 1.0, "b", event{0, "list", "b fixed!"}),
		Entry("a new address is a new worker", 3.0, "a fixed", event{0, "report", "a!"}, event{1, "list", "a"}),
	)

	It("keeps the state of a worker when the configuration changes", func() {
		o := &observer.Observer{}
		o.Configure(configuration())
		o.Listed(at(0), listing("a", "b"))
		o.Reported(at(0), "a", observer.Report{Leaving: true})
		o.Reported(at(0), "fixed", observer.Report{Leaving: true})
		o.Configure(configuration())
		Expect(available(o, at(1))).To(Equal("b"))
		o.Configure(map[string]loader.Service{"lm": {Workers: configuration()["lm"].Workers}})
		Expect(available(o, at(1))).To(BeEmpty())
		Expect(o.States(at(1))).To(HaveLen(1))
	})

	// In any order of the sources' reports, a worker that one of them reports as leaving, and
	// none has revoked since, gets no work.
	It("never gives work to a worker that a source reports as leaving", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			o := &observer.Observer{}
			o.Configure(configuration())
			o.Listed(at(0), listing("a"))
			list, report, refused := false, false, -100.0
			for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
				second := float64(i) * 0.7
				switch rapid.IntRange(0, 4).Draw(t, "act") {
				case 0:
					list = rapid.Bool().Draw(t, "leaving")
					name := map[bool]string{true: "a!", false: "a"}[list]
					o.Listed(at(second), listing(name))
				case 1:
					report = rapid.Bool().Draw(t, "leaving")
					o.Reported(at(second), "a", observer.Report{Leaving: report})
				case 2:
					refused = second
					o.Refused(at(second), "a", 0)
				case 3:
					o.Sweep(at(second))
				case 4:
					o.Configure(configuration())
				}
				leaving := list || report || second-refused < 3
				if got := strings.Contains(available(o, at(second)), "a"); got && leaving {
					t.Fatalf("at %v: list %v report %v refused %v", second, list, report, refused)
				}
			}
		})
	})
})
