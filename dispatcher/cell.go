package dispatcher

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadawood/cicadawood/loader"
)

// Cell is a group of workers of one service that one dispatcher schedules.
type Cell struct {
	Name    string
	Service string
	Workers []loader.Worker
}

// SplitCells splits a service's workers into cells of at most s.Cell workers,
// or into one cell if s.Cell is 0.
//
// A worker joins the cell with free room for which its rendezvous weight is
// highest, so that adding or removing one worker moves few others. Moves are
// costly: the calls in flight at a moved worker are unknown to the dispatchers
// until their entries claim them.
func SplitCells(service string, s loader.Service) []Cell {
	workers := slices.Clone(s.Workers)
	slices.SortFunc(workers, func(a, b loader.Worker) int { return strings.Compare(a.Name, b.Name) })
	count, maxWorkers := 1, len(workers)
	if s.CellSize > 0 && len(workers) > 0 {
		count = (len(workers) + s.CellSize - 1) / s.CellSize
		maxWorkers = s.CellSize
	}
	cells := make([]Cell, count)
	for i := range cells {
		cells[i] = Cell{Name: fmt.Sprintf("%s/%d", service, i), Service: service}
	}
	for _, w := range workers {
		c := preferredCell(cells, w.Name, maxWorkers)
		c.Workers = append(c.Workers, w)
	}
	return slices.DeleteFunc(cells, func(c Cell) bool { return len(c.Workers) == 0 && len(workers) > 0 })
}

// preferredCell returns the cell with free room for which the worker's
// rendezvous weight is highest, or nil if all cells are full.
func preferredCell(cells []Cell, worker string, maxWorkers int) *Cell {
	var best *Cell
	var weight uint64
	for i := range cells {
		c := &cells[i]
		v := xxhash.Sum64String(c.Name + "\x00" + worker)
		if len(c.Workers) < maxWorkers && (best == nil || cmp.Compare(v, weight) > 0) {
			best, weight = c, v
		}
	}
	return best
}
