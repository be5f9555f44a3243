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
	plotMost   = 1.5 // leaves the legend its room
	barWidth   = 0.28 * vg.Centimeter
)

// plotted are the rows that the plot shows.
var plotted = []string{"round-robin", "two-choices", "strict-tiers", "ours", "cell-6", "bound"}

// WritePlot draws, as an SVG file, each row's goodput as a part of the bound's,
// for each service and demand of the results with nothing wrong.
func WritePlot(path string, results []Result) error {
	p := plot.New()
	p.Title.Text = "Goodput as a part of the goodput with all output lengths known"
	p.Y.Label.Text = "part"
	p.Legend.Top = true
	groups, bound := boundOf(results)
	for i, row := range plotted[:len(plotted)-1] {
		values := make(plotter.Values, len(groups))
		for _, r := range results {
			if g := slices.Index(groups, groupOf(r)); g >= 0 && r.Row == row && r.Condition == NoFault {
				values[g] = r.Goodput / bound[groups[g]]
			}
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return fmt.Errorf("plot %s: %w", row, err)
		}
		bars.Color, bars.LineStyle.Width = plotutil.Color(i), 0
		bars.Offset = vg.Length(float64(i)-float64(len(plotted)-2)/2) * barWidth
		p.Add(bars)
		p.Legend.Add(row, bars)
	}
	p.NominalX(groups...)
	p.Y.Min, p.Y.Max = 0, plotMost
	p.X.Tick.Label.Rotation = 0.5
	p.X.Tick.Label.XAlign = -1
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}

func groupOf(r Result) string { return fmt.Sprintf("%s %.1f", r.Service, r.Demand) }

// boundOf is the groups in order, and the bound's goodput of each.
func boundOf(results []Result) ([]string, map[string]float64) {
	var groups []string
	bound := map[string]float64{}
	for _, r := range results {
		if r.Row == "bound" && r.Condition == NoFault {
			groups = append(groups, groupOf(r))
			bound[groupOf(r)] = r.Goodput
		}
	}
	return groups, bound
}
