package scripter_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// waitTimeout bounds every wait for an event. It affects only how long a broken system
// takes to fail a scenario.
const waitTimeout = 40 * time.Second

// environmentKey is the key of the environment among a script's values.
type environmentKey struct{}

// environmentCount counts the scripts of this test run, to give each a loopback address of
// its own.
var environmentCount atomic.Int32

// environment holds the processes, addresses and calls of one script.
type environment struct {
	ip       string
	dir      string
	lastPort int

	processes map[string]*process
	addresses map[string]string // by name; expanded from $NAME in the files of a script
	calls     map[string]*call
	floods    map[string]*flood
}

// process is a process that a script started.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
	err    error // set before exited is closed
}

// newEnvironment returns an empty environment. Its IP address depends on the process ID and
// the script, so that scripts that run in parallel don't collide.
func newEnvironment(dir string) *environment {
	pid := os.Getpid()
	return &environment{
		ip:        fmt.Sprintf("127.%d.%d.%d", 100+pid/250%100, 1+pid%250, 1+environmentCount.Add(1)%250),
		dir:       dir,
		processes: map[string]*process{},
		addresses: map[string]string{},
		calls:     map[string]*call{},
		floods:    map[string]*flood{},
	}
}

func environmentOf(ts *testscript.TestScript) *environment {
	return ts.Value(environmentKey{}).(*environment)
}

// newAddress returns an unused address of this script.
func (e *environment) newAddress() string {
	e.lastPort++
	return fmt.Sprintf("%s:%d", e.ip, 20000+e.lastPort)
}

// expand replaces each $NAME in a text by the address of that name, if there is one.
func (e *environment) expand(text string) string {
	return os.Expand(text, func(name string) string {
		if a, ok := e.addresses[name]; ok {
			return a
		}
		return "$" + name
	})
}

// startProcess starts a program of the bin folder as process name. Its output is appended
// to NAME.log in the script's folder.
func (e *environment) startProcess(ts *testscript.TestScript, name, program string, args ...string) {
	path, err := exec.LookPath(filepath.Join(ts.Getenv("BIN"), program))
	ts.Check(err)
	log, err := os.OpenFile(filepath.Join(e.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	c := exec.Command(path, args...)
	c.Stdout, c.Stderr = log, log
	c.Env = append(os.Environ(), "GOMAXPROCS=2")
	ts.Check(c.Start())
	p := &process{cmd: c, exited: make(chan struct{})}
	go func() {
		p.err = c.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	e.processes[name] = p
}

// signal sends a signal to the process of that name.
func (e *environment) signal(ts *testscript.TestScript, name string, s syscall.Signal) *process {
	p := e.processes[name]
	if p == nil {
		ts.Fatalf("no process %q", name)
	}
	ts.Check(p.cmd.Process.Signal(s))
	return p
}

// close kills every process that still runs, and waits for its exit.
func (e *environment) close() {
	for _, p := range e.processes {
		select {
		case <-p.exited:
		default:
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}
}

// eventually waits until check returns nil. If it does not within waitTimeout, its last
// error fails the script.
func eventually(ts *testscript.TestScript, check func() error) {
	deadline := time.Now().Add(waitTimeout)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%v", err)
		}
		<-tick.C
	}
}
