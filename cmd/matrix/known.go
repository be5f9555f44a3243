package main

import (
	"bufio"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

// knownFailure is a spec that is known to fail: its package's folder and its full text.
type knownFailure struct{ dir, text string }

// knownPattern matches the start of an entry that names a spec.
var knownPattern = regexp.MustCompile(`^test: go test \./(\S+), "([^"]+)"`)

// readKnown reads the specs that a file names; a file that does not exist names none.
// Entries for other kinds of tests are ignored.
func readKnown(path string) ([]knownFailure, error) {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read known failures: %w", err)
	}
	defer f.Close()
	var known []knownFailure
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		if e := knownPattern.FindStringSubmatch(lines.Text()); e != nil {
			known = append(known, knownFailure{e[1], e[2]})
		}
	}
	return known, lines.Err()
}

// isKnown reports whether known has an entry with the suite's folder and exactly the text.
func isKnown(known []knownFailure, suite, text string) bool {
	for _, k := range known {
		if k.text == text && strings.HasSuffix(filepath.ToSlash(suite), "/"+k.dir) {
			return true
		}
	}
	return false
}
