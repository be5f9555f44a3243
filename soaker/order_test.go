package soaker_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
)

// Sentences of rule ORDER.
const (
	joinedVersions = "joined from two versions"
	pieceMissing   = "a piece is missing"
	pieceTwice     = "a piece comes twice, or a number goes back"
	endsEarly      = "ends as complete before its last piece"
	foreignPiece   = "a piece is of another answer"
)

// maxBroken is how many streams may break each sentence.
var maxBroken = map[string]int{joinedVersions: maxMixedStreams, pieceMissing: 0, pieceTwice: 0, endsEarly: 0, foreignPiece: 0}

// judge notes the sentences that an answer breaks, after the events that its caller has.
func (x *releaseStream) judge(text string, complete bool) {
	if x.wrong == nil {
		x.wrong = map[string]bool{}
	}
	id, versions := x.events()
	last, _ := strconv.Atoi(id) // 0 before the first event
	for _, m := range releaseEvent.FindAllStringSubmatch(text, -1) {
		number, _ := strconv.Atoi(m[1])
		if versions = append(versions, m[2]); m[2] != versions[0] {
			x.wrong[joinedVersions] = true
		}
		if m[2] == faker.SecondVersion {
			x.wrong[foreignPiece] = true
		}
		switch {
		case number <= last:
			x.wrong[pieceTwice] = true
		case number > last+1:
			x.wrong[pieceMissing] = true
		}
		last = number
	}
	if complete && last < releaseEvents {
		x.wrong[endsEarly] = true
	}
}

// checkOrder reports each stream that breaks rule ORDER, with its tries and their log lines, and
// checks that no sentence is broken by more streams than may be.
func (r *release) checkOrder() {
	broken := map[string]int{}
	defer func() {
		if len(broken) > 0 {
			AddReportEntry("steps", strings.Join(r.steps, ""))
		}
	}()
	for _, x := range r.streams {
		if len(x.wrong) == 0 {
			continue
		}
		for sentence := range x.wrong {
			broken[sentence]++
		}
		_, versions := x.events()
		AddReportEntry("order", fmt.Sprint("seed ", r.seed, ": ", x.wrong, "\nevents ", len(versions), " of ", slices.Compact(versions), "\n", strings.Join(x.tries, "\n"), "\n", strings.Join(r.logLines(x.ids), "\n")))
	}
	AddReportEntry("order", fmt.Sprintf("seed %d: of %d streams %v", r.seed, len(r.streams), broken))
	for sentence, n := range broken {
		Expect(n).To(BeNumerically("<=", maxBroken[sentence]), sentence)
	}
}

// logLines returns the lines of the hosts' logs about some requests.
func (c *cluster) logLines(requests []string) []string {
	var out []string
	for _, h := range c.hosts {
		text, err := os.ReadFile(h.logFile())
		Expect(err).NotTo(HaveOccurred())
		for line := range strings.Lines(string(text)) {
			if slices.ContainsFunc(requests, func(id string) bool { return strings.Contains(line, "="+id+" ") }) {
				out = append(out, strings.TrimSpace(line))
			}
		}
	}
	return out
}
