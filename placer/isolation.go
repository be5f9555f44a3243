package placer

import (
	"slices"
	"time"

	"github.com/cicadawood/cicadawood/attributor"
)

// isolation keeps requests with a part that may crash workers apart from the others, so that they
// crash one worker at a time, and that others are answered elsewhere meanwhile.
type isolation struct {
	suspects []attributor.PartID // of the request
	worker   string              // that has a request with one of them; "" if there is none
}

// isolate returns how a request is kept apart.
func (v *View) isolate(now time.Time, req Request) isolation {
	x := isolation{suspects: v.suspectsAmong(now, SharedParts(req.Parts))}
	if len(x.suspects) > 0 {
		x.worker = v.workerOf(req, func(f *flight) bool { return sharesPart(f.shared, x.suspects) })
	}
	return x
}

// isolated returns the candidates that keep a request apart; nil if all may get it.
func (v *View) isolated(now time.Time, req Request, candidates []candidate) []candidate {
	if !v.suspects.Active() {
		return nil
	}
	return v.isolate(now, req).apply(candidates)
}

// undecided returns how long a request should wait for a crash to be judged that may show that a
// part of it crashes workers.
func (v *View) undecided(now time.Time, req Request) time.Duration {
	if !v.suspects.Active() {
		return 0
	}
	wait := time.Duration(0)
	for _, p := range SharedParts(req.Parts) {
		wait = max(wait, v.suspects.Undecided(now, p))
	}
	return wait
}

// suspectsAmong returns the parts that are suspected.
func (v *View) suspectsAmong(now time.Time, parts []attributor.PartID) []attributor.PartID {
	return slices.DeleteFunc(slices.Clone(parts), func(p attributor.PartID) bool { return !v.suspects.Suspected(now, p) })
}

func sharesPart(a, b []attributor.PartID) bool {
	return slices.ContainsFunc(a, func(p attributor.PartID) bool { return slices.Contains(b, p) })
}

// apply returns those of the candidates that keep the request apart: a suspected one goes where a
// request with the same suspected part is, or else where no suspected one is, and so do the others.
// It returns nil if all may get the request, or none of these has a slot.
func (x isolation) apply(candidates []candidate) []candidate {
	var apart []candidate
	slots := false
	for _, c := range candidates {
		if c.Name == x.worker || x.worker == "" && c.suspects == 0 {
			apart = append(apart, c)
			slots = slots || c.hasSlot()
		}
	}
	if !slots || len(apart) == len(candidates) {
		return nil
	}
	return apart
}
