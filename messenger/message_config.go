package messenger

const (
	kindConfigRequest = "fetch"
	kindConfigReply   = "fetched"
)

// ConfigRequest asks a host for its configuration in force. It is always
// answered with a ConfigReply, even if there is nothing newer than Have.
type ConfigRequest struct {
	Have uint64 `msgpack:"have"` // generation in force at the sender; 0 for none
	// Reply is the sender's control address: a host that has just started may
	// not be on the receiver's roster yet.
	Reply string `msgpack:"reply"`
}

// ConfigReply answers a ConfigRequest with the packed configuration in force,
// of at most publisher.MaxObjectBytes bytes, which fits into one frame. Packed is
// empty if the sender has nothing newer than the request named.
type ConfigReply struct {
	Packed []byte `msgpack:"packed"`
}

func (ConfigRequest) kind() string { return kindConfigRequest }
func (ConfigReply) kind() string   { return kindConfigReply }
