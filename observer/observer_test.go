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

// folder has one worker named in it and takes others from the host list.
func folder() map[string]loader.Service {
	return map[string]loader.Service{"lm": {Hosts: true, Workers: []loader.Worker{{Name: "fixed", Address: "fixed", Slots: 1}}}}
}

func listing(names ...string) []observer.Listing {
	var out []observer.Listing
	for _, n := range names {
		name, leaving := strings.CutSuffix(n, "!")
		out = append(out, observer.Listing{Service: "lm", Name: name, Address: name, Slots: 1, Leaving: leaving})
	}
	return out
}

// act is one thing that a source says: at a second, about a worker.
type act struct {
	at   float64
	what string // list, report, refuse or sweep
	args string // names; ! marks a leaving one
}

func (a act) on(o *observer.Observer) {
	name, leaving := strings.CutSuffix(a.args, "!")
	switch a.what {
	case "list":
		o.Listed(at(a.at), listing(strings.Fields(a.args)...))
	case "report":
		o.Reported(at(a.at), name, observer.Report{Leaving: leaving})
	case "refuse":
		o.Refused(at(a.at), name)
	case "sweep":
		o.Sweep(at(a.at))
	}
}

// present is the workers that get new work.
func present(o *observer.Observer, now time.Time) string {
	var names []string
	for _, c := range dispatcher.SplitCells("lm", o.Services()["lm"]) {
		for _, w := range o.Available(now, c).Workers {
			names = append(names, w.Name)
		}
	}
	return strings.Join(names, " ")
}

var _ = Describe("Observer", func() {
	// Story: a backend server is about to be replaced. It must get nothing new,
	// whichever of the host list, its report and its refusal says so first; a later
	// word of another source, which may be older, must not bring it back.
	DescribeTable("decides which workers get new work",
		func(second float64, want string, acts ...act) {
			o := &observer.Observer{}
			o.Configure(folder())
			for _, a := range acts {
				a.on(o)
			}
			o.Sweep(at(second))
			Expect(present(o, at(second))).To(Equal(want))
		},
		Entry("the folder alone", 0.0, "fixed"),
		Entry("folder and list", 1.0, "a b fixed", act{0, "list", "a b"}),
		Entry("the list says leaving", 1.0, "b fixed", act{0, "list", "a! b"}),
		Entry("the report says leaving", 2.0, "b fixed", act{0, "list", "a b"}, act{1, "report", "a!"}),
		Entry("a refusal says leaving", 2.0, "b fixed", act{0, "list", "a b"}, act{1, "refuse", "a"}),
		Entry("a refusal alone is forgotten", 6.0, "a b fixed", act{0, "list", "a b"}, act{1, "refuse", "a"}),
		Entry("a report that is older than the refusal changes nothing", 2.0, "b fixed", act{0, "list", "a b"}, act{1, "refuse", "a"}, act{1.5, "report", "a"}),
		Entry("a late list does not take back what the report says", Label(prover.Cell(prover.Granted, prover.LateList), prover.Cell(prover.Sent, prover.LateList), prover.Cell(prover.Draining, prover.LateList)),
			3.0, "b fixed", act{0, "list", "a b"}, act{1, "report", "a!"}, act{2, "list", "a b"}),
		Entry("a report does not take back what the list says", 3.0, "b fixed", act{0, "list", "a! b"}, act{2, "report", "a"}),
		Entry("a restarted worker is taken again when its report says so", 3.0, "a b fixed", act{0, "list", "a b"}, act{1, "report", "a!"}, act{2, "report", "a"}),
		Entry("a worker is taken again when the list says so", 3.0, "a b fixed", act{0, "list", "a! b"}, act{2, "list", "a b"}),
		Entry("a list that lost a worker which answers removes nothing", 31.0, "a b fixed",
			act{0, "list", "a b"}, act{1, "list", "b"}, act{15, "report", "a"}, act{16, "sweep", ""}, act{30, "report", "a"}),
		Entry("a list that lost a worker which is silent removes it", 31.0, "b fixed", act{0, "list", "a b"}, act{1, "report", "a"}, act{2, "list", "b"}),
		Entry("a list that lost a worker which others ask removes it later", 31.0, "a b fixed", act{0, "list", "a b"}, act{2, "list", "b"}),
		Entry("and then does", 63.0, "b fixed", act{0, "list", "a b"}, act{2, "list", "b"}),
		Entry("a list never removes a worker of the folder", 100.0, "b fixed", act{0, "list", "b"}),
		Entry("a list may say that a worker of the folder leaves", 1.0, "b", act{0, "list", "b fixed!"}),
		Entry("a new address is a new worker", 3.0, "a fixed", act{0, "report", "a!"}, act{1, "list", "a"}),
	)

	It("keeps what it knows of a worker over a new configuration", func() {
		o := &observer.Observer{}
		o.Configure(folder())
		o.Listed(at(0), listing("a", "b"))
		o.Reported(at(0), "a", observer.Report{Leaving: true})
		o.Reported(at(0), "fixed", observer.Report{Leaving: true})
		o.Configure(folder())
		Expect(present(o, at(1))).To(Equal("b"))
		o.Configure(map[string]loader.Service{"lm": {Workers: folder()["lm"].Workers}})
		Expect(present(o, at(1))).To(BeEmpty())
		Expect(o.States(at(1))).To(HaveLen(1))
	})

	// Whatever the order of sources, a worker that one of them says is leaving, and
	// which none has taken back since, gets nothing.
	It("never gives work to a worker that a source says is leaving", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			o := &observer.Observer{}
			o.Configure(folder())
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
					o.Refused(at(second), "a")
				case 3:
					o.Sweep(at(second))
				case 4:
					o.Configure(folder())
				}
				away := list || report || second-refused < 3
				if got := strings.Contains(present(o, at(second)), "a"); got && away {
					t.Fatalf("at %v: list %v report %v refused %v", second, list, report, refused)
				}
			}
		})
	})
})
