package loader

import "time"

// Once bounds the calls that must not be repeated. Zero fields take defaults.
type Once struct {
	// Partitions is how many partitions the keys fall into. It counts only where
	// no host has fixed it in the Object API before.
	Partitions       int      `json:"partitions"`
	MaxBody          int64    `json:"body"`       // bytes of a call's body
	MaxAnswer        int64    `json:"whole"`      // bytes of an answer that can be passed on
	MaxStoredAnswer  int      `json:"answer"`     // bytes of an answer that is kept for a repeated key
	AnswerCacheBytes int      `json:"answers"`    // bytes of answers in memory, by partition
	MaxOperations    int      `json:"operations"` // in flight, by partition
	MaxRecords       int      `json:"records"`    // kept, by partition
	Retention        Duration `json:"retention"`  // of a record, at least
	WritesPerSecond  float64  `json:"writes"`     // commits a second in the long run, by partition
}

// maxOnce is the most bytes of a body or answer: it must fit one frame between
// hosts with its headers.
const maxOnce = 900 << 10

func (o Once) withDefaults() Once {
	o.Partitions = orDefault(o.Partitions, 16)
	o.MaxBody = orDefault(o.MaxBody, 256<<10)
	o.MaxAnswer = orDefault(o.MaxAnswer, 512<<10)
	o.MaxBody, o.MaxAnswer = min(o.MaxBody, maxOnce), min(o.MaxAnswer, maxOnce)
	o.MaxStoredAnswer = orDefault(o.MaxStoredAnswer, 4<<10)
	o.AnswerCacheBytes = orDefault(o.AnswerCacheBytes, 4<<20)
	o.MaxOperations = orDefault(o.MaxOperations, 512)
	o.MaxRecords = orDefault(o.MaxRecords, 20_000)
	o.Retention = orDefault(o.Retention, Duration(6*time.Hour))
	o.WritesPerSecond = orDefault(o.WritesPerSecond, 12)
	return o
}

func orDefault[T int | int64 | float64 | Duration](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}
