package runner_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/runner"
)

// Guards against a cut host that never asks the only host which could help it, as that could not
// be reached at some time before.
var _ = It("asks hosts for help that could not be reached before, and none that is leaving", func() {
	r := registrar.NewRoster(
		registrar.Record{Name: "self"}, registrar.Record{Name: "usual"},
		registrar.Record{Name: "thawed", Unreachable: true}, registrar.Record{Name: "stopping", Leaving: true},
	)
	Expect(runner.HelpersOf(r, "self")).To(ConsistOf("usual", "thawed"))
})
