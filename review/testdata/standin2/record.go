package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes the lines of a case, each with the time since its start, to a file.
type record struct {
	startedAt time.Time
	mu        sync.Mutex
	file      *os.File
	out       *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{startedAt: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// write adds a line.
func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%7.3f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// note adds a line and prints it.
func (r *record) note(format string, args ...any) {
	r.write(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
