package messenger

// RepeatBorrow asks another host for a part of its budget of repeats; see budgeter.Loan.
type RepeatBorrow struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Service  string   `msgpack:"service"`
	Sequence uint64   `msgpack:"sequence"`
	Amount   float64  `msgpack:"amount"`  // repeats wanted
	Sharing  int      `msgpack:"sharing"` // hosts that the sender knows of
}

// RepeatLend answers a RepeatBorrow.
type RepeatLend struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Service  string   `msgpack:"service"`
	Sequence uint64   `msgpack:"sequence"`
	Amount   float64  `msgpack:"amount"`  // repeats lent; 0 is none
	Left     float64  `msgpack:"left"`    // repeats that the sender could still lend
	Sharing  int      `msgpack:"sharing"` // hosts that the sender knows of
}

// RepeatReturn gives back a part of a loan that its sender will not use.
type RepeatReturn struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Service  string   `msgpack:"service"`
	Sequence uint64   `msgpack:"sequence"` // of the RepeatBorrow
	Amount   float64  `msgpack:"amount"`   // repeats
}

// RepeatArrived states that a part of a loan was used, and that its repeats have arrived.
type RepeatArrived struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Service  string   `msgpack:"service"`
	Sequence uint64   `msgpack:"sequence"` // of the RepeatBorrow
	Amount   float64  `msgpack:"amount"`   // repeats
}

const (
	kindRepeatBorrow  = "repeatborrow"
	kindRepeatLend    = "repeatlend"
	kindRepeatReturn  = "repeatreturn"
	kindRepeatArrived = "repeatarrived"
)

func (RepeatBorrow) kind() string  { return kindRepeatBorrow }
func (RepeatLend) kind() string    { return kindRepeatLend }
func (RepeatReturn) kind() string  { return kindRepeatReturn }
func (RepeatArrived) kind() string { return kindRepeatArrived }
