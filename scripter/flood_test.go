package scripter_test

import (
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// flood is callers that ask again as soon as they are answered, until told to stop.
type flood struct {
	stop    chan struct{}
	callers sync.WaitGroup

	mu       sync.Mutex
	outcomes map[string]int
}

// cmdFlood is `flood NAME HOST METHOD PATH [HEADER=VALUE...] [BODY]`: eight callers
// that go on and on. It returns when each of them has had an answer.
func cmdFlood(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	f := &flood{stop: make(chan struct{}), outcomes: map[string]int{}}
	w.floods[args[0]] = f
	var begun sync.WaitGroup
	for range 8 {
		begun.Add(1)
		f.callers.Go(func() { f.run(w, ts, args, begun.Done) })
	}
	begun.Wait()
}

func (f *flood) run(w *world, ts *testscript.TestScript, args []string, begun func()) {
	begin := sync.OnceFunc(begun)
	defer begin()
	for {
		c, req := w.newCall(ts, args)
		c.run(req)
		c.cancel()
		f.mu.Lock()
		f.outcomes[c.outcome()]++
		f.mu.Unlock()
		begin()
		select {
		case <-f.stop:
			return
		default:
		}
	}
}

// cmdEbb is `ebb NAME`: ends a flood, of which each call must have come whole.
func cmdEbb(ts *testscript.TestScript, _ bool, args []string) {
	f := worldOf(ts).floods[args[0]]
	close(f.stop)
	f.callers.Wait()
	ts.Logf("flood %s: %v", args[0], f.outcomes)
	if len(f.outcomes) != 1 || f.outcomes["whole"] == 0 {
		ts.Fatalf("flood %s: %v", args[0], f.outcomes)
	}
}
