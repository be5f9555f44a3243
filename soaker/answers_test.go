package soaker_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cicadawood/cicadawood/faker"
)

const (
	halfCloseShare = 6                // one of so many streams is sent by a caller that half-closes
	untilNext      = 10 * time.Second // longer than a connection waits for its next request
	maxEntryDelay  = 350              // ms, from when a worker listens until its entry is written
)

// answerFaults returns how the n-th worker of a release with mixed answers frames its streams, and what follows them.
func (r *release) answerFaults(n int) faker.WorkerFaults {
	random := rand.New(rand.NewPCG(r.seed, uint64(3000+n)))
	second := faker.SecondAnswer{
		Request: []faker.SecondRequest{faker.SecondOfSame, faker.SecondOfOther}[random.IntN(2)],
		Sized:   random.IntN(2) == 0,
		Delay:   []time.Duration{0, randomDuration(random, 1, 30), untilNext}[random.IntN(3)],
	}
	switch {
	case !r.mixedAnswers || n%3 == 0:
		return faker.WorkerFaults{}
	case n%3 == 1:
		return faker.WorkerFaults{Unframed: true}
	case r.cutAnswers && random.IntN(2) == 0:
		second.CutAfterByte = 1 + random.IntN(1000)
	}
	return faker.WorkerFaults{Second: second}
}

// restartsInPlace are restarts of a worker in place, at a version that may be the first of its kind, whose entry is
// written late though the store is up.
var restartsInPlace = []func(r *release, random *rand.Rand){
	func(r *release, random *rand.Rand) { r.restartLate(random, r.anyEngine(random)) },
	func(r *release, random *rand.Rand) { // while a host stands still
		h := r.anyHost(random)
		h.processMu.Lock()
		defer h.processMu.Unlock()
		h.signal(syscall.SIGSTOP)
		r.restartLate(random, r.anyEngine(random))
		time.Sleep(randomDuration(random, 0, 300))
		h.signal(syscall.SIGCONT)
	},
	func(r *release, random *rand.Rand) { // while the worker's link holds bytes back
		x := r.anyEngine(random)
		x.link.Set(faker.Unreachable, 0)
		time.Sleep(randomDuration(random, 0, 50))
		r.restartLate(random, x)
		time.Sleep(randomDuration(random, 0, 300))
		x.link.Set(faker.Pass, 0)
	},
}

func (r *release) anyEngine(random *rand.Rand) *worker {
	list := r.engines()
	return list[random.IntN(len(list))]
}

func (r *release) restartLate(random *rand.Rand, x *worker) {
	r.restartInPlace(x, fmt.Sprint("v", r.version+random.IntN(2)), randomDuration(random, 0, maxEntryDelay))
}

// restartSome restarts one worker in place or two.
func (r *release) restartSome(random *rand.Rand) {
	var restarts sync.WaitGroup
	for range 1 + random.IntN(2) {
		restart, seed := restartsInPlace[random.IntN(len(restartsInPlace))], random.Uint64()
		restarts.Go(func() { restart(r, rand.New(rand.NewPCG(seed, 8))) })
		time.Sleep(randomDuration(random, 0, 200))
	}
	restarts.Wait()
}

// halfClosing is the client of callers that close their side of the connection once the request is sent.
var halfClosing = &http.Client{Transport: &http.Transport{
	DisableKeepAlives: true,
	DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		if tcp, ok := conn.(*net.TCPConn); ok {
			return halfClosingConn{tcp}, err
		}
		return conn, err
	},
}}

// halfClosingConn closes its side after the first write, which has the whole of a short request.
type halfClosingConn struct{ *net.TCPConn }

// Write implements net.Conn.
func (c halfClosingConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if err == nil {
		err = c.CloseWrite()
	}
	return n, err
}

// client returns the client that the caller of a stream uses.
func (x *releaseStream) client() *http.Client {
	if x.halfCloses {
		return halfClosing
	}
	return http.DefaultClient
}
