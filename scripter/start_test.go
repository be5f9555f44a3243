package scripter_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdStart implements `start KIND NAME [ARG...]`: starts a process of kind platform,
// engine, service, link or host, and waits until it listens.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: start KIND NAME [ARG...]")
	}
	env, kind, name, rest := environmentOf(ts), args[0], args[1], args[2:]
	switch kind {
	case "platform":
		env.addresses[name] = env.newAddress()
		env.startProcess(ts, name, "faker", "platform", env.addresses[name])
	case "engine", "service":
		if env.addresses[name] == "" {
			env.addresses[name] = env.newAddress()
		}
		env.startProcess(ts, name, "faker", append([]string{kind, name, env.addresses[name]}, rest...)...)
	case "link":
		env.addresses[name], env.addresses[name+"_control"] = env.newAddress(), env.newAddress()
		env.startProcess(ts, name, "faker", "link", env.addresses[name], env.addresses[rest[0]], env.addresses[name+"_control"])
	case "host":
		env.startHost(ts, name, rest)
		return
	default:
		ts.Fatalf("unknown kind %q", kind)
	}
	waitListening(ts, env.addresses[name])
}

// startHost starts a host. On its first start it writes the host's settings from the
// arguments KEY=VALUE: zone, platform, peer, or the name of a limit. A restart uses the
// same settings, with the same addresses.
func (e *environment) startHost(ts *testscript.TestScript, name string, args []string) {
	file := filepath.Join(e.dir, name+".jsonc")
	if _, err := os.Stat(file); err != nil {
		e.addresses[name], e.addresses[name+"_control"], e.addresses[name+"_admin"] = e.newAddress(), e.newAddress(), e.newAddress()
		settings := map[string]any{
			"name": name, "zone": "zone-a", "region": "region",
			"listen": e.addresses[name], "control": e.addresses[name+"_control"], "admin": e.addresses[name+"_admin"],
			"platform": "http://" + e.addresses["platform"],
		}
		limits := map[string]string{"settle": "100ms", "lease": "2s"}
		for _, a := range args {
			key, value, _ := strings.Cut(a, "=")
			switch key {
			case "zone":
				settings[key] = value
			case "platform":
				settings[key] = "http://" + e.addresses[value]
			case "peer":
				settings["peers"] = []string{e.addresses[value+"_control"]}
			default:
				limits[key] = value
			}
		}
		settings["limits"] = limits
		text, err := json.Marshal(settings)
		ts.Check(err)
		ts.Check(os.WriteFile(file, text, 0o600))
	}
	e.startProcess(ts, name, "cicadawood", "serve", file)
	waitListening(ts, e.addresses[name])
}

// waitListening waits until the address accepts connections.
func waitListening(ts *testscript.TestScript, address string) {
	eventually(ts, func() error {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return err
		}
		return c.Close()
	})
}

// cmdSignal returns a command `NAME PROCESS...` that sends a signal to each process. After
// SIGKILL it waits until the process has exited.
func cmdSignal(s syscall.Signal) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			p := environmentOf(ts).signal(ts, name, s)
			if s == syscall.SIGKILL {
				<-p.exited
			}
		}
	}
}

// cmdGone implements `[!] gone NAME`: waits until the process has exited, and checks that
// its exit code is 0 (with "!": another).
func cmdGone(ts *testscript.TestScript, neg bool, args []string) {
	p := environmentOf(ts).processes[args[0]]
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		ts.Fatalf("%s is still running", args[0])
	}
	if (p.err != nil) != neg {
		ts.Fatalf("%s exited with %v", args[0], p.err)
	}
}

// cmdPlatform implements `platform NAME up|down|slow DURATION|lose N|restored AGE`: ends all
// faults of the fake platform, or begins one. lose N loses the replies of N writes that
// take effect; restored AGE restores the store from a snapshot of that age.
func cmdPlatform(ts *testscript.TestScript, _ bool, args []string) {
	if args[1] == "restored" {
		age, err := time.ParseDuration(args[2])
		ts.Check(err)
		post(ts, http.MethodPost, environmentOf(ts).addresses[args[0]], "/restore", fmt.Sprintf(`{"age": %d}`, age))
		return
	}
	faults := map[string]any{}
	switch args[1] {
	case "up":
	case "down":
		faults["down"] = true
	case "slow":
		d, err := time.ParseDuration(args[2])
		ts.Check(err)
		faults["delay"] = d
	case "lose":
		var n int
		_, err := fmt.Sscan(args[2], &n)
		ts.Check(err)
		faults["lose"] = n
	default:
		ts.Fatalf("unknown fault %q", args[1])
	}
	body, err := json.Marshal(faults)
	ts.Check(err)
	post(ts, http.MethodPost, environmentOf(ts).addresses[args[0]], "/faults", string(body))
}

// cmdFault implements `fault NAME JSON`: sets the faults of a fake engine or service.
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	post(ts, http.MethodPost, environmentOf(ts).addresses[args[0]], "/faults", args[1])
}

// cmdLink implements `link NAME MODE [DELAY]`: sets the mode and the delay of a link.
func cmdLink(ts *testscript.TestScript, _ bool, args []string) {
	path := "/" + args[1]
	if len(args) > 2 {
		path += "?delay=" + args[2]
	}
	post(ts, http.MethodPut, environmentOf(ts).addresses[args[0]+"_control"], path, "")
}

// cmdLeave implements `leave NAME`: has a backend server announce that it is leaving.
func cmdLeave(ts *testscript.TestScript, _ bool, args []string) {
	post(ts, http.MethodPost, environmentOf(ts).addresses[args[0]], "/leave", "")
}

// post sends a request and fails the script unless it succeeds.
func post(ts *testscript.TestScript, method, address, path, body string) {
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	ts.Check(err)
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	_ = resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		ts.Fatalf("%s %s: %s", method, path, resp.Status)
	}
}
