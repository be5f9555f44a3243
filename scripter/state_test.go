package scripter_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cicadawood/cicadawood/platform"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/runner"
	"github.com/cicadawood/cicadawood/storer"
)

// baseFolder holds the configuration files that all scripts share.
const baseFolder = "../scenarios/base"

// cmdPush implements `[!] push [DIR [FLAG...]]`: pushes the files of baseFolder and of DIR
// as one configuration, with each $NAME expanded. A file of DIR overrides the base file of
// the same name. A base file that refers to a process which the script has not started is
// left out.
func cmdPush(ts *testscript.TestScript, neg bool, args []string) {
	env := environmentOf(ts)
	to, flags := filepath.Join(env.dir, "pushed"), []string(nil)
	ts.Check(os.MkdirAll(to, 0o700))
	env.copyExpanded(ts, baseFolder, to, false)
	if len(args) > 0 {
		env.copyExpanded(ts, ts.MkAbs(args[0]), to, true)
		flags = args[1:]
	}
	env.operate(ts, neg, append([]string{"push", to}, flags...))
}

// copyExpanded copies the files of a folder with each $NAME expanded. Files with
// unresolved names are left out unless keepUnresolved is set.
func (e *environment) copyExpanded(ts *testscript.TestScript, from, to string, keepUnresolved bool) {
	entries, err := os.ReadDir(from)
	ts.Check(err)
	for _, f := range entries {
		text, err := os.ReadFile(filepath.Join(from, f.Name()))
		ts.Check(err)
		filled := e.expand(string(text))
		if !keepUnresolved && strings.Contains(filled, "$") {
			continue
		}
		ts.Check(os.WriteFile(filepath.Join(to, f.Name()), []byte(filled), 0o600))
	}
}

// cmdOperate implements `[!] operate COMMAND [ARG...]`: runs a subcommand of cicadawood
// with each $NAME in its arguments expanded.
func cmdOperate(ts *testscript.TestScript, neg bool, args []string) {
	environmentOf(ts).operate(ts, neg, args)
}

func (e *environment) operate(ts *testscript.TestScript, neg bool, args []string) {
	for i, a := range args {
		args[i] = e.expand(a)
	}
	c := exec.Command(filepath.Join(ts.Getenv("BIN"), "cicadawood"), args...)
	c.Env = append(os.Environ(), "CICADAWOOD_PLATFORM=http://"+e.addresses["platform"])
	c.Dir = e.dir
	out, err := c.CombinedOutput()
	ts.Logf("%s", out)
	if (err != nil) != neg {
		ts.Fatalf("cicadawood %s: %v", strings.Join(args, " "), err)
	}
}

// cmdReady implements `[!] ready HOST...`: waits until each host reports to the load
// balancer that it is ready (with "!": not ready).
func cmdReady(ts *testscript.TestScript, neg bool, args []string) {
	for _, name := range args {
		eventually(ts, func() error {
			resp, err := http.Get("http://" + environmentOf(ts).addresses[name] + "/readyz")
			if err != nil {
				return err
			}
			_ = resp.Body.Close()
			if (resp.StatusCode != http.StatusOK) != neg {
				return fmt.Errorf("%s: /readyz is %s", name, resp.Status)
			}
			return nil
		})
	}
}

