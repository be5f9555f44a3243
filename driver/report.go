package driver

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"
)

// Report is the outcome of a Traffic run.
type Report struct {
	mu          sync.Mutex
	results     []result
	doubled     int
	falseNotRun int // reported as not run although they ran
}

func newReport() *Report { return &Report{} }

func (r *Report) add(x result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, x)
}

// compareRuns counts the operations that ran more than once, and those that were reported
// as not run although they ran.
func (r *Report) compareRuns(ran map[string]int) {
	for _, x := range r.results {
		if !x.kind.once {
			continue
		}
		if ran[x.id] > 1 {
			r.doubled++
		}
		if x.verdict == verdictRefused && ran[x.id] > 0 {
			r.falseNotRun++
		}
	}
}

// Passed reports whether no request was lost, doubled or answered wrongly, and none that
// was reported as not run had run.
func (r *Report) Passed() bool {
	return r.count(verdictLost) == 0 && r.count(verdictWrong) == 0 && r.doubled == 0 && r.falseNotRun == 0
}

func (r *Report) count(v verdict) int {
	n := 0
	for _, x := range r.results {
		if x.verdict == v {
			n++
		}
	}
	return n
}

// Print writes a table by class and a summary line.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tsent\tanswered\trefused\tunknown\tattainment\twasted tokens\tp50\tp99\t")
	for _, k := range mix {
		if err := r.writeRow(w, k); err != nil {
			return err
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if n := r.count(verdictWrong); n > 0 {
		fmt.Fprintf(out, "ended as complete, but with wrong tokens: %d\n", n)
	}
	if r.falseNotRun > 0 {
		fmt.Fprintf(out, "reported as not run, but ran: %d\n", r.falseNotRun)
	}
	_, err := fmt.Fprintf(out, "demo: sent=%d whole=%d refused=%d unknown=%d lost=%d doubled=%d\n",
		len(r.results), r.count(verdictWhole), r.count(verdictRefused), r.count(verdictUnknown), r.count(verdictLost), r.doubled)
	return err
}

func (r *Report) writeRow(w io.Writer, k kind) error {
	took := newHistogram()
	sent, answered, notRun, mayHaveRun, onTime, wasted := 0, 0, 0, 0, 0, 0
	for _, x := range r.results {
		if x.kind.class != k.class {
			continue
		}
		sent++
		wasted += x.wastedTokens
		switch x.verdict {
		case verdictWhole:
			answered++
			if err := took.record(x.took); err != nil {
				return err
			}
			if x.took <= k.target {
				onTime++
			}
		case verdictRefused:
			notRun++
		case verdictUnknown:
			mayHaveRun++
		}
	}
	at := func(percent float64) time.Duration { return took.percentile(percent).Round(time.Millisecond) }
	_, err := fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.1f%%\t%d\t%s\t%s\t\n", k.class, sent, answered, notRun, mayHaveRun,
		100*float64(onTime)/float64(max(sent, 1)), wasted, at(50), at(99))
	return err
}
