package runner

import "unicode/utf8"

const (
	maxReasonBytes = 64
	unknownReason  = "unknown"
)

// reasonOf returns the reason that another host stated for a refusal. It becomes a label of metrics,
// which must be valid UTF-8.
func reasonOf(stated string) string {
	if len(stated) > maxReasonBytes || !utf8.ValidString(stated) {
		return unknownReason
	}
	return stated
}
