package messenger

// Borrow asks the owner of an organisation's limits for a part of them.
type Borrow struct {
	_msgpack     struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Organisation string   `msgpack:"org"`
	Sequence     uint64   `msgpack:"sequence"`
	Requests     float64  `msgpack:"requests"` // a second, wanted here
	Tokens       float64  `msgpack:"tokens"`   // a second, wanted here
}

// Lend answers Borrow: what may be used until limiter.LoanTerm after the request.
type Lend struct {
	_msgpack     struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Organisation string   `msgpack:"org"`
	Sequence     uint64   `msgpack:"sequence"`
	Requests     float64  `msgpack:"requests"`
	Tokens       float64  `msgpack:"tokens"`
}

func (Borrow) kind() string { return "borrow" }
func (Lend) kind() string   { return "lend" }
