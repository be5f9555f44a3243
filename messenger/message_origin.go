package messenger

import "time"

const (
	kindStreamOrigins = "began"
	kindOriginRequest = "whobegan"
	kindOriginReply   = "hasbegun"
	kindListedOrigins = "beganlisted"
)

// OriginsFeature is the name of a worker in a WorkerLimit that states that its sender reads
// StreamOrigins, OriginRequest and OriginReply. Hosts of an older version know no worker of
// that name, and ignore the entry.
const OriginsFeature = "feature/origins"

// StreamOrigins reports which workers began the streams that a host carries.
type StreamOrigins struct {
	_msgpack struct{}       `msgpack:",as_array"` //nolint:unused // read by msgpack
	Streams  []StreamOrigin `msgpack:"streams"`
}

// StreamOrigin states which worker began a stream; see resumer.Record.
type StreamOrigin struct {
	_msgpack    struct{}      `msgpack:",as_array"` //nolint:unused // read by msgpack
	Key         uint64        `msgpack:"key"`
	Service     string        `msgpack:"service"`
	Worker      string        `msgpack:"worker"`
	Incarnation string        `msgpack:"incarnation"`
	Version     string        `msgpack:"version"`
	Host        string        `msgpack:"host"` // that carried its first event
	Age         time.Duration `msgpack:"age"`
}

// ListedOrigins states what was listed of the workers that began streams, where it is not certain
// that it was this start of them. It follows the message that has these streams without it.
type ListedOrigins struct {
	_msgpack struct{}       `msgpack:",as_array"` //nolint:unused // read by msgpack
	Streams  []StreamOrigin `msgpack:"streams"`
}

// OriginRequest asks a host which workers began streams, and which software served in services.
type OriginRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Reply    string   `msgpack:"reply"`     // address to answer, IP:port
	Keys     []uint64 `msgpack:"keys"`
	Services []string `msgpack:"services"`
}

// OriginReply answers an OriginRequest.
type OriginReply struct {
	_msgpack  struct{}          `msgpack:",as_array"` //nolint:unused // read by msgpack
	Streams   []StreamOrigin    `msgpack:"streams"`
	Unknown   []uint64          `msgpack:"unknown"`
	Histories []SoftwareHistory `msgpack:"histories"`
}

// SoftwareHistory is the software that served in a service; see resumer.History.
type SoftwareHistory struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Service  string   `msgpack:"service"`
	Software []string `msgpack:"software"`
	Complete bool     `msgpack:"complete"`
	Fresh    bool     `msgpack:"fresh"`
}

func (StreamOrigins) kind() string { return kindStreamOrigins }
func (OriginRequest) kind() string { return kindOriginRequest }
func (OriginReply) kind() string   { return kindOriginReply }
func (ListedOrigins) kind() string { return kindListedOrigins }
