// Package dispatcher decides which waiting request gets which worker next.
//
// A Dispatcher owns one cell: a group of workers of one service. It is pure:
// time comes in as an argument, and what it decides comes out as messages.
package dispatcher

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cicadawood/cicadawood/loader"
)

// Cell is a group of workers of one service under one dispatcher.
type Cell struct {
	Name    string
	Service string
	Workers []loader.Worker
}

// CellsOf splits a service's workers, in name order, into cells of at most
// s.Cell workers, of near equal size.
func CellsOf(service string, s loader.Service) []Cell {
	workers := slices.Clone(s.Workers)
	slices.SortFunc(workers, func(a, b loader.Worker) int { return strings.Compare(a.Name, b.Name) })
	count := 1
	if s.Cell > 0 && len(workers) > 0 {
		count = (len(workers) + s.Cell - 1) / s.Cell
	}
	cells := make([]Cell, count)
	for i := range cells {
		from, to := i*len(workers)/count, (i+1)*len(workers)/count
		cells[i] = Cell{Name: fmt.Sprintf("%s/%d", service, i), Service: service, Workers: workers[from:to]}
	}
	return cells
}
