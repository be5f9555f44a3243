package publisher

import "github.com/cicadawood/cicadawood/loader"

// Input is what a Tracker learns.
type Input interface{ input() }

// HeadRead is the platform's head; the zero Head where nothing was pushed yet.
type HeadRead struct{ Head Head }

// HeadUnchanged is the platform's word that the head is still the one read last.
type HeadUnchanged struct{}

// HeadInvalid is a platform's head that can't be read as one.
type HeadInvalid struct{ Err error }

// HeadReadFailed is a read of the platform that failed.
type HeadReadFailed struct{ Err error }

// GenerationReceived is a frame from another host, which carries its generation.
type GenerationReceived struct {
	Peer       string
	Generation uint64
}

// HeadReceived is a head that another host sent.
type HeadReceived struct {
	Peer string
	Head Head
}

// Tick is the passing of time.
type Tick struct{}

func (HeadRead) input()           {}
func (HeadUnchanged) input()      {}
func (HeadInvalid) input()        {}
func (HeadReadFailed) input()     {}
func (GenerationReceived) input() {}
func (HeadReceived) input()       {}
func (Tick) input()               {}

// Output is what a Tracker wants done.
type Output interface{ output() }

// ReadPlatform wants the platform read; one of the Head inputs answers it.
type ReadPlatform struct{}

// RequestHead wants a peer's head; Peer "" stands for a few of them.
type RequestHead struct {
	Peer string
	Have uint64
}

// Enforce puts a configuration in force.
type Enforce struct {
	Head   Head
	Folder *loader.Folder
}

// SetReady tells the platform's balancer.
type SetReady struct{ Ready bool }

// Report is a line for the log.
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
