package messenger

const (
	kindFetch   = "fetch"
	kindFetched = "fetched"
)

// ConfigRequest asks a host for the configuration that it has in force. It is answered
// with a ConfigReply, also where there is nothing newer than Have.
type ConfigRequest struct {
	Have uint64 `msgpack:"have"` // generation that the sender has in force; 0 for none
	// Reply is the sender's control address: a host that has just started may
	// not stand in the receiver's roster yet.
	Reply string `msgpack:"reply"`
}

// ConfigReply answers a ConfigRequest with the packed configuration in force, of at most
// publisher.MaxObject bytes, which fits in one frame. Packed is empty where the
// sender has nothing newer than the request named.
type ConfigReply struct {
	Packed []byte `msgpack:"packed"`
}

func (ConfigRequest) kind() string { return kindFetch }
func (ConfigReply) kind() string   { return kindFetched }
