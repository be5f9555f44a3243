package main_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// report is a ginkgo report of a suite with a failed spec.
const report = `[{"SuitePath": "/src/platform", "SuiteSucceeded": false, "SpecReports": [
	{"ContainerHierarchyTexts": ["Many hosts"], "LeafNodeType": "It", "LeafNodeText": "hear of it", "State": "failed"}]}]`

// Guards against passing over a failed spec whose package and text are not listed letter
// for letter.
func TestKnownReds(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	bin := filepath.Join(dir, "matrix")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	scenarios := filepath.Join(dir, "scenarios")
	if err := os.Mkdir(scenarios, 0o700); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, known, report string
		pass                bool
	}{
		{"listed", `test: go test ./platform, "Many hosts hear of it" | any seed`, report, true},
		{"another text", `test: go test ./platform, "Many hosts hear" | any seed`, report, false},
		{"another package", `test: go test ./form, "Many hosts hear of it" | any seed`, report, false},
		{"no list", "", report, false},
		{"the suite itself", `test: go test ./platform, "Many hosts hear of it"`, `[{"SuitePath": "/src/platform", "SuiteSucceeded": false}]`, false},
		{"none", "", `[{"SuitePath": "/src/platform", "SuiteSucceeded": true}]`, true},
	} {
		out, err := exec.Command(bin, write("known", c.known), scenarios, write("log", ""), write("report.json", c.report)).CombinedOutput()
		if (err == nil) != c.pass {
			t.Errorf("%s: %v: %s", c.name, err, out)
		}
		if c.name == "listed" && !strings.Contains(string(out), "known red, passed over: Many hosts hear of it") {
			t.Errorf("it is not printed: %s", out)
		}
	}
}
