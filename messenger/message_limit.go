package messenger

// Borrow asks the owner of an organisation's limits for a loan.
type Borrow struct {
	_msgpack     struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Organisation string   `msgpack:"org"`
	Sequence     uint64   `msgpack:"sequence"`
	Requests     float64  `msgpack:"requests"` // per second, wanted here
	Tokens       float64  `msgpack:"tokens"`   // per second, wanted here
}

// Lend answers a Borrow with the loan, which may be used until limiter.LoanTerm
// after the request.
type Lend struct {
	_msgpack     struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Organisation string   `msgpack:"org"`
	Sequence     uint64   `msgpack:"sequence"`
	Requests     float64  `msgpack:"requests"` // per second
	Tokens       float64  `msgpack:"tokens"`   // per second
}

func (Borrow) kind() string { return "borrow" }
func (Lend) kind() string   { return "lend" }
