package commander_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/commander"
	"github.com/cicadawood/cicadawood/faker"
	adapter "github.com/cicadawood/cicadawood/platform"
	"github.com/cicadawood/cicadawood/prover"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/storer"
)

var _ = DescribeTable("Exit codes for wrong calls",
	func(code int, message string, args ...string) {
		_, stderr, got := run("", args...)
		Expect(got).To(Equal(code))
		Expect(stderr).To(HavePrefix("cicadawood: " + message))
	},
	Entry("an unknown command", commander.ExitUsage, `unknown command "chek"`, "chek", "x"),
	Entry("an unknown flag", commander.ExitUsage, "unknown flag: --quick", "push", "--quick", "x"),
	Entry("no folder", commander.ExitUsage, "accepts 1 arg", "push"),
	Entry("a folder that does not exist", commander.ExitUsage, "stat nowhere", "check", "nowhere"),
	Entry("a folder without settings", commander.ExitUsage, "folder ..: no .json or .jsonc files", "check", ".."),
	Entry("a push of a folder without settings", commander.ExitUsage, "folder ..: no .json or .jsonc files", "push", ".."),
	Entry("no key", commander.ExitUsage, "no key on standard input", "key"),
	Entry("no platform", commander.ExitUsage, "no platform: give --platform", "--platform", "", "status"),
	Entry("an unreachable platform", commander.ExitFailed, "platform can't be read", "--platform", "http://127.0.0.1:1", "status"),
	Entry("an unreachable host", commander.ExitFailed, "call host", "dump", "127.0.0.1:1"),
)

var _ = Describe("Two operators", func() {
	var ann, ben string
	var platform *faker.Platform
	var loseReply bool // the next write takes effect, its reply is lost, and the platform goes down
	const classes = `{"classes": {"hold": {"tier": 0, "whole": "1s"}}}`
	write := func(dir, name, text string) {
		Expect(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600)).To(Succeed())
	}
	BeforeEach(func() {
		platform = faker.NewPlatform()
		loseReply = false
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if loseReply && r.Method == http.MethodPut {
				loseReply = false
				platform.Handler().ServeHTTP(httptest.NewRecorder(), r)
				platform.SetFaults(faker.Faults{Down: true})
				panic(http.ErrAbortHandler)
			}
			platform.Handler().ServeHTTP(w, r)
		}))
		DeferCleanup(server.Close)
		GinkgoT().Setenv("CICADAWOOD_PLATFORM", server.URL)
		ann, ben = GinkgoT().TempDir(), GinkgoT().TempDir()
		write(ann, "10.json", classes)
		_, _, code := run("", "push", ann)
		Expect(code).To(Equal(commander.ExitOK))
		_, _, code = run("", "pull", ben)
		Expect(code).To(Equal(commander.ExitOK))
	})

	// Both change the same file. The second operator must get the name of the file, and must
	// not overwrite the change of the first.
	It("see which files conflict", Label(prover.Cell(prover.Pushed, prover.PushRace)), func() {
		write(ann, "10.json", `{"classes": {"hold": {"tier": 1, "whole": "1s"}}}`)
		write(ben, "10.json", `{"classes": {"hold": {"tier": 2, "whole": "1s"}}}`)
		_, _, code := run("", "push", ann)
		Expect(code).To(Equal(commander.ExitOK))
		for _, command := range []string{"push", "diff", "pull"} {
			_, stderr, code := run("", command, ben)
			Expect(code).To(Equal(commander.ExitConflict))
			Expect(stderr).To(MatchRegexp(`changed here and in generation \d+: 10.json`))
		}
		_, _, code = run("", "pull", "--force", ben)
		Expect(code).To(Equal(commander.ExitOK))
		_, _, code = run("", "diff", ben)
		Expect(code).To(Equal(commander.ExitOK))
	})

	It("see what a push would change", func() {
		write(ben, "20.json", `{"classes": {"chat": {"tier": 1, "whole": "9s"}}}`)
		out, _, code := run("", "diff", ben)
		Expect(code).To(Equal(commander.ExitDiffers))
		Expect(out).To(ContainSubstring(`+{"classes": {"chat"`))
		for _, args := range [][]string{{"diff", ben}, {"diff", "--json", ben}} {
			code := commander.Main(args, strings.NewReader(""), fullDisk{}, io.Discard)
			Expect(code).To(Equal(commander.ExitFailed), "differences that were not written")
		}
		out, _, _ = run("", "diff", "--json", ben)
		Expect(out).To(MatchJSON(`[{"file": "20.json", "change": "added"}]`))
		out, _, code = run("", "push", ben)
		Expect(code).To(Equal(commander.ExitOK))
		Expect(out).To(HavePrefix("generation "))
	})

	// A host's record exists, but its admin address does not answer. The output must give
	// the error: otherwise a wrong address in the settings looks the same as a host that
	// is down.
	It("see why a host can't be reached", func() {
		store, clean := adapter.NewStore(os.Getenv("CICADAWOOD_PLATFORM"))
		DeferCleanup(clean)
		record := `{"name": "h-1", "zone": "z", "admin": "127.0.0.1:1"}`
		_, err := store.Put(context.Background(), registrar.Prefix+"h-1", []byte(record), storer.Condition{})
		Expect(err).NotTo(HaveOccurred())
		out, _, code := run("", "status")
		Expect(code).To(Equal(commander.ExitOK))
		Expect(out).To(MatchRegexp(`h-1 .*unreachable: .*connection refused`))
	})

	// The platform applies the write, the reply is lost, and the platform goes down.
	It("see that a push may have taken effect", Label(prover.Pair(prover.Pushed, prover.LostReply, prover.Written, prover.StoreDown)), func() {
		write(ben, "20.json", `{"classes": {"chat": {"tier": 1, "whole": "9s"}}}`)
		loseReply = true
		_, stderr, code := run("", "push", ben)
		Expect(code).To(Equal(commander.ExitOutcomeUnknown))
		Expect(stderr).To(ContainSubstring("the push may have landed; push again"))
		platform.SetFaults(faker.Faults{})
		out, _, code := run("", "push", ben)
		Expect(code).To(Equal(commander.ExitOK))
		Expect(out).To(ContainSubstring("was there already"))
	})
})
