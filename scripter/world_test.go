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

// patience bounds every wait for an event. It decides only how long a broken
// system takes to fail a scenario.
const patience = 40 * time.Second

// worldKey is where a script keeps its world.
type worldKey struct{}

// worlds numbers the scripts of this run; each gets loopback addresses of its own.
var worlds atomic.Int32

// world is the processes, addresses and calls of one script.
type world struct {
	ip    string
	dir   string
	ports int

	processes map[string]*process
	addresses map[string]string // by name, as $NAME in the files of a script
	calls     map[string]*call
	floods    map[string]*flood
}

// process is one real process of a script.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
	err     error
}

func newWorld(dir string) *world {
	pid := os.Getpid()
	return &world{
		ip:        fmt.Sprintf("127.%d.%d.%d", 100+pid/250%100, 1+pid%250, 1+worlds.Add(1)%250),
		dir:       dir,
		processes: map[string]*process{},
		addresses: map[string]string{},
		calls:     map[string]*call{},
		floods:    map[string]*flood{},
	}
}

func worldOf(ts *testscript.TestScript) *world { return ts.Value(worldKey{}).(*world) }

// address is a new address of this script.
func (w *world) address() string {
	w.ports++
	return fmt.Sprintf("%s:%d", w.ip, 20000+w.ports)
}

// expand fills $NAME in a text with the address of that name.
func (w *world) expand(text string) string {
	return os.Expand(text, func(name string) string {
		if a, ok := w.addresses[name]; ok {
			return a
		}
		return "$" + name
	})
}

// run starts a process; its output goes to NAME.log in the script's folder.
func (w *world) run(ts *testscript.TestScript, name, program string, args ...string) {
	path, err := exec.LookPath(filepath.Join(ts.Getenv("BIN"), program))
	ts.Check(err)
	log, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	c := exec.Command(path, args...)
	c.Stdout, c.Stderr = log, log
	c.Env = append(os.Environ(), "GOMAXPROCS=2")
	ts.Check(c.Start())
	p := &process{command: c, ended: make(chan struct{})}
	go func() {
		p.err = c.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	w.processes[name] = p
}

func (w *world) signal(ts *testscript.TestScript, name string, s syscall.Signal) *process {
	p := w.processes[name]
	if p == nil {
		ts.Fatalf("no process %q", name)
	}
	ts.Check(p.command.Process.Signal(s))
	return p
}

// close ends every process that still runs.
func (w *world) close() {
	for _, p := range w.processes {
		select {
		case <-p.ended:
		default:
			_ = p.command.Process.Kill()
			<-p.ended
		}
	}
}

// eventually waits until check holds; its last complaint fails the script.
func eventually(ts *testscript.TestScript, check func() error) {
	deadline := time.Now().Add(patience)
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
