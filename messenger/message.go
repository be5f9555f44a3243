// Package messenger carries typed messages between hosts: msgpack bodies in
// length-prefixed frames over TCP.
//
// A connection carries one sender's frames in one direction and their
// acknowledgements in the other. It starts with a hello (name, incarnation) and
// a welcome (the receiver's incarnation, the last sequence it received). A
// frame is a 4-byte big-endian length and a msgpack array: sequence, generation
// of the sender's configuration, kind, body. An acknowledgement is the last
// sequence received, 8 bytes big-endian.
//
// Bodies are arrays of the fields in their order, as field names would be most
// of a small message. A message that gets a field therefore gets a new kind as
// well: hosts of the previous version can't read the longer array. Maps by
// field name are read too; ConfigRequest, ConfigReply and the Basis of a
// PlacementReply are written as such.
package messenger

import (
	"fmt"
	"time"
)

// Message is one of the message types of this package. Its kind identifies the
// type on the wire, where a final digit counts the versions of its fields.
type Message interface{ kind() string }

// Ask requests a worker from the dispatcher of a cell. An Ask that is repeated
// with the same Request has no further effect.
type Ask struct {
	_msgpack       struct{}      `msgpack:",as_array"` //nolint:unused // read by msgpack
	Request        string        `msgpack:"request"`
	Cell           string        `msgpack:"cell"`
	Class          string        `msgpack:"class"`
	Organisation   string        `msgpack:"org"`
	Prompt         int           `msgpack:"prompt"`   // tokens, estimated by the entry
	Output         int           `msgpack:"output"`   // maximum tokens that the caller allows; 0 if not given
	Deadline       time.Duration `msgpack:"deadline"` // time left
	Waited         time.Duration `msgpack:"waited"`
	Prefix         uint64        `msgpack:"prefix"` // hash of organisation and prompt prefix; 0 if none
	Exclude        []string      `msgpack:"exclude"`
	Attempt        uint64        `msgpack:"attempt"` // grows with each Ask or Claim of an entry; the highest is the newest
	Epoch          uint64        `msgpack:"epoch"`   // highest that the entry has seen of the cell
	Made           int           `msgpack:"made"`    // tokens that earlier attempts generated and the entry kept
	NonPreemptible bool          `msgpack:"fixed"`
}

// Grant gives a waiting request one place on a worker.
type Grant struct {
	_msgpack struct{}      `msgpack:",as_array"` //nolint:unused // read by msgpack
	Request  string        `msgpack:"request"`
	Attempt  uint64        `msgpack:"attempt"`
	Cell     string        `msgpack:"cell"`
	Worker   string        `msgpack:"worker"`
	Epoch    uint64        `msgpack:"epoch"`
	Order    uint64        `msgpack:"order"` // grows with each grant of the cell
	Class    string        `msgpack:"class"`
	Wait     time.Duration `msgpack:"wait"` // expected wait of the next request of the class in the cell
}

// Refuse is the final answer to an Ask: the request was not run and may be
// asked again after RetryAfter.
type Refuse struct {
	_msgpack   struct{}      `msgpack:",as_array"` //nolint:unused // read by msgpack
	Request    string        `msgpack:"request"`
	Attempt    uint64        `msgpack:"attempt"`
	Cell       string        `msgpack:"cell"`
	Reason     string        `msgpack:"reason"`
	RetryAfter time.Duration `msgpack:"after"`
	Class      string        `msgpack:"class"`
	Wait       time.Duration `msgpack:"wait"` // as in Grant
}

// Preempt asks the entry to stop a request in flight and to ask again.
type Preempt struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Request  string   `msgpack:"request"`
	Attempt  uint64   `msgpack:"attempt"`
	Cell     string   `msgpack:"cell"`
}

// Progress reports the tokens that a request in flight has generated, and
// renews its grant.
type Progress struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Request  string   `msgpack:"request"`
	Attempt  uint64   `msgpack:"attempt"`
	Cell     string   `msgpack:"cell"`
	Tokens   int      `msgpack:"tokens"`
}

// Done gives a place back.
type Done struct {
	_msgpack struct{}      `msgpack:",as_array"` //nolint:unused // read by msgpack
	Request  string        `msgpack:"request"`
	Attempt  uint64        `msgpack:"attempt"`
	Cell     string        `msgpack:"cell"`
	Worker   string        `msgpack:"worker"`
	Tokens   int           `msgpack:"tokens"`
	First    time.Duration `msgpack:"first"` // time to the first byte; 0 if there was none
	Failed   bool          `msgpack:"failed"`
}

