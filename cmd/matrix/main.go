// Command matrix prints the fault matrix from the reports of the test runs: which cells
// and pairs are proved, which are not, and which can't occur.
//
// Usage: matrix KNOWN SCENARIOS-DIR SCENARIOS-LOG REPORT.json...
//
// SCENARIOS-LOG is the output of `go test -v` on the scenarios; the reports are ginkgo's.
// The exit status is 1 if a spec or a scenario failed. Cells that are not proved are
// listed and do not affect the exit status. A failed spec that KNOWN names is printed and
// passed over; KNOWN need not exist.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/onsi/ginkgo/v2/types"

	"github.com/cicadawood/cicadawood/prover"
)

func main() {
	if len(os.Args) < 4 {
		fmt.Fprintln(os.Stderr, "usage: matrix KNOWN SCENARIOS-DIR SCENARIOS-LOG REPORT.json...")
		os.Exit(2)
	}
	known, err := readKnown(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "matrix: "+err.Error())
		os.Exit(1)
	}
	m := matrix{proved: map[string]int{}, known: known}
	if err := m.read(os.Args[2], os.Args[3], os.Args[4:]); err != nil {
		fmt.Fprintln(os.Stderr, "matrix: "+err.Error())
		os.Exit(1)
	}
	m.print()
	if m.failed > 0 {
		os.Exit(1)
	}
}

// matrix collects what the reports prove.
type matrix struct {
	proved     map[string]int // number of passed specs and scenarios, by label
	scenarios  int
	failed     int
	failures   []string
	known      []knownFailure
	passedOver []string // failed specs that KNOWN names
}

func (m *matrix) read(dir, log string, reports []string) error {
	for _, r := range reports {
		if err := m.addReport(r); err != nil {
			return err
		}
	}
	return m.readScenarios(dir, log)
}

// addReport adds one ginkgo report.
func (m *matrix) addReport(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var suites []types.Report
	if err := json.Unmarshal(text, &suites); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	for _, s := range suites {
		before := len(m.failures) + len(m.passedOver)
		for _, spec := range s.SpecReports {
			m.addSpec(s.SuitePath, spec)
		}
		if !s.SuiteSucceeded && len(m.failures)+len(m.passedOver) == before {
			m.failed++
			m.failures = append(m.failures, "suite "+s.SuitePath)
		}
	}
	return nil
}

func (m *matrix) addSpec(suite string, s types.SpecReport) {
	switch {
	case s.State.Is(types.SpecStateFailureStates) && isKnown(m.known, suite, s.FullText()):
		m.passedOver = append(m.passedOver, s.FullText())
	case s.State.Is(types.SpecStateFailureStates):
		m.failed++
		m.failures = append(m.failures, s.FullText())
	case s.State == types.SpecStatePassed:
		for _, l := range s.Labels() {
			m.proved[l]++
		}
	}
}

var (
	verdictPattern = regexp.MustCompile(`^\s*--- (PASS|FAIL): TestScenarios/([^/ ]+)/([^/ ]+) `)
	cellsPattern   = regexp.MustCompile(`(?m)^# cells: (.*)$`)
)

// readScenarios reads the verdicts of `go test -v` and the cells that each passed scenario
// names in its head.
func (m *matrix) readScenarios(dir, log string) error {
	f, err := os.Open(log)
	if err != nil {
		return err
	}
	defer f.Close()
	seen := map[string]bool{}
	for lines := bufio.NewScanner(f); lines.Scan(); {
		v := verdictPattern.FindStringSubmatch(lines.Text())
		if v == nil {
			continue
		}
		name := v[2] + "/" + v[3]
		seen[name] = true
		m.scenarios++
		if v[1] == "FAIL" {
			m.failed++
			m.failures = append(m.failures, "scenario "+name)
			continue
		}
		if err := m.addCells(filepath.Join(dir, name+".txtar")); err != nil {
			return err
		}
	}
	return m.addMissing(dir, seen)
}

// addMissing counts a scenario without a verdict as failed.
func (m *matrix) addMissing(dir string, seen map[string]bool) error {
	return filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".txtar") {
			return err
		}
		name, err := filepath.Rel(dir, strings.TrimSuffix(path, ".txtar"))
		if err == nil && !seen[name] {
			m.failed++
			m.failures = append(m.failures, "scenario "+name+" has no verdict")
		}
		return err
	})
}

func (m *matrix) addCells(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	for _, line := range cellsPattern.FindAllStringSubmatch(string(text), -1) {
		for _, c := range strings.Fields(line[1]) {
			step, fault, _ := strings.Cut(c, "/")
			m.proved[prover.Cell(prover.Step(step), prover.Fault(fault))]++
		}
	}
	return nil
}

func (m *matrix) print() {
	m.printTable()
	cells := prover.Cells()
	var unproved []string
	for _, c := range cells {
		if m.proved[c] == 0 {
			unproved = append(unproved, strings.TrimPrefix(c, "cell:"))
		}
	}
	pairs := 0
	for l := range m.proved {
		if prover.IsPair(l) {
			pairs++
		}
	}
	m.printContradictions(cells)
	fmt.Printf("not proved: %s\n", strings.Join(unproved, " "))
	for _, f := range m.passedOver {
		fmt.Println("known red, passed over: " + f)
	}
	for _, f := range m.failures {
		fmt.Println("failed: " + f)
	}
	fmt.Printf("matrix: steps=%d faults=%d cells=%d pairs=%d scenarios=%d failed=%d unproved=%d\n",
		len(prover.Steps()), len(prover.Faults()), len(cells), pairs, m.scenarios, m.failed, len(unproved))
}

// printTable prints the number of proofs in each cell; - marks a cell that can't occur.
func (m *matrix) printTable() {
	fmt.Printf("%-10s", "")
	for _, f := range prover.Faults() {
		fmt.Printf("%10s", f)
	}
	fmt.Println()
	for _, s := range prover.Steps() {
		fmt.Printf("%-10s", s)
		for _, f := range prover.Faults() {
			cell := "-"
			if prover.ImpossibleReason(s, f) == "" {
				cell = fmt.Sprint(m.proved[prover.Cell(s, f)])
			}
			fmt.Printf("%10s", cell)
		}
		fmt.Println()
	}
	fmt.Println("cells marked - can't occur:")
	for _, f := range prover.Faults() {
		for _, s := range prover.Steps() {
			if reason := prover.ImpossibleReason(s, f); reason != "" {
				fmt.Printf("  %s: %s\n", f, reason)
				break
			}
		}
	}
}

// printContradictions prints the labels of proved cells that are declared impossible:
// either the label or the table is wrong.
func (m *matrix) printContradictions(cells []string) {
	for _, l := range slices.Sorted(maps.Keys(m.proved)) {
		if prover.IsCell(l) && !slices.Contains(cells, l) {
			fmt.Printf("proved, but declared impossible: %s\n", l)
		}
	}
}
