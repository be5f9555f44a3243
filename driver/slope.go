package driver

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// Point is what one host used a second while one thing had a certain size.
type Point struct {
	Series   string  `json:"series"` // what grew
	Size     float64 `json:"size"`
	CPU      float64 `json:"cpu"`      // microseconds of processor a second
	Memory   float64 `json:"memory"`   // bytes, resident
	Sent     float64 `json:"sent"`     // bytes a second to other hosts
	Received float64 `json:"received"` // bytes a second from other hosts
	Reads    float64 `json:"reads"`    // of the Object API a second, all hosts together
	Writes   float64 `json:"writes"`   // of the Object API a second, all hosts together
}

// NewPoint is a sample's rate, shared out over hosts.
func NewPoint(series string, size float64, rate Sample, hosts int) Point {
	n := float64(hosts)
	return Point{
		Series: series, Size: size, CPU: rate.CPU * 1e6 / n, Memory: rate.Resident / n,
		Sent: rate.Sent / n, Received: rate.Received / n, Reads: rate.Reads, Writes: rate.Writes,
	}
}

// measures are the columns of a Point that are fitted.
var measures = []struct {
	name string
	of   func(Point) float64
}{
	{"cpu us/s a host", func(p Point) float64 { return p.CPU }},
	{"memory KB a host", func(p Point) float64 { return p.Memory / 1e3 }},
	{"sent B/s a host", func(p Point) float64 { return p.Sent }},
	{"received B/s a host", func(p Point) float64 { return p.Received }},
	{"store reads/s in all", func(p Point) float64 { return p.Reads }},
	{"store writes/s in all", func(p Point) float64 { return p.Writes }},
}

// FitSlopes reads points, a JSON line each, and prints for each series and
// measure the median at each size and the straight line through all points: at
// size 0, for each one more, and the standard error of the points about it.
func FitSlopes(in io.Reader, out io.Writer) error {
	series := map[string][]Point{}
	var order []string
	for lines := bufio.NewScanner(in); lines.Scan(); {
		var p Point
		if err := json.Unmarshal(lines.Bytes(), &p); err != nil {
			return fmt.Errorf("read points: %w", err)
		}
		if series[p.Series] == nil {
			order = append(order, p.Series)
		}
		series[p.Series] = append(series[p.Series], p)
	}
	for _, name := range order {
		if err := printSeries(out, name, series[name]); err != nil {
			return err
		}
	}
	return nil
}

func printSeries(out io.Writer, name string, points []Point) error {
	slices.SortStableFunc(points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
	sizes := make([]float64, len(points))
	for i, p := range points {
		sizes[i] = p.Size
	}
	steps := slices.Compact(slices.Clone(sizes))
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s\t", name)
	for _, s := range steps {
		fmt.Fprintf(w, "%g\t", s)
	}
	fmt.Fprintln(w, "at 0\ta step\t+-\t")
	for _, m := range measures {
		values := make([]float64, len(points))
		for i, p := range points {
			values[i] = m.of(p)
		}
		fmt.Fprintf(w, "%s\t", m.name)
		for _, s := range steps {
			fmt.Fprintf(w, "%.4g\t", median(at(sizes, values, s)))
		}
		base, slope, spread := fit(sizes, values)
		fmt.Fprintf(w, "%.4g\t%.4g\t%.2g\t\n", base, slope, spread)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out)
	return err
}

// at is the values measured at one size.
func at(sizes, values []float64, size float64) []float64 {
	var out []float64
	for i, s := range sizes {
		if s == size {
			out = append(out, values[i])
		}
	}
	return out
}

// fit is the least-squares line and the standard error of the values about it.
func fit(x, y []float64) (base, slope, spread float64) {
	base, slope = stat.LinearRegression(x, y, nil, false)
	var sum float64
	for i := range x {
		d := y[i] - base - slope*x[i]
		sum += d * d
	}
	return base, slope, math.Sqrt(sum / float64(max(len(x)-2, 1)))
}
