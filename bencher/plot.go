package bencher

import (
	"fmt"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 28 * vg.Centimeter
	plotHeight = 16 * vg.Centimeter
	plotMaxY   = 1.5 // leaves room for the legend
	barWidth   = 0.28 * vg.Centimeter
)

// plottedRows are the rows in the plot. The last one is the reference for the others.
var plottedRows = []string{"round-robin", "two-choices", "strict-tiers", "ours", "cell-6", "bound"}

// WritePlot writes an SVG bar chart of each row's goodput as a fraction of that of row
// "bound", grouped by service and demand. It shows results without faults only.
func WritePlot(path string, results []Result) error {
	p := plot.New()
	p.Title.Text = "Goodput as a part of the goodput with all output lengths known"
	p.Y.Label.Text = "part"
	p.Legend.Top = true
	groups, bound := boundGoodput(results)
	for i, row := range plottedRows[:len(plottedRows)-1] {
		values := make(plotter.Values, len(groups))
		for _, r := range results {
			if g := slices.Index(groups, groupName(r)); g >= 0 && r.Row == row && r.Condition == NoFault {
				values[g] = r.Goodput / bound[groups[g]]
			}
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return fmt.Errorf("plot %s: %w", row, err)
		}
		bars.Color, bars.LineStyle.Width = plotutil.Color(i), 0
		bars.Offset = vg.Length(float64(i)-float64(len(plottedRows)-2)/2) * barWidth
		p.Add(bars)
		p.Legend.Add(row, bars)
	}
	p.NominalX(groups...)
	p.Y.Min, p.Y.Max = 0, plotMaxY
	p.X.Tick.Label.Rotation = 0.5
	p.X.Tick.Label.XAlign = -1
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}

// groupName returns the name of a result's group of bars.
func groupName(r Result) string { return fmt.Sprintf("%s %.1f", r.Service, r.Demand) }

// boundGoodput returns the groups in order and the goodput of row "bound" in each.
func boundGoodput(results []Result) ([]string, map[string]float64) {
	var groups []string
	bound := map[string]float64{}
	for _, r := range results {
		if r.Row == "bound" && r.Condition == NoFault {
			groups = append(groups, groupName(r))
			bound[groupName(r)] = r.Goodput
		}
	}
	return groups, bound
}
