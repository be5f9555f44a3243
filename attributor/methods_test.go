package attributor_test

import (
	"math"
	"time"

	"github.com/cicadawood/cicadawood/attributor"
)

// attributed is the Attributor as a method.
type attributed struct {
	a    *attributor.Attributor
	held held
}

func newAttributed() method {
	m := &attributed{a: &attributor.Attributor{}, held: held{now: map[attributor.PartID]bool{}}}
	m.a.SetKnown(m.held)
	return m
}

func (m *attributed) crashed(now time.Duration, worker string, list []attributor.Request) {
	for _, r := range list {
		m.a.Crashed(clock(now), worker, r)
	}
}

func (m *attributed) sent(parts []attributor.PartID) { m.a.Sent(parts) }

func (m *attributed) served(now time.Duration, parts []attributor.PartID) {
	m.a.Served(clock(now), parts)
}

func (m *attributed) suspected(now time.Duration, p attributor.PartID) bool {
	return m.a.Suspected(clock(now), p)
}

func (m *attributed) judge(now time.Duration) []attributor.PartID {
	var out []attributor.PartID
	found, _ := m.a.Judge(clock(now))
	for _, f := range found {
		m.held.now[f.Part] = true
		out = append(out, f.Part)
	}
	return out
}

// counted holds a part back after three crashes since it was last answered.
type counted struct{ crashes map[attributor.PartID]int }

func newCounted() method { return &counted{map[attributor.PartID]int{}} }

func (m *counted) crashed(_ time.Duration, _ string, list []attributor.Request) {
	for p := range partsAt(list) {
		m.crashes[p]++
	}
}

func (m *counted) sent([]attributor.PartID) {}

func (m *counted) served(_ time.Duration, parts []attributor.PartID) {
	for _, p := range parts {
		delete(m.crashes, p)
	}
}

func (m *counted) suspected(_ time.Duration, p attributor.PartID) bool { return m.crashes[p] > 0 }

func (m *counted) judge(time.Duration) []attributor.PartID {
	var out []attributor.PartID
	for p, n := range m.crashes {
		if n >= 3 {
			out = append(out, p)
			delete(m.crashes, p)
		}
	}
	return out
}

// intersected holds back what all of the last three crashes had in common.
type intersected struct {
	common map[attributor.PartID]bool
	n      int
}

func newIntersected() method { return &intersected{} }

func (m *intersected) crashed(_ time.Duration, _ string, list []attributor.Request) {
	at := partsAt(list)
	if m.n == 0 {
		m.common = at
	}
	for p := range m.common {
		if !at[p] {
			delete(m.common, p)
		}
	}
	m.n++
	if len(m.common) == 0 {
		m.common, m.n = at, 1
	}
}

func (m *intersected) sent([]attributor.PartID) {}

func (m *intersected) served(_ time.Duration, parts []attributor.PartID) {
	for _, p := range parts {
		delete(m.common, p)
	}
}

func (m *intersected) suspected(_ time.Duration, p attributor.PartID) bool { return m.common[p] }

func (m *intersected) judge(time.Duration) []attributor.PartID {
	if m.n < 3 {
		return nil
	}
	var out []attributor.PartID
	for p := range m.common {
		out = append(out, p)
	}
	m.common, m.n = nil, 0
	return out
}

// likely holds back a part when its requests end by a crash far more often than all requests do.
type likely struct {
	crashedEnds, servedEnds map[attributor.PartID]float64
	crashes, ends           float64
}

func newLikely() method {
	return &likely{crashedEnds: map[attributor.PartID]float64{}, servedEnds: map[attributor.PartID]float64{}}
}

func (m *likely) crashed(_ time.Duration, _ string, list []attributor.Request) {
	for _, r := range list {
		m.crashes++
		m.ends++
		for _, p := range r.Parts {
			m.crashedEnds[p]++
		}
	}
}

func (m *likely) sent([]attributor.PartID) {}

func (m *likely) served(_ time.Duration, parts []attributor.PartID) {
	m.ends++
	for _, p := range parts {
		m.servedEnds[p]++
	}
}

// ratio returns the logarithm of how much likelier a part's ends are if it crashes workers than if
// its requests end as all do.
func (m *likely) ratio(p attributor.PartID) float64 {
	const miss = 0.01
	base := (m.crashes + 1) / (m.ends + 2)
	return m.crashedEnds[p]*math.Log((1-miss)/base) + m.servedEnds[p]*math.Log(miss/(1-base))
}

func (m *likely) suspected(_ time.Duration, p attributor.PartID) bool {
	return m.crashedEnds[p] > 0 && m.ratio(p) > 0
}

func (m *likely) judge(time.Duration) []attributor.PartID {
	var out []attributor.PartID
	for p, n := range m.crashedEnds {
		if n >= 3 && m.ratio(p) > math.Log(1000) {
			out = append(out, p)
			delete(m.crashedEnds, p)
		}
	}
	return out
}

func partsAt(list []attributor.Request) map[attributor.PartID]bool {
	at := map[attributor.PartID]bool{}
	for _, r := range list {
		for _, p := range r.Parts {
			at[p] = true
		}
	}
	return at
}
