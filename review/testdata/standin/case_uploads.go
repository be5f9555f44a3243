package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["uploads"] = uploads }

// uplink is a body that a client sends at the speed of its link.
type uplink struct {
	left  int
	speed float64 // bytes a second
	begun time.Time
	sent  int
}

const uplinkPiece = 32 << 10

func (u *uplink) Read(b []byte) (int, error) {
	if u.begun.IsZero() {
		u.begun = time.Now()
	}
	if u.left == 0 {
		return 0, io.EOF
	}
	due := u.begun.Add(time.Duration(float64(u.sent) / u.speed * float64(time.Second)))
	time.Sleep(time.Until(due))
	n := min(len(b), u.left, uplinkPiece)
	for i := range b[:n] {
		b[i] = 'p'
	}
	u.left -= n
	u.sent += n
	return n, nil
}

// residentKB returns the resident memory of a process in KiB, without pages of files such as the
// program itself.
func residentKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	n := 0
	if _, after, ok := strings.Cut(string(text), "RssAnon:"); ok {
		_, _ = fmt.Sscan(after, &n)
	}
	return n
}

// uploads sends a burst of requests with bodies of nearly the size that the configuration allows,
// and ends, as the platform does, a process that takes more memory than its machine has.
func uploads(w *fleet, o options) int {
	const (
		hosts    = 2
		perHost  = 11.0            // requests with a long body a second, in usual times
		burst    = 2.3             // times that
		burstFor = 9 * time.Second // for_s
		bodySize = 4_190_000       // maxBodyBytes is 4,194,304
		speed    = 1.5e6           // of a client's link, bytes a second: 2.7 s a body
	)
	w.configure(wodnikConfiguration())
	var mu sync.Mutex
	runs := map[string]bool{}
	lines := func(_, line string) {
		if id, ok := strings.CutPrefix(line, "run "); ok {
			mu.Lock()
			runs[id] = true
			mu.Unlock()
		}
	}
	for i := range 12 {
		if _, err := w.startWorker(lmService, wodnik.zones[i%4], 96, lines, "-event", "25ms", "-read", "41.4"); err != nil {
			return w.fail(err)
		}
	}
	for i := range 4 {
		if _, err := w.startWorker(appService, wodnik.zones[i%4], 6, lines, "-work", "60ms"); err != nil {
			return w.fail(err)
		}
	}
	if err := w.startHosts(hosts, wodnik); err != nil {
		return w.fail(err)
	}
	done := make(chan struct{})
	defer close(done)
	go w.balance(done)

	memory := w.watchMemory(done)
	time.Sleep(2 * time.Second)
	var tasks sync.WaitGroup
	lost, unfinished := 0, 0
	answers := map[string]int{}
	note := func(kind string, a *attempt) {
		mu.Lock()
		defer mu.Unlock()
		key := fmt.Sprintf("%s %d", kind, a.status)
		if a.err != nil {
			key += " closed"
		}
		answers[key]++
		if a.err != nil && runs[a.id] {
			unfinished++
		}
		if a.err != nil && a.status == 0 && a.kept && runs[a.id] {
			lost++
			w.record.add("LOST: %s (%s) ran at a worker, and %s closed its connection: %v", a.id, kind, a.host, a.err)
		}
	}
	var turn atomic.Int64
	long := func() {
		size := bodySize
		a := w.call(w.hosts[int(turn.Add(1))%hosts], "POST", "/lohu930/2f", 6*time.Second, &uplink{left: size, speed: speed * (0.95 + 0.1*rand.Float64())}, map[string]string{
			"Model": "m", "Token-Usage": "9190,160", "Prompt-Prefix": "5c1e07a2:2520,91bd3f06:3780",
		})
		note("trip-plan", a)
	}
	load := func(rate float64, d time.Duration, call func()) {
		tasks.Go(func() {
			var calls sync.WaitGroup
			every(rate, d, func() {
				calls.Add(1)
				defer calls.Done()
				call()
			})
			calls.Wait()
		})
	}
	load(perHost*hosts, 22*time.Second, long)
	hold := func() {
		note("seat-hold", w.call(w.pick(), "POST", "/pule252/2f", 3*time.Second, strings.NewReader(strings.Repeat("p", 600)), nil))
	}
	load(22, 24*time.Second, hold)
	time.Sleep(8 * time.Second)
	if o.trouble {
		w.record.add("driver: burst, %v times the trip-plans for %v", burst, burstFor)
		load(perHost*hosts*(burst-1), burstFor, long)
	}
	tasks.Wait()
	return w.verdict(max(lost-3, 0), "%d processes killed for memory (peaks %v KiB); of the requests that ran at a worker %d were not answered to the end, %d of them got no answer at all on a kept connection; answers: %v", memory.killed.Load(), memory.peaks(), unfinished, lost, answers)
}

// memoryWatch ends, as the platform does, processes that take more memory than their machine has.
type memoryWatch struct {
	killed atomic.Int64

	mu   sync.Mutex
	peak []int // KiB, by host
}

func (m *memoryWatch) peaks() []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.peak)
}

// watchMemory looks at the memory of each host until done is closed. A process that it ends is
// started again after a short delay.
func (w *fleet) watchMemory(done <-chan struct{}) *memoryWatch {
	m := &memoryWatch{peak: make([]int, len(w.hosts))}
	for i, h := range w.hosts {
		go func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(10 * time.Millisecond):
				}
				n := residentKB(h.cmd.Process.Pid)
				m.mu.Lock()
				m.peak[i] = max(m.peak[i], n)
				m.mu.Unlock()
				if n <= wodnik.memoryMB<<10 {
					continue
				}
				m.killed.Add(1)
				w.record.add("driver: %s takes %d KiB, more than memoryMb = %d: killed", h.name, n, wodnik.memoryMB)
				name := h.name
				_ = h.cmd.Process.Signal(syscall.SIGKILL)
				<-h.done
				time.Sleep(500 * time.Millisecond)
				if err := w.startHost(h, name); err != nil {
					return
				}
			}
		}()
	}
	return m
}
