package soaker_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/cicadawood/cicadawood/platform"
)

// callers is how many requests are under way at once.
const callers = 12

// try is one request and what its caller got.
type try struct {
	id, route, key string
	host           *host
	begun          time.Time
	bound          bool // its host had been left alone
	status         int
	body           string
	err            error // no answer, or one that did not come whole
}

// callAll sends requests to hosts that say that they are ready, until it is stopped.
func (w *world) callAll() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	for _, h := range w.hosts {
		tasks.Go(func() {
			for ctx.Err() == nil {
				h.asked()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for i := range callers {
		r := rand.New(rand.NewPCG(w.seed, uint64(100+i)))
		tasks.Go(func() {
			defer GinkgoRecover()
			for n := 0; ctx.Err() == nil; n++ {
				if h := w.hosts[r.IntN(*hosts)]; h.isOpen() {
					w.note(w.call(h, r, fmt.Sprintf("t-%d-%d", i, n)))
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		tasks.Wait()
	}
}

func (w *world) note(t try) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tries = append(w.tries, t)
}

// call sends one request of any kind, with any key that there ever was.
func (w *world) call(h *host, r *rand.Rand, id string) try {
	w.mu.Lock()
	key := w.keys[r.IntN(len(w.keys))]
	for old := range w.revoked {
		if r.IntN(20) == 0 {
			key = old
		}
	}
	w.mu.Unlock()
	route := []string{"chat", "plan", "hold", "quote"}[r.IntN(4)]
	return send(h, id, route, key, id, "")
}

// send sends a request for a thing under an id.
func send(h *host, id, route, key, thing, body string) try {
	t := try{id: id, route: route, key: key, host: h, begun: time.Now(), bound: h.calm(time.Now().Add(-touch))}
	method := http.MethodPost
	if route == "quote" {
		method = http.MethodGet
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, h.url+"/"+route+"/"+thing, strings.NewReader(body))
	if err != nil {
		t.err = err
		return t
	}
	req.Host = "desk.example"
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, "3000")
	req.Header.Set("Authorization", "Token "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.err = err
		return t
	}
	defer resp.Body.Close()
	t.status = resp.StatusCode
	text, err := io.ReadAll(resp.Body)
	t.body, t.err = string(text), err
	return t
}