// state queries the state of a host through its admin listener.
func (e *environment) state(name string) (runner.State, error) {
	var s runner.State
	resp, err := http.Get("http://" + e.addresses[name+"_admin"] + "/state")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// cmdDispatches implements `dispatches HOST GRANTED WAITING`: waits until the host is the
// dispatcher of a cell with exactly these numbers of granted and waiting requests.
func cmdDispatches(ts *testscript.TestScript, _ bool, args []string) {
	want := strings.Join(args[1:], " ")
	eventually(ts, func() error {
		s, err := environmentOf(ts).state(args[0])
		if err != nil {
			return err
		}
		got := "none"
		for _, c := range s.Cells {
			if got = fmt.Sprint(len(c.Granted), len(c.Waiting)); got == want {
				return nil
			}
		}
		return fmt.Errorf("%s dispatches %s, not %s", args[0], got, want)
	})
}

// cmdRenewed implements `renewed PLATFORM HOST`: waits until the host renews its lease.
func cmdRenewed(ts *testscript.TestScript, _ bool, args []string) {
	store, clean := platform.NewStore("http://" + environmentOf(ts).addresses[args[0]])
	defer clean()
	version := func() storer.Version {
		o, err := store.Get(context.Background(), registrar.LeasePrefix+args[1])
		if !errors.Is(err, storer.ErrNotFound) { // the lease is missing after a restore from an older snapshot
			ts.Check(err)
		}
		return o.Version
	}
	before := version()
	eventually(ts, func() error {
		if now := version(); now == before {
			return fmt.Errorf("the lease of %s is still at version %d", args[1], now)
		}
		return nil
	})
}

// cmdObject implements `object PLATFORM KEY TEXT`: waits until the object contains the text.
func cmdObject(ts *testscript.TestScript, _ bool, args []string) {
	store, clean := platform.NewStore("http://" + environmentOf(ts).addresses[args[0]])
	defer clean()
	eventually(ts, func() error {
		o, err := store.Get(context.Background(), args[1])
		if err == nil && !strings.Contains(string(o.Value), args[2]) {
			err = fmt.Errorf("%s is %s", args[1], o.Value)
		}
		return err
	})
}

// cmdCount returns a command `NAME HOST N` that waits until count returns N for the host's
// state. The error message calls what is counted noun.
func cmdCount(noun string, count func(runner.State) int) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		want, err := strconv.Atoi(args[1])
		ts.Check(err)
		eventually(ts, func() error {
			s, err := environmentOf(ts).state(args[0])
			if err != nil {
				return err
			}
			if n := count(s); n != want {
				return fmt.Errorf("%s has %d %s, not %d", args[0], n, noun, want)
			}
			return nil
		})
	}
}

// activeHosts returns the number of hosts on the roster that are not leaving.
func activeHosts(s runner.State) int {
	n := 0
	for _, h := range s.Roster {
		if !h.Leaving {
			n++
		}
	}
	return n
}

// readyPartitions returns the number of partitions whose keeper on this host is ready and
// reaches the Object API.
func readyPartitions(s runner.State) int {
	n := 0
	for _, k := range s.Keepers {
		if k.Ready && !k.Down {
			n++
		}
	}
	return n
}

// cmdForce implements `force HOST HOST2...`: waits until every host has the same
// generation in force as the first.
func cmdForce(ts *testscript.TestScript, _ bool, args []string) {
	env := environmentOf(ts)
	eventually(ts, func() error {
		first, err := env.state(args[0])
		if err != nil {
			return err
		}
		for _, name := range args[1:] {
			s, err := env.state(name)
			if err != nil {
				return err
			}
			if s.Generation != first.Generation || s.Generation == 0 {
				return fmt.Errorf("%s has generation %d, %s has %d", name, s.Generation, args[0], first.Generation)
			}
		}
		return nil
	})
}

// cmdClass implements `[!] class HOST CLASS`: waits until a configuration with that class
// (with "!": without it) is in force on the host, as shown by a request of the class.
func cmdClass(ts *testscript.TestScript, neg bool, args []string) {
	env := environmentOf(ts)
	eventually(ts, func() error {
		req, err := http.NewRequest(http.MethodPost, "http://"+env.addresses[args[0]]+"/services/app/probe", nil)
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer demo-key")
		req.Header.Set("Cicadawood-Class", args[1])
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		if (resp.StatusCode == http.StatusForbidden) != neg {
			return fmt.Errorf("class %s on %s: %s", args[1], args[0], resp.Status)
		}
		return nil
	})
}

// cmdRan implements `ran KEY N SERVICE...`: waits until the services together have run the
// key N times, and fails if they ran it more often.
func cmdRan(ts *testscript.TestScript, _ bool, args []string) {
	env := environmentOf(ts)
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	eventually(ts, func() error {
		total := 0
		for _, name := range args[2:] {
			resp, err := http.Get("http://" + env.addresses[name] + "/counts")
			if err != nil {
				return err
			}
			counts := map[string]int{}
			err = json.NewDecoder(resp.Body).Decode(&counts)
			_ = resp.Body.Close()
			if err != nil {
				return err
			}
			total += counts[args[0]]
		}
		if total > want {
			ts.Fatalf("key %s ran %d times, not %d", args[0], total, want)
		}
		if total < want {
			return fmt.Errorf("key %s ran %d times, not %d", args[0], total, want)
		}
		return nil
	})
}
