// Command oncebench measures how many writes of the Object API a keeper's records cost at
// several loads, and how long a call waits for them. It simulates one keeper in virtual
// time against a store that takes 5 ms per write, and prints the median of several seeds
// with the minimum and the maximum.
//
// The baseline is one object per key: two conditional writes per call, at any load.
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
	seedCount      = 7
	runLength      = 60 * time.Second
	baselineWrites = 2.0   // writes per call
	peakRate       = 1500. // requests per second at the design size
	partitionCount = 16
)

func main() {
	if err := run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "oncebench: "+err.Error())
		os.Exit(1)
	}
}

// run prints both tables and the time of a takeover.
func run(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "one partition: calls/s\twrites a call\tof baseline\twrites/s\tkB/s written\tadded p50\tadded p99\t")
	for _, rate := range []float64{1, 10, 100, 1000} {
		printRow(w, fmt.Sprint(rate), runSeeds(rate), 1)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, "\ndesign size, %d partitions:\n", partitionCount); err != nil {
		return err
	}
	fmt.Fprintln(w, "once-calls/s\twrites a call\tof baseline\twrites/s\tkB/s written\tadded p50\tadded p99\t")
	for _, share := range []float64{0.02, 0.1, 1} {
		printRow(w, fmt.Sprintf("%.0f", peakRate*share), runSeeds(peakRate*share/partitionCount), partitionCount)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return takeover(out)
}

func runSeeds(rate float64) []statistics {
	out := make([]statistics, seedCount)
	for i := range out {
		s := newSimulation(rate, rand.New(rand.NewPCG(uint64(i+1), 0)))
		out[i] = s.run()
	}
	return out
}

func printRow(w *tabwriter.Writer, name string, runs []statistics, partitions float64) {
	column := func(format string, f func(statistics) float64) string {
		x := make([]float64, len(runs))
		for i, r := range runs {
			x[i] = f(r)
		}
		slices.Sort(x)
		return fmt.Sprintf(format+" ("+format+".."+format+")", x[len(x)/2], x[0], x[len(x)-1])
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", name,
		column("%.3f", func(f statistics) float64 { return f.writesPerCall() }),
		column("%.3f", func(f statistics) float64 { return f.writesPerCall() / baselineWrites }),
		column("%.0f", func(f statistics) float64 { return partitions * float64(f.writes) / runLength.Seconds() }),
		column("%.0f", func(f statistics) float64 { return partitions * float64(f.bytes) / 1e3 / runLength.Seconds() }),
		column("%.0fms", func(f statistics) float64 { return f.quantile(0.5) }),
		column("%.0fms", func(f statistics) float64 { return f.quantile(0.99) }))
}
