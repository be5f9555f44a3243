package attributor

import (
	"cmp"
	"slices"
)

// Suspicion is a part under suspicion, for operators.
type Suspicion struct {
	Part    string   `json:"part"`
	Workers []string `json:"workers"` // that crashed with it, one after another
	Served  bool     `json:"served,omitempty"`
}

// Suspicions returns at most limit suspected parts, those with most crashes first.
func (a *Attributor) Suspicions(limit int) []Suspicion {
	out := make([]Suspicion, 0, len(a.records))
	for p, r := range a.records {
		s := Suspicion{Part: p.String(), Served: r.served}
		for _, m := range r.marks {
			s.Workers = append(s.Workers, m.Worker)
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(x, y Suspicion) int {
		return cmp.Or(cmp.Compare(len(y.Workers), len(x.Workers)), cmp.Compare(x.Part, y.Part))
	})
	return out[:min(len(out), limit)]
}