// Cancel withdraws an Ask whose caller has gone.
type Cancel struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Request  string   `msgpack:"request"`
	Attempt  uint64   `msgpack:"attempt"`
	Cell     string   `msgpack:"cell"`
}

// Claim reports a grant in use, which a previous dispatcher gave, to the
// present one.
type Claim struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Ask      Ask      `msgpack:"ask"`
	Worker   string   `msgpack:"worker"`
	Tokens   int      `msgpack:"tokens"`
}

// Moved answers a message for a cell that the receiver does not dispatch.
type Moved struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Request  string   `msgpack:"request"`
	Cell     string   `msgpack:"cell"`
	Owner    string   `msgpack:"owner"` // host that dispatches the cell
}

func (Ask) kind() string      { return "ask" }
func (Grant) kind() string    { return "grant" }
func (Refuse) kind() string   { return "refuse" }
func (Preempt) kind() string  { return "preempt" }
func (Progress) kind() string { return "progress" }
func (Done) kind() string     { return "done" }
func (Cancel) kind() string   { return "cancel" }
func (Claim) kind() string    { return "claim" }
func (Moved) kind() string    { return "moved" }

// Envelope is the content of one frame, with its sender.
type Envelope struct {
	From        string
	Incarnation uint64 // of the sender's messenger
	Sequence    uint64
	Generation  uint64 // of the sender's configuration in force
	Kind        string
	Body        []byte
}

// Message decodes the envelope's body.
func (e Envelope) Message() (Message, error) {
	switch e.Kind {
	case "ask":
		return decode[Ask](e)
	case "grant":
		return decode[Grant](e)
	case "refuse":
		return decode[Refuse](e)
	case "preempt":
		return decode[Preempt](e)
	case "progress":
		return decode[Progress](e)
	case "done":
		return decode[Done](e)
	case "cancel":
		return decode[Cancel](e)
	case "claim":
		return decode[Claim](e)
	case "moved":
		return decode[Moved](e)
	case "borrow":
		return decode[Borrow](e)
	case "lend":
		return decode[Lend](e)
	case kindConfigRequest:
		return decode[ConfigRequest](e)
	case kindConfigReply:
		return decode[ConfigReply](e)
	case kindFlightUpdate:
		return decode[FlightUpdate](e)
	case kindPlacementRequest:
		return decode[PlacementRequest](e)
	case kindPlacementReply:
		return decode[PlacementReply](e)
	case kindListSnapshot:
		return decode[ListSnapshot](e)
	case kindListUpdate:
		return decode[ListUpdate](e)
	case kindWorkerReport:
		return decode[WorkerReport](e)
	case kindQuarantine:
		return decode[Quarantine](e)
	case kindReportsFlush:
		return decode[ReportsFlush](e)
	case kindReportsFlushed:
		return decode[ReportsFlushed](e)
	case kindLeavingWorkers:
		return decode[LeavingWorkers](e)
	case kindWorkerBackoff:
		return decode[WorkerBackoff](e)
	case kindStreamOrigins:
		return decode[StreamOrigins](e)
	case kindListedOrigins:
		return decode[ListedOrigins](e)
	case kindOriginRequest:
		return decode[OriginRequest](e)
	case kindOriginReply:
		return decode[OriginReply](e)
	case kindRepeatBorrow:
		return decode[RepeatBorrow](e)
	case kindRepeatLend:
		return decode[RepeatLend](e)
	case kindRepeatReturn:
		return decode[RepeatReturn](e)
	case kindRepeatArrived:
		return decode[RepeatArrived](e)
	case kindBoundRequest:
		return decode[BoundRequest](e)
	default:
		if m, ok, err := decodeMembership(e); ok {
			return m, err
		}
		if m, ok, err := decodeOnce(e); ok {
			return m, err
		}
		return nil, fmt.Errorf("%w: %q", ErrUnknownKind, e.Kind)
	}
}

func decode[M Message](e Envelope) (Message, error) {
	var m M
	if err := unmarshal(e.Body, &m); err != nil {
		return nil, fmt.Errorf("%w: %s: %v", ErrFrame, e.Kind, err)
	}
	return m, nil
}
