// Command standin2 plays the cases of the second review. It starts hosts as separate processes, with
// the command and the template of the deploy file, and stands in for the systems around them: the
// platform's store, workers and callers, all on loopback addresses.
//
// It writes to a record what was sent, answered and run. Its exit code is 0 if the rule held, 1 if it
// was broken, and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// errBroken means that the rule of a case was broken.
var errBroken = errors.New("the rule is broken")

// cases has the cases by name.
var cases = map[string]func(*system, bool) error{
	"smuggled": playSmuggled,
}

func main() {
	name := flag.String("case", "", "case to play: smuggled")
	trouble := flag.Bool("trouble", true, "whether to cause the disruption")
	root := flag.String("root", ".", "root of the repository")
	recordFile := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *trouble, *root, *recordFile))
}

// run plays a case, and returns the exit code.
func run(name string, trouble bool, root, recordFile string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitCannotRun
	}
	r, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer r.close()
	absolute, err := filepath.Abs(root)
	if err != nil {
		r.note("cannot run: %v", err)
		return exitCannotRun
	}
	s, err := newSystem(absolute, r)
	if err != nil {
		r.note("cannot run: %v", err)
		return exitCannotRun
	}
	defer s.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	played := make(chan error, 1)
	go func() { played <- play(s, trouble) }()
	select {
	case err = <-played:
	case <-interrupted:
		err = errors.New("interrupted")
	}
	switch {
	case err == nil:
		r.note("verdict: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.note("verdict: %v", err)
		return exitBroken
	}
	r.note("cannot run: %v", err)
	return exitCannotRun
}
