// Package scripter_test runs the scenarios: testscript files that drive real processes on
// loopback, in one folder for each guarantee. The table below lists the commands that it
// adds to those of testscript; CONTRIBUTING.md explains them.
package scripter_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

var commands = map[string]func(*testscript.TestScript, bool, []string){
	"start":      cmdStart,
	"sigkill":    cmdSignal(syscall.SIGKILL), // testscript has a command kill
	"freeze":     cmdSignal(syscall.SIGSTOP),
	"thaw":       cmdSignal(syscall.SIGCONT),
	"term":       cmdSignal(syscall.SIGTERM),
	"hangup":     cmdSignal(syscall.SIGHUP),
	"gone":       cmdGone,
	"platform":   cmdPlatform,
	"fault":      cmdFault,
	"link":       cmdLink,
	"leave":      cmdLeave,
	"push":       cmdPush,
	"operate":    cmdOperate,
	"ready":      cmdReady,
	"roster":     cmdCount("hosts", activeHosts),
	"object":     cmdObject,
	"renewed":    cmdRenewed,
	"dispatches": cmdDispatches,
	"force":      cmdForce,
	"kept":       cmdCount("partitions", readyPartitions),
	"class":      cmdClass,
	"call":       cmdCall,
	"streaming":  cmdStreaming,
	"expect":     cmdExpect,
	"same":       cmdSame,
	"page":       cmdPage,
	"before":     cmdBefore,
	"flood":      cmdFlood,
	"ebb":        cmdEbb,
	"ran":        cmdRan,
}

func TestScenarios(t *testing.T) {
	bin, err := filepath.Abs("../bin")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(filepath.Join(bin, "cicadawood")); err != nil {
		t.Fatalf("run make build first: %v", err)
	}
	folders, err := filepath.Glob("../scenarios/*")
	if err != nil || len(folders) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	commands["each"] = cmdEach // added here, as cmdEach refers to the table
	for _, folder := range folders {
		if folder == baseFolder {
			continue
		}
		t.Run(filepath.Base(folder), func(t *testing.T) {
			t.Parallel()
			testscript.Run(t, testscript.Params{Dir: folder, Cmds: commands, RequireExplicitExec: true, Setup: func(e *testscript.Env) error {
				e.Setenv("BIN", bin)
				e.Setenv("CALLING", filepath.Join(bin, "../docs/CALLING.md"))
				env := newEnvironment(e.WorkDir)
				e.Values[environmentKey{}] = env
				e.Defer(env.close)
				return nil
			}})
		})
	}
}

// cmdEach implements `each NAME... : COMMAND [ARG...]`: runs the command once for each
// name, with % in its arguments replaced by the name.
func cmdEach(ts *testscript.TestScript, neg bool, args []string) {
	colon := slices.Index(args, ":")
	command := commands[args[colon+1]]
	for _, name := range args[:colon] {
		var filled []string
		for _, a := range args[colon+2:] {
			filled = append(filled, strings.ReplaceAll(a, "%", name))
		}
		ts.Logf("%s %v", args[colon+1], filled)
		command(ts, neg, filled)
	}
}
