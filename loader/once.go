package loader

import "time"

// Once limits the calls that must not run more than once. Zero fields get defaults.
type Once struct {
	// Partitions is the number of partitions that idempotency keys are distributed over. It
	// has an effect only until a host has recorded it in the Object API.
	Partitions       int      `json:"partitions"`
	MaxBody          int64    `json:"body"`       // bytes of a call's body
	MaxAnswer        int64    `json:"whole"`      // bytes of an answer that can be forwarded
	MaxStoredAnswer  int      `json:"answer"`     // bytes of an answer that is stored for calls that repeat its key
	AnswerCacheBytes int      `json:"answers"`    // bytes of stored answers in memory, per partition
	MaxOperations    int      `json:"operations"` // in flight, per partition
	MaxRecords       int      `json:"records"`    // stored, per partition
	Retention        Duration `json:"retention"`  // minimum age at which a record is removed
	WritesPerSecond  float64  `json:"writes"`     // sustained rate of commits, per partition
}

// maxOnceBytes is the largest body or answer, in bytes: with its headers it must fit into
// one frame between hosts.
const maxOnceBytes = 900 << 10

func (o Once) withDefaults() Once {
	o.Partitions = orDefault(o.Partitions, 16)
	o.MaxBody = orDefault(o.MaxBody, 256<<10)
	o.MaxAnswer = orDefault(o.MaxAnswer, 512<<10)
	o.MaxBody, o.MaxAnswer = min(o.MaxBody, maxOnceBytes), min(o.MaxAnswer, maxOnceBytes)
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
