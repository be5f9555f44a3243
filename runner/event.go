package runner

import (
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/server"
)

// event is an input of the control goroutine, or of the one that selects workers for host
// routes.
type event interface{ event() }

// frameReceived is a message from another host.
type frameReceived struct {
	from    string
	message messenger.Message
}

// placeRequested is a request of this host's entry for a place.
type placeRequested struct {
	service string
	ask     messenger.Ask
	reply   chan<- placeReply
}

// placeReply answers placeRequested with a Place or a Refusal.
type placeReply struct {
	place   server.Place
	refusal *server.Refusal
}

// placeCanceled withdraws a request whose caller disconnected while it waited.
type placeCanceled struct{ request string }

// placeReleased returns a place to its dispatcher.
type placeReleased struct {
	place server.Place
	usage server.Usage
}

// progressReported has the number of tokens that a stream has produced so far.
type progressReported struct {
	place  server.Place
	tokens int
}

// configChanged puts a configuration in force.
type configChanged struct {
	folder     *loader.Folder
	generation uint64
}

// rosterChanged is a new roster.
type rosterChanged struct{ roster registrar.Roster }

// stateRequested asks for a copy of the control state.
type stateRequested struct{ reply chan<- State }

func (frameReceived) event()    {}
func (placeRequested) event()   {}
func (placeCanceled) event()    {}
func (placeReleased) event()    {}
func (progressReported) event() {}
func (configChanged) event()    {}
func (rosterChanged) event()    {}
func (stateRequested) event()   {}
