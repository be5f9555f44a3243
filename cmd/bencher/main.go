// Command bencher measures the routing policy under load and faults; see package bencher.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/spf13/cobra"

	"github.com/cicadawood/cicadawood/bencher"
)

// options select what is measured and where the results are written.
type options struct {
	first, last uint64
	demands     []float64
	conditions  []string
	rows        []string
	workloads   []string
	parallel    int
	directory   string
}

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var o options
	c := &cobra.Command{Use: "bencher", Short: "Measure the policy under load and faults", Args: cobra.NoArgs, SilenceUsage: true, RunE: func(c *cobra.Command, _ []string) error {
		return o.run(c.OutOrStdout())
	}}
	f := c.Flags()
	f.Uint64Var(&o.first, "first", 101, "first seed")
	f.Uint64Var(&o.last, "last", 120, "last seed")
	f.Float64SliceVar(&o.demands, "demand", []float64{0.7, 1, 1.5, 2.5}, "offered load as a fraction of capacity")
	f.StringSliceVar(&o.conditions, "condition", []string{"well", "slow", "crash", "late"}, "fault conditions")
	f.StringSliceVar(&o.rows, "row", nil, "rows; all if none is given")
	f.StringSliceVar(&o.workloads, "workload", []string{"wodnik", "krilo"}, "workloads")
	f.IntVar(&o.parallel, "at-once", 4, "runs in parallel")
	f.StringVar(&o.directory, "out", "", "folder for policy.jsonl, policy.md and policy.svg")
	return c
}

// points returns the grid of points, with the rows of a table next to each other.
func (o options) points() []bencher.Point {
	var out []bencher.Point
	for _, w := range []bencher.Workload{bencher.Wodnik(), bencher.Krilo()} {
		if !slices.Contains(o.workloads, w.Name) {
			continue
		}
		for _, d := range o.demands {
			for _, k := range o.conditions {
				for _, r := range bencher.Rows() {
					if len(o.rows) == 0 || slices.Contains(o.rows, r.Name) {
						out = append(out, bencher.Point{Workload: w, Demand: d, Condition: bencher.Condition(k), Row: r})
					}
				}
			}
		}
	}
	return out
}

func (o options) run(w io.Writer) error {
	results := bencher.Sorted(bencher.RunAll(o.points(), o.first, o.last, o.parallel))
	if o.directory == "" {
		bencher.WriteTables(w, results)
		return nil
	}
	if err := o.write("policy.jsonl", func(f io.Writer) error { return bencher.WriteJSONLines(f, results) }); err != nil {
		return err
	}
	err := o.write("policy.md", func(f io.Writer) error {
		bencher.WriteTables(f, results)
		return nil
	})
	if err != nil {
		return err
	}
	return bencher.WritePlot(filepath.Join(o.directory, "policy.svg"), results)
}

func (o options) write(name string, fill func(io.Writer) error) error {
	f, err := os.Create(filepath.Join(o.directory, name))
	if err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	if err := fill(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
