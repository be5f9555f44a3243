package scripter_test

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdPage implements `page FILE HOST`: runs the curl commands shown in a page against a
// host and compares the output with the one shown. "..." in the page matches anything;
// numbers and request IDs are not compared, as they differ between runs.
func cmdPage(ts *testscript.TestScript, _ bool, args []string) {
	text, err := os.ReadFile(args[0])
	ts.Check(err)
	examples := parseExamples(string(text))
	if len(examples) == 0 {
		ts.Fatalf("%s contains no curl command", args[0])
	}
	for _, e := range examples {
		var got strings.Builder
		for _, command := range e.commands {
			got.WriteString(curl(ts, environmentOf(ts).addresses[args[1]], command))
		}
		remaining := normalize(got.String())
		for fragment := range strings.SplitSeq(normalize(e.want), "...") {
			_, after, found := strings.Cut(remaining, strings.TrimSpace(fragment))
			if !found {
				ts.Fatalf("%v: no %q in %s", e.commands, fragment, got.String())
			}
			remaining = after
		}
	}
}

// example is a list of curl commands and the output that the page shows for them.
type example struct {
	commands [][]string
	want     string
}

// parseExamples returns the examples of a page: indented blocks that begin with curl.
func parseExamples(page string) []example {
	var out []example
	joined := strings.ReplaceAll(page, "\\\n", " ")
	for block := range strings.SplitSeq(joined, "\n\n") {
		first, want, _ := strings.Cut(block, "\n")
		if !strings.HasPrefix(first, "    curl ") {
			continue
		}
		var e example
		for c := range strings.SplitSeq(first, "; ") {
			e.commands = append(e.commands, splitArguments(c))
		}
		e.want = strings.ReplaceAll(want, "    ", "")
		out = append(out, e)
	}
	return out
}

var argumentPattern = regexp.MustCompile(`'([^']*)'|(\S+)`)

// splitArguments splits a shell command into arguments. It supports single quotes only.
func splitArguments(command string) []string {
	var out []string
	for _, m := range argumentPattern.FindAllStringSubmatch(command, -1) {
		out = append(out, m[1]+m[2])
	}
	return out
}

var (
	idPattern     = regexp.MustCompile(`cw-[0-9a-f]+`)
	numberPattern = regexp.MustCompile(`\d+`)
)

// normalize replaces what differs between runs: request IDs and numbers.
func normalize(s string) string {
	s = strings.ReplaceAll(idPattern.ReplaceAllString(s, "ID"), "\r\n", "\n")
	return numberPattern.ReplaceAllString(s, "N")
}

// curl runs a curl command with the options -H, -d, -i and -N against a host, and returns
// its output.
func curl(ts *testscript.TestScript, host string, args []string) string {
	var url, body string
	headers, includeHead, method := http.Header{}, false, http.MethodGet
	for i := 1; i < len(args); i++ {
		switch args[i] {
		case "-N":
		case "-i":
			includeHead = true
		case "-H":
			i++
			name, value, _ := strings.Cut(args[i], ": ")
			headers.Set(name, value)
		case "-d":
			i++
			method, body = http.MethodPost, args[i]
		default:
			url = strings.Replace(args[i], "127.0.0.1:18011", host, 1)
		}
	}
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	ts.Check(err)
	req.Header = headers
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	ts.Check(err)
	if !includeHead {
		return string(answer)
	}
	var out strings.Builder
	out.WriteString(resp.Proto + " " + resp.Status + "\n")
	ts.Check(resp.Header.Write(&out))
	return out.String() + "\n" + string(answer)
}
