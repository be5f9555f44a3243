package messenger

// Heartbeat reports that its sender, in this incarnation, was alive when it was
// sent.
type Heartbeat struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Incarnation uint64
	Digest      uint64 // of the sender's roster
	Reply       bool   // it answers a Probe: the sender counts the receiver's incarnation as alive
}

// Probe asks for an immediate Heartbeat. It introduces its sender, which the
// receiver may not know.
type Probe struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Self     Fact
	Digest   uint64
}

// Suspect reports to the other observers of a host that the sender no longer
// receives anything from it.
type Suspect struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Host        string
	Incarnation uint64
}

// Refute contradicts a Suspect: its sender still receives from the host.
type Refute struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Host        string
	Incarnation uint64
}

// Fact is the known state of one host. Of two facts, the one with the higher
// incarnation is valid, or with equal incarnations the one with the higher
// status.
type Fact struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Name        string
	Zone        string
	Region      string
	Control     string // address of its messenger
	Admin       string // address of its admin API
	Incarnation uint64
	Status      uint8
	Weight      int // hundredths of a core that the host has; 0 if unknown
}

// RosterUpdate passes facts on to another host.
type RosterUpdate struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Facts    []Fact
	Full     bool // all facts that the sender has; the receiver answers with those that are missing
}

// Sync asks for all facts.
type Sync struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
}

// WorkerRefused reports to a dispatcher that a backend server refused a call
// with "not run".
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

// decodeMembership decodes the messages of this file; ok is false for other
// kinds.
func decodeMembership(e Envelope) (m Message, ok bool, err error) {
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
