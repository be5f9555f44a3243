package registrar

import "github.com/cicadawood/cicadawood/messenger"

// Limits of a host's fact. Hosts send their facts to one another, many in a frame.
const (
	// maxIncarnation leaves room for later ones; incarnations are Unix times in nanoseconds.
	maxIncarnation = 1 << 62
	// maxWeight is in hundredths of a core.
	maxWeight = 10_000_000
	// maxTextBytes bounds each text of a fact, as a DNS name is bounded.
	maxTextBytes = 255
)

// inRange reports whether a fact can be used.
func inRange(f messenger.Fact) bool {
	for _, text := range []string{f.Name, f.Zone, f.Region, f.Control, f.Admin} {
		if len(text) > maxTextBytes {
			return false
		}
	}
	return f.Name != "" && f.Incarnation <= maxIncarnation && f.Weight >= 0 && f.Weight <= maxWeight
}
