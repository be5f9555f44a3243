package messenger

import "time"

// Once passes a call that must not be repeated from its entry to the keeper of
// its key. A Once that is repeated with the same Request has no further effect.
type Once struct {
	_msgpack  struct{}            `msgpack:",as_array"` //nolint:unused // read by msgpack
	Request   string              `msgpack:"request"`
	Partition int                 `msgpack:"part"`
	ID        []byte              `msgpack:"id"`    // of the operation: 16 bytes
	Hash      []byte              `msgpack:"hash"`  // of method, path and body: 16 bytes
	KeyTime   int64               `msgpack:"dated"` // Unix milliseconds in the key; 0 if it has none
	Service   string              `msgpack:"service"`
	Ask       Ask                 `msgpack:"ask"` // its Deadline is the time left
	Tier      int                 `msgpack:"tier"`
	Method    string              `msgpack:"method"`
	Path      string              `msgpack:"path"`
	Header    map[string][]string `msgpack:"header"`
	Body      []byte              `msgpack:"body"`
}

// OnceReady asks the entry whether it still waits for a request.
type OnceReady struct {
	_msgpack  struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Request   string   `msgpack:"request"`
	Partition int      `msgpack:"part"`
	ID        []byte   `msgpack:"id"`
	Order     uint64   `msgpack:"order"` // grows with each operation of the partition
}

// OnceReadyReply answers an OnceReady.
type OnceReadyReply struct {
	_msgpack  struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Request   string   `msgpack:"request"`
	Partition int      `msgpack:"part"`
	ID        []byte   `msgpack:"id"`
	OK        bool     `msgpack:"ok"` // the entry still waits
}

// OnceVerdict is a keeper's answer to a Once. Kind is a keeper.Kind.
type OnceVerdict struct {
	_msgpack   struct{}            `msgpack:",as_array"` //nolint:unused // read by msgpack
	Request    string              `msgpack:"request"`
	Kind       uint8               `msgpack:"kind"`
	Reason     string              `msgpack:"reason"`
	RetryAfter time.Duration       `msgpack:"after"`
	Order      uint64              `msgpack:"order"` // 0 if the keeper has not read its log yet
	Status     int                 `msgpack:"status"`
	Header     map[string][]string `msgpack:"header"`
	Body       []byte              `msgpack:"body"`
}

func (Once) kind() string           { return "once" }
func (OnceReady) kind() string      { return "onceready" }
func (OnceReadyReply) kind() string { return "oncego" }
func (OnceVerdict) kind() string    { return "onceverdict" }

// decodeOnce decodes the messages of this file; ok is false for other kinds.
func decodeOnce(e Envelope) (m Message, ok bool, err error) {
	switch e.Kind {
	case "once":
		m, err = decode[Once](e)
	case "onceready":
		m, err = decode[OnceReady](e)
	case "oncego":
		m, err = decode[OnceReadyReply](e)
	case "onceverdict":
		m, err = decode[OnceVerdict](e)
	default:
		return nil, false, nil
	}
	return m, true, err
}
