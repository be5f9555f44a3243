package loader

import "time"

// Once bounds the calls that must not be repeated. Zero fields take defaults.
type Once struct {
	// Partitions is how many partitions the keys fall into. It counts only where
	// no host has fixed it in the Object API before.
	Partitions int      `json:"partitions"`
	Body       int64    `json:"body"`       // bytes of a call's body
	Whole      int64    `json:"whole"`      // bytes of an answer that can be passed on
	Answer     int      `json:"answer"`     // bytes of an answer that is kept for a repeated key
	Answers    int      `json:"answers"`    // bytes of answers in memory, by partition
	Operations int      `json:"operations"` // in flight, by partition
	Records    int      `json:"records"`    // kept, by partition
	Retention  Duration `json:"retention"`  // of a record, at least
	Writes     float64  `json:"writes"`     // commits a second in the long run, by partition
}

// maxOnce is the most bytes of a body or answer: it must fit one frame between
// hosts with its headers.
const maxOnce = 900 << 10

func (o Once) withDefaults() Once {
	o.Partitions = orDefault(o.Partitions, 16)
	o.Body = orDefault(o.Body, 256<<10)
	o.Whole = orDefault(o.Whole, 512<<10)
	o.Body, o.Whole = min(o.Body, maxOnce), min(o.Whole, maxOnce)
	o.Answer = orDefault(o.Answer, 4<<10)
	o.Answers = orDefault(o.Answers, 4<<20)
	o.Operations = orDefault(o.Operations, 512)
	o.Records = orDefault(o.Records, 20_000)
	o.Retention = orDefault(o.Retention, Duration(6*time.Hour))
	o.Writes = orDefault(o.Writes, 12)
	return o
}

func orDefault[T int | int64 | float64 | Duration](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}
