package driver

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"
)

// Report is what became of a Traffic.
type Report struct {
	mu      sync.Mutex
	results []result
	doubled int
	untrue  int // told "not run" although it ran
}

func newReport() *Report { return &Report{} }

func (r *Report) add(x result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, x)
}

// judge compares the outcomes with how often each operation ran.
func (r *Report) judge(ran map[string]int) {
	for _, x := range r.results {
		if !x.kind.once {
			continue
		}
		if ran[x.id] > 1 {
			r.doubled++
		}
		if x.verdict == refused && ran[x.id] > 0 {
			r.untrue++
		}
	}
}

// Passed says that no request was lost, doubled or answered wrongly, and no "not run" was untrue.
func (r *Report) Passed() bool {
	return r.count(lost) == 0 && r.count(wrong) == 0 && r.doubled == 0 && r.untrue == 0
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

// Print writes a table by class and the closing line.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tsent\tanswered\trefused\tunknown\tattainment\twasted tokens\tp50\tp99\t")
	for _, k := range mix {
		if err := r.row(w, k); err != nil {
			return err
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if n := r.count(wrong); n > 0 {
		fmt.Fprintf(out, "called whole, but with wrong tokens: %d\n", n)
	}
	if r.untrue > 0 {
		fmt.Fprintf(out, "told not run, but ran: %d\n", r.untrue)
	}
	_, err := fmt.Fprintf(out, "demo: sent=%d whole=%d refused=%d unknown=%d lost=%d doubled=%d\n",
		len(r.results), r.count(whole), r.count(refused), r.count(unknown), r.count(lost), r.doubled)
	return err
}

func (r *Report) row(w io.Writer, k kind) error {
	took := newTimes()
	sent, answered, shed, unsure, met, wasted := 0, 0, 0, 0, 0, 0
	for _, x := range r.results {
		if x.kind.class != k.class {
			continue
		}
		sent++
		wasted += x.wasted
		switch x.verdict {
		case whole:
			answered++
			if err := took.record(x.took); err != nil {
				return err
			}
			if x.took <= k.target {
				met++
			}
		case refused:
			shed++
		case unknown:
			unsure++
		}
	}
	at := func(percent float64) time.Duration { return took.at(percent).Round(time.Millisecond) }
	_, err := fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.1f%%\t%d\t%s\t%s\t\n", k.class, sent, answered, shed, unsure,
		100*float64(met)/float64(max(sent, 1)), wasted, at(50), at(99))
	return err
}
