// Package runner composes one host: its roles, its adapters, and the goroutine
// that owns all control state.
package runner

import (
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/server"
)

// event is what the control goroutine takes in.
type event interface{ event() }

// frameArrived is a message from another host.
type frameArrived struct {
	from    string
	message messenger.Message
}

// placeAsked is a request of this host's entry that wants a place.
type placeAsked struct {
	service string
	ask     messenger.Ask
	reply   chan<- placeReply
}

// placeReply answers placeAsked: a Place, or a Refusal.
type placeReply struct {
	place   server.Place
	refusal *server.Refusal
}

// placeLeft is a request whose caller went away while it waited.
type placeLeft struct{ request string }

// placeDone gives a place back.
type placeDone struct {
	place server.Place
	use   server.Usage
}

// placeProgressed tells of a stream's tokens so far.
type placeProgressed struct {
	place  server.Place
	tokens int
}

// folderChanged is a configuration that came in force.
type folderChanged struct {
	folder     *loader.Folder
	generation uint64
}

// rosterChanged is a new roster.
type rosterChanged struct{ roster registrar.Roster }

// stateAsked wants a copy of the control state.
type stateAsked struct{ reply chan<- State }

func (frameArrived) event()    {}
func (placeAsked) event()      {}
func (placeLeft) event()       {}
func (placeDone) event()       {}
func (placeProgressed) event() {}
func (folderChanged) event()   {}
func (rosterChanged) event()   {}
func (stateAsked) event()      {}
