package scripter_test

import (
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// flood is a group of callers that send requests back to back until stop is closed.
type flood struct {
	stop    chan struct{}
	callers sync.WaitGroup

	mu       sync.Mutex
	outcomes map[string]int // number of calls by outcome
}

// cmdFlood implements `flood NAME HOST METHOD PATH [HEADER=VALUE...] [BODY]`: starts eight
// callers that repeat the call until `ebb`. It returns when each has received an answer.
func cmdFlood(ts *testscript.TestScript, _ bool, args []string) {
	env := environmentOf(ts)
	f := &flood{stop: make(chan struct{}), outcomes: map[string]int{}}
	env.floods[args[0]] = f
	var answered sync.WaitGroup
	for range 8 {
		answered.Add(1)
		f.callers.Go(func() { f.run(env, ts, args, answered.Done) })
	}
	answered.Wait()
}

// run repeats the call until stop is closed, and calls answered after the first.
func (f *flood) run(env *environment, ts *testscript.TestScript, args []string, answered func()) {
	markAnswered := sync.OnceFunc(answered)
	defer markAnswered()
	for {
		c, req := env.newCall(ts, args)
		c.send(req)
		c.cancel()
		f.mu.Lock()
		f.outcomes[c.outcome()]++
		f.mu.Unlock()
		markAnswered()
		select {
		case <-f.stop:
			return
		default:
		}
	}
}

// cmdEbb implements `ebb NAME`: stops a flood and checks that each of its calls was
// answered whole.
func cmdEbb(ts *testscript.TestScript, _ bool, args []string) {
	f := environmentOf(ts).floods[args[0]]
	close(f.stop)
	f.callers.Wait()
	ts.Logf("flood %s: %v", args[0], f.outcomes)
	if len(f.outcomes) != 1 || f.outcomes["whole"] == 0 {
		ts.Fatalf("flood %s: %v", args[0], f.outcomes)
	}
}
