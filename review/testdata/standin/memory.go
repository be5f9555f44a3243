package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

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
				if err := w.restartHost(h, name); err != nil {
					return
				}
			}
		}()
	}
	return m
}
