package router

import (
	"github.com/cicadawood/cicadawood/attributor"
	"github.com/cicadawood/cicadawood/placer"
)

// partsOf returns the parts of a request's prompt as seen by the placer.
func partsOf(in RequestHead) []placer.Part {
	names := make([]string, 0, len(in.Parts))
	for _, p := range in.Parts {
		names = append(names, p.ID)
	}
	var parts []placer.Part
	for i, key := range attributor.Keys(in.Model, names) {
		parts = append(parts, placer.Part{Key: key, Tokens: in.Parts[i].Tokens})
	}
	return parts
}

// maxLoggedParts bounds the length of a log line.
const maxLoggedParts = 16

// loggedParts returns the IDs of the prompt's parts, as they are logged.
func (q *request) loggedParts() string {
	parts := q.placement.Parts
	return attributor.Join(placer.PartIDs(parts[:min(len(parts), maxLoggedParts)]))
}
