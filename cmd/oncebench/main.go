// Command oncebench measures what a keeper's records cost in writes of the
// Object API, against the load, and how long a call waits for them. It plays one
// keeper in virtual time against a store that takes 5 ms a write, and prints the
// median of several seeds with the lowest and the highest.
//
// The baseline is one object a key: two conditional writes a call, at any load.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"text/tabwriter"
	"time"
)

const (
	seeds     = 7
	length    = 60 * time.Second
	baseline  = 2.0   // writes a call
	peak      = 1500. // requests a second at the size to design for
	partition = 16
)

func main() {
	if err := run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "oncebench: "+err.Error())
		os.Exit(1)
	}
}

// run prints both tables and the time of a take-over.
func run(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "one partition: calls/s\twrites a call\tof baseline\twrites/s\tkB/s written\tadded p50\tadded p99\t")
	for _, rate := range []float64{1, 10, 100, 1000} {
		row(w, fmt.Sprint(rate), runs(rate), 1)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, "\nsize to design for, %d partitions:\n", partition); err != nil {
		return err
	}
	fmt.Fprintln(w, "once-calls/s\twrites a call\tof baseline\twrites/s\tkB/s written\tadded p50\tadded p99\t")
	for _, share := range []float64{0.02, 0.1, 1} {
		row(w, fmt.Sprintf("%.0f", peak*share), runs(peak*share/partition), partition)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return takeover(out)
}

func runs(rate float64) []figures {
	out := make([]figures, seeds)
	for i := range out {
		s := newSimulation(rate, rand.New(rand.NewPCG(uint64(i+1), 0)))
		out[i] = s.run()
	}
	return out
}

func row(w *tabwriter.Writer, name string, runs []figures, partitions float64) {
	column := func(format string, f func(figures) float64) string {
		x := make([]float64, len(runs))
		for i, r := range runs {
			x[i] = f(r)
		}
		slices.Sort(x)
		return fmt.Sprintf(format+" ("+format+".."+format+")", x[len(x)/2], x[0], x[len(x)-1])
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", name,
		column("%.3f", func(f figures) float64 { return f.perCall() }),
		column("%.3f", func(f figures) float64 { return f.perCall() / baseline }),
		column("%.0f", func(f figures) float64 { return partitions * float64(f.writes) / length.Seconds() }),
		column("%.0f", func(f figures) float64 { return partitions * float64(f.bytes) / 1e3 / length.Seconds() }),
		column("%.0fms", func(f figures) float64 { return f.quantile(0.5) }),
		column("%.0fms", func(f figures) float64 { return f.quantile(0.99) }))
}
