package messenger

// Heartbeat is a heartbeat: the sender, in this incarnation, was alive when it left.
type Heartbeat struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Incarnation uint64
	Digest      uint64 // of the sender's roster
	Reply       bool   // answers a Probe: the receiver's incarnation counts as alive here
}

// Probe asks for a Beat at once. It introduces its sender, which the receiver
// may not know.
type Probe struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Self     Fact
	Digest   uint64
}

// Suspect tells the other observers of a host that the sender hears it no more.
type Suspect struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Host        string
	Incarnation uint64
}

// Refute refutes a Suspect: the sender hears the host itself.
type Refute struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Host        string
	Incarnation uint64
}

// Fact is what is known of one host. Of two facts the one with the higher
// incarnation holds, then the one with the higher status.
type Fact struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Name        string
	Zone        string
	Region      string
	Control     string
	Admin       string
	Incarnation uint64
	Status      uint8
	Weight      int // hundredths of a core that the host has; 0 where it does not say
}

// RosterUpdate passes facts on.
type RosterUpdate struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Facts    []Fact
	Full     bool // all that the sender knows: answer with what it lacks
}

// Sync asks for all facts.
type Sync struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
}

// WorkerRefused tells a dispatcher that a backend server answered a call with "not run".
type WorkerRefused struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Address  string
}

func (WorkerRefused) kind() string { return "away" }
func (Heartbeat) kind() string     { return "beat" }
func (Probe) kind() string         { return "probe2" }
func (Suspect) kind() string       { return "suspect" }
func (Refute) kind() string        { return "vouch" }
func (RosterUpdate) kind() string  { return "news2" }
func (Sync) kind() string          { return "sync" }

// decodeMember decodes the messages of this file; ok is false for others.
func decodeMember(e Envelope) (m Message, ok bool, err error) {
	switch e.Kind {
	case "away":
		m, err = decode[WorkerRefused](e)
	case "beat":
		m, err = decode[Heartbeat](e)
	case "probe2":
		m, err = decode[Probe](e)
	case "suspect":
		m, err = decode[Suspect](e)
	case "vouch":
		m, err = decode[Refute](e)
	case "news2":
		m, err = decode[RosterUpdate](e)
	case "sync":
		m, err = decode[Sync](e)
	default:
		return nil, false, nil
	}
	return m, true, err
}
