package scripter_test

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdPage is `page FILE HOST`: runs the curl lines that a page shows against a
// host, and compares what comes with what the page says. "..." stands for
// anything, and numbers and request ids differ from run to run.
func cmdPage(ts *testscript.TestScript, _ bool, args []string) {
	text, err := os.ReadFile(args[0])
	ts.Check(err)
	examples := examplesIn(string(text))
	if len(examples) == 0 {
		ts.Fatalf("%s shows no curl line", args[0])
	}
	for _, e := range examples {
		var got strings.Builder
		for _, words := range e.commands {
			got.WriteString(curl(ts, worldOf(ts).addresses[args[1]], words))
		}
		rest := sameEveryRun(got.String())
		for piece := range strings.SplitSeq(sameEveryRun(e.want), "...") {
			_, after, found := strings.Cut(rest, strings.TrimSpace(piece))
			if !found {
				ts.Fatalf("%v: no %q in %s", e.commands, piece, got.String())
			}
			rest = after
		}
	}
}

// example is curl lines and what the page says that they print.
type example struct {
	commands [][]string
	want     string
}

func examplesIn(page string) []example {
	var out []example
	joined := strings.ReplaceAll(page, "\\\n", " ")
	for block := range strings.SplitSeq(joined, "\n\n") {
		first, want, _ := strings.Cut(block, "\n")
		if !strings.HasPrefix(first, "    curl ") {
			continue
		}
		var e example
		for c := range strings.SplitSeq(first, "; ") {
			e.commands = append(e.commands, wordsOf(c))
		}
		e.want = strings.ReplaceAll(want, "    ", "")
		out = append(out, e)
	}
	return out
}

var wordPattern = regexp.MustCompile(`'([^']*)'|(\S+)`)

func wordsOf(command string) []string {
	var out []string
	for _, m := range wordPattern.FindAllStringSubmatch(command, -1) {
		out = append(out, m[1]+m[2])
	}
	return out
}

var (
	idPattern     = regexp.MustCompile(`cw-[0-9a-f]+`)
	numberPattern = regexp.MustCompile(`\d+`)
)

func sameEveryRun(s string) string {
	s = strings.ReplaceAll(idPattern.ReplaceAllString(s, "ID"), "\r\n", "\n")
	return numberPattern.ReplaceAllString(s, "N")
}

// curl does what curl does with -H, -d, -i and -N.
func curl(ts *testscript.TestScript, host string, words []string) string {
	var url, body string
	headers, head, method := http.Header{}, false, http.MethodGet
	for i := 1; i < len(words); i++ {
		switch words[i] {
		case "-N":
		case "-i":
			head = true
		case "-H":
			i++
			name, value, _ := strings.Cut(words[i], ": ")
			headers.Set(name, value)
		case "-d":
			i++
			method, body = http.MethodPost, words[i]
		default:
			url = strings.Replace(words[i], "127.0.0.1:18011", host, 1)
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
	if !head {
		return string(answer)
	}
	var out strings.Builder
	out.WriteString(resp.Proto + " " + resp.Status + "\n")
	ts.Check(resp.Header.Write(&out))
	return out.String() + "\n" + string(answer)
}
