// Package messenger carries typed messages between hosts: msgpack bodies in
// length-prefixed frames over TCP.
//
// A connection carries one sender's frames one way and their acknowledgements
// the other. It opens with a hello (name, incarnation) and a welcome (the
// receiver's incarnation, the last sequence it has). A frame is a 4-byte
// big-endian length and a msgpack array: sequence, configuration generation of
// the sender, kind, body. An acknowledgement is the last sequence, 8 bytes big-endian.
//
// Bodies are arrays of the fields in their order: names would be most of a small
// message. So a message that gets a field gets a new kind too, as a host of the
// version before can't read the longer array; maps by the fields' names are read.
package messenger

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Message is one of the message types of this package.
type Message interface{ kind() string }

// Ask asks a cell's dispatcher for a worker. An Ask that is repeated with the
// same Request changes nothing.
type Ask struct {
	_msgpack       struct{}      `msgpack:",as_array"` //nolint:unused // read by msgpack
	Request        string        `msgpack:"request"`
	Cell           string        `msgpack:"cell"`
	Class          string        `msgpack:"class"`
	Organisation   string        `msgpack:"org"`
	Prompt         int           `msgpack:"prompt"` // tokens, estimated by the entry
	Output         int           `msgpack:"output"` // most tokens the caller allows; 0 where none was given
	Deadline       time.Duration `msgpack:"deadline"`
	Waited         time.Duration `msgpack:"waited"`
	Prefix         uint64        `msgpack:"prefix"` // hash of organisation and prompt prefix; 0 for none
	Exclude        []string      `msgpack:"exclude"`
	Attempt        uint64        `msgpack:"attempt"` // grows with each Ask or Claim of an entry; a later one is newer
	Epoch          uint64        `msgpack:"epoch"`   // highest that the entry has seen of the cell
	Made           int           `msgpack:"made"`    // tokens that earlier attempts made and the entry kept
	NonPreemptible bool          `msgpack:"fixed"`   // must not be preempted
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
	Wait     time.Duration `msgpack:"wait"` // expected of the cell's next request of the class
}

// Refuse is the final answer to an Ask: it was not run, come back after After.
type Refuse struct {
	_msgpack struct{}      `msgpack:",as_array"` //nolint:unused // read by msgpack
	Request  string        `msgpack:"request"`
	Attempt  uint64        `msgpack:"attempt"`
	Cell     string        `msgpack:"cell"`
	Reason   string        `msgpack:"reason"`
	After    time.Duration `msgpack:"after"`
	Class    string        `msgpack:"class"`
	Wait     time.Duration `msgpack:"wait"` // as in Grant
}

// Preempt asks the entry to stop a request in flight and to ask again.
type Preempt struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Request  string   `msgpack:"request"`
	Attempt  uint64   `msgpack:"attempt"`
	Cell     string   `msgpack:"cell"`
}

// Progress corrects the estimate of a request in flight.
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
	First    time.Duration `msgpack:"first"` // to the first byte; 0 where none came
	Failed   bool          `msgpack:"failed"`
}

// Cancel withdraws an Ask whose caller has gone.
type Cancel struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Request  string   `msgpack:"request"`
	Attempt  uint64   `msgpack:"attempt"`
	Cell     string   `msgpack:"cell"`
}

// Claim tells a new dispatcher of a grant in use that an earlier one gave.
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
	Owner    string   `msgpack:"owner"`
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

// Envelope is one frame's content, with its sender.
type Envelope struct {
	From        string
	Incarnation uint64 // of the sender's messenger
	Sequence    uint64
	Generation  uint64 // of the configuration that the sender has in force
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
	case kindFetch:
		return decode[ConfigRequest](e)
	case kindFetched:
		return decode[ConfigReply](e)
	case kindShared:
		return decode[FlightUpdate](e)
	case kindSeek:
		return decode[PlacementRequest](e)
	case kindSought:
		return decode[PlacementReply](e)
	case kindEntries:
		return decode[ListSnapshot](e)
	case kindWord:
		return decode[ListUpdate](e)
	case kindMark:
		return decode[WorkerReport](e)
	case kindQuarantine:
		return decode[Quarantine](e)
	default:
		if m, ok, err := decodeMember(e); ok {
			return m, err
		}
		if m, ok, err := decodeOnce(e); ok {
			return m, err
		}
		return nil, fmt.Errorf("%w: kind %q", ErrFrame, e.Kind)
	}
}

func decode[M Message](e Envelope) (Message, error) {
	var m M
	if err := msgpack.Unmarshal(e.Body, &m); err != nil {
		return nil, fmt.Errorf("%w: %s: %v", ErrFrame, e.Kind, err)
	}
	return m, nil
}
