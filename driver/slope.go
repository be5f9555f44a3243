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

// Point is the resource use of one host, measured at one value of the quantity that varies.
type Point struct {
	Series   string  `json:"series"` // name of the quantity that varies
	Size     float64 `json:"size"`
	CPU      float64 `json:"cpu"`      // processor microseconds per second
	Memory   float64 `json:"memory"`   // bytes, resident
	Sent     float64 `json:"sent"`     // bytes per second to other hosts
	Received float64 `json:"received"` // bytes per second from other hosts
	Reads    float64 `json:"reads"`    // calls of the Object API per second, all hosts together
	Writes   float64 `json:"writes"`   // calls of the Object API per second, all hosts together
}

// NewPoint returns a sample's rate as a point: divided by the number of hosts, except for
// the calls of the Object API.
func NewPoint(series string, size float64, rate Sample, hosts int) Point {
	n := float64(hosts)
	return Point{
		Series: series, Size: size, CPU: rate.CPU * 1e6 / n, Memory: rate.Resident / n,
		Sent: rate.Sent / n, Received: rate.Received / n, Reads: rate.Reads, Writes: rate.Writes,
	}
}

// columns are the values of a Point that lines are fitted to.
var columns = []struct {
	name  string
	value func(Point) float64
}{
	{"cpu us/s a host", func(p Point) float64 { return p.CPU }},
	{"memory KB a host", func(p Point) float64 { return p.Memory / 1e3 }},
	{"sent B/s a host", func(p Point) float64 { return p.Sent }},
	{"received B/s a host", func(p Point) float64 { return p.Received }},
	{"store reads/s in all", func(p Point) float64 { return p.Reads }},
	{"store writes/s in all", func(p Point) float64 { return p.Writes }},
}

// FitSlopes reads points, one JSON line each. For each series and column it prints the
// median at each size and the straight line through all points: its value at size 0, its
// slope, and the standard error of the points about it.
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
	for _, m := range columns {
		values := make([]float64, len(points))
		for i, p := range points {
			values[i] = m.value(p)
		}
		fmt.Fprintf(w, "%s\t", m.name)
		for _, s := range steps {
			fmt.Fprintf(w, "%.4g\t", median(valuesAt(sizes, values, s)))
		}
		intercept, slope, deviation := fitLine(sizes, values)
		fmt.Fprintf(w, "%.4g\t%.4g\t%.2g\t\n", intercept, slope, deviation)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out)
	return err
}

// valuesAt returns the values measured at one size.
func valuesAt(sizes, values []float64, size float64) []float64 {
	var out []float64
	for i, s := range sizes {
		if s == size {
			out = append(out, values[i])
		}
	}
	return out
}

// fitLine returns the least-squares line and the standard error of the values about it.
func fitLine(x, y []float64) (intercept, slope, deviation float64) {
	intercept, slope = stat.LinearRegression(x, y, nil, false)
	var sum float64
	for i := range x {
		d := y[i] - intercept - slope*x[i]
		sum += d * d
	}
	return intercept, slope, math.Sqrt(sum / float64(max(len(x)-2, 1)))
}
