package commander_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/commander"
	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/loader"
)

const pages = "../docs/commands"

// run runs one command line and returns its output, error output and exit code.
func run(stdin string, args ...string) (string, string, int) {
	var stdout, stderr bytes.Buffer
	code := commander.Main(args, strings.NewReader(stdin), &stdout, &stderr)
	return stdout.String(), stderr.String(), code
}

// addresses returns n addresses on a loopback IP of this process's own. On 127.0.0.1, a
// port that was free may meanwhile be the source port of another connection.
func addresses(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("127.%d.%d.251:%d", 100+os.Getpid()/250%100, 1+os.Getpid()%250, 20001+i))
	}
	return list
}

// example is a command on a page, with the output that the page shows for it.
type example struct {
	stdin string
	args  []string
	want  string
}

var prompt = regexp.MustCompile(`^\$ (?:printf (\S+) \| )?cicadawood (.*)$`)

// examplesIn returns the examples in a page's console blocks.
func examplesIn(page string) []example {
	var list []example
	inside := false
	for line := range strings.Lines(page) {
		line = strings.TrimRight(line, "\n")
		m := prompt.FindStringSubmatch(line)
		switch {
		case strings.HasPrefix(line, "```"):
			inside = line == "```console"
		case inside && m != nil:
			list = append(list, example{stdin: m[1], args: strings.Fields(m[2])})
		case inside:
			list[len(list)-1].want += line + "\n"
		}
	}
	return list
}

var (
	digits = regexp.MustCompile(`\d+`)
	blanks = regexp.MustCompile(`[ \t]+`)
)

// normalize replaces the numbers and widths in an output that differ from run to run.
func normalize(s string) string {
	s = digits.ReplaceAllString(s, "N")
	return strings.ReplaceAll(blanks.ReplaceAllString(s, " "), " \n", "\n")
}

// settingsExample returns the indented settings file of the page on serve.
func settingsExample(page string) string {
	text := ""
	for line := range strings.Lines(page) {
		if strings.HasPrefix(line, "    ") {
			text += line
		}
	}
	return text
}

// flatten names the fields of nested objects with dots and converts numbers to integers.
func flatten(prefix string, fields map[string]any) map[string]any {
	out := map[string]any{}
	for name, v := range fields {
		switch v := v.(type) {
		case map[string]any:
			maps.Copy(out, flatten(prefix+name+".", v))
		case float64:
			out[prefix+name] = int64(v)
		default:
			out[prefix+name] = v
		}
	}
	return out
}

var _ = Describe("The pages of the commands", func() {
	It("exist for each command, and no others", func() {
		out, _, code := run("", "--help")
		Expect(code).To(Equal(commander.ExitOK))
		for _, m := range regexp.MustCompile(`(?m)^  ([a-z]+)  +[A-Z]`).FindAllStringSubmatch(out, -1) {
			if m[1] != "help" {
				Expect(filepath.Join(pages, m[1]+".md")).To(BeARegularFile())
			}
		}
		files, err := filepath.Glob(filepath.Join(pages, "[a-z]*.md"))
		Expect(err).NotTo(HaveOccurred())
		for _, f := range files {
			Expect(out).To(ContainSubstring("\n  " + strings.TrimSuffix(filepath.Base(f), ".md") + " "))
		}
	})

	It("name every limit of a host's settings and its default", func() {
		page, err := os.ReadFile(filepath.Join(pages, "serve.md"))
		Expect(err).NotTo(HaveOccurred())
		h, err := loader.ParseHost("host.jsonc", []byte(`{"name": "h", "zone": "z", "platform": "http://127.0.0.1:1",
			"listen": "127.0.0.1:2", "control": "127.0.0.1:3", "admin": "127.0.0.1:4"}`))
		Expect(err).NotTo(HaveOccurred())
		text, err := json.Marshal(h.Limits)
		Expect(err).NotTo(HaveOccurred())
		var defaults map[string]any
		Expect(json.Unmarshal(text, &defaults)).To(Succeed())
		for name, v := range flatten("", defaults) {
			Expect(string(page)).To(ContainSubstring(fmt.Sprintf("\n| `%s` | %v | ", name, v)))
		}
	})

	It("show commands that run as shown", func() {
		read := func(name string) string {
			text, err := os.ReadFile(filepath.Join(pages, name+".md"))
			Expect(err).NotTo(HaveOccurred())
			return string(text)
		}
		platform := httptest.NewServer(faker.NewPlatform().Handler())
		DeferCleanup(platform.CloseClientConnections)
		DeferCleanup(platform.Close)
		listen := addresses(3)
		replacer := strings.NewReplacer("http://127.0.0.1:17000", platform.URL, "127.0.0.1:18011", listen[0], "127.0.0.1:18021", listen[1], "127.0.0.1:18031", listen[2])
		scripts := map[string][]example{}
		order := []string{"serve", "check", "push", "pull", "diff", "key", "status", "../../README", "dump", "drain", "version", "completion"}
		for _, name := range order {
			scripts[name] = examplesIn(read(name))
			Expect(scripts[name]).NotTo(BeEmpty(), name)
		}
		root := GinkgoT().TempDir()
		Expect(os.CopyFS(filepath.Join(root, "examples"), os.DirFS("../examples"))).To(Succeed())
		Expect(os.WriteFile(filepath.Join(root, "host-1.jsonc"), []byte(replacer.Replace(settingsExample(read("serve")))), 0o600)).To(Succeed())
		GinkgoT().Chdir(root)
		GinkgoT().Setenv("CICADAWOOD_PLATFORM", platform.URL)

		ended := make(chan int, 1)
		for _, name := range order {
			for _, s := range scripts[name] {
				for i, a := range s.args {
					s.args[i] = replacer.Replace(a)
				}
				if s.args[len(s.args)-1] == "&" {
					go func() {
						_, stderr, code := run("", s.args[:len(s.args)-1]...)
						fmt.Fprintf(GinkgoWriter, "%v ended with %d: %s\n", s.args, code, stderr)
						ended <- code
					}()
					continue
				}
				if name == "status" {
					awaitReady()
				}
				out, stderr, _ := run(s.stdin, s.args...)
				want, _, cut := strings.Cut(s.want, "...\n")
				if cut {
					Expect(normalize(out)).To(HavePrefix(normalize(want)), "%v: %s", s.args, stderr)
				} else {
					Expect(normalize(out)).To(Equal(normalize(want)), "%v: %s", s.args, stderr)
				}
			}
		}
		Eventually(ended, 10*time.Second).Should(Receive(Equal(commander.ExitOK)))
	})
})

// awaitReady waits until the only host is ready with the head in force.
func awaitReady() {
	Eventually(func() string {
		out, _, _ := run("", "status")
		return out
	}, 10*time.Second, 20*time.Millisecond).Should(And(ContainSubstring(" ready "), Not(ContainSubstring("behind"))))
}
