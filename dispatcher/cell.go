package dispatcher

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadawood/cicadawood/loader"
)

// Cell is a group of workers of one service under one dispatcher.
type Cell struct {
	Name    string
	Service string
	Workers []loader.Worker
}

// SplitCells splits a service's workers into cells of at most s.Cell workers.
//
// A worker goes to the cell of its highest rendezvous weight that still has
// room, so that one worker more or less moves few others: a worker that moves
// is known to neither dispatcher until its calls in flight are claimed.
func SplitCells(service string, s loader.Service) []Cell {
	workers := slices.Clone(s.Workers)
	slices.SortFunc(workers, func(a, b loader.Worker) int { return strings.Compare(a.Name, b.Name) })
	count, most := 1, len(workers)
	if s.Cell > 0 && len(workers) > 0 {
		count = (len(workers) + s.Cell - 1) / s.Cell
		most = s.Cell
	}
	cells := make([]Cell, count)
	for i := range cells {
		cells[i] = Cell{Name: fmt.Sprintf("%s/%d", service, i), Service: service}
	}
	for _, w := range workers {
		c := preferred(cells, w.Name, most)
		c.Workers = append(c.Workers, w)
	}
	return slices.DeleteFunc(cells, func(c Cell) bool { return len(c.Workers) == 0 && len(workers) > 0 })
}

func preferred(cells []Cell, worker string, most int) *Cell {
	var best *Cell
	var weight uint64
	for i := range cells {
		c := &cells[i]
		v := xxhash.Sum64String(c.Name + "\x00" + worker)
		if len(c.Workers) < most && (best == nil || cmp.Compare(v, weight) > 0) {
			best, weight = c, v
		}
	}
	return best
}
