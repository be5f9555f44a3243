package publisher

import "github.com/cicadawood/cicadawood/loader"

// Input is an event that a Tracker handles.
type Input interface{ input() }

// HeadRead is the head read from the platform; the zero Head if nothing was pushed yet.
type HeadRead struct{ Head Head }

// HeadUnchanged reports that the platform's head is still the one that was read last.
type HeadUnchanged struct{}

// HeadInvalid reports an object in the platform that can't be decoded as a head.
type HeadInvalid struct{ Err error }

// HeadReadFailed reports a failed read of the platform.
type HeadReadFailed struct{ Err error }

// GenerationReceived is the generation that another host sent in a frame.
type GenerationReceived struct {
	Peer       string
	Generation uint64
}

// HeadReceived is a head that another host sent; the zero Head if it has none to send.
type HeadReceived struct {
	Peer string
	Head Head
}

// Tick is sent periodically and triggers the actions that are due.
type Tick struct{}

func (HeadRead) input()           {}
func (HeadUnchanged) input()      {}
func (HeadInvalid) input()        {}
func (HeadReadFailed) input()     {}
func (GenerationReceived) input() {}
func (HeadReceived) input()       {}
func (Tick) input()               {}

// Output is an action that a Tracker requests.
type Output interface{ output() }

// ReadPlatform requests a read of the platform. The reply is HeadRead, HeadUnchanged,
// HeadInvalid or HeadReadFailed.
type ReadPlatform struct{}

// RequestHead asks a peer, or a few of them if Peer is empty, for a head newer than Have.
type RequestHead struct {
	Peer string
	Have uint64
}

// Enforce puts a configuration in force.
type Enforce struct {
	Head   Head
	Folder *loader.Folder
}

// SetReady sets the readiness that the platform's load balancer sees.
type SetReady struct{ Ready bool }

// Report is an event to log.
type Report struct {
	Event      string
	Generation uint64
	Err        error
}

func (ReadPlatform) output() {}
func (RequestHead) output()  {}
func (Enforce) output()      {}
func (SetReady) output()     {}
func (Report) output()       {}
