package runner

import (
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/resumer"
)

// boundRequested is another host's request for a stream that goes on only at one software.
type boundRequested struct {
	from    string
	request messenger.BoundRequest
}

// encodeBound returns the message for a request: one of its own if only deciders that know the
// condition may answer it.
func encodeBound(m messenger.PlacementRequest, bound *resumer.Worker) messenger.Message {
	if bound == nil {
		return m
	}
	return messenger.BoundRequest{Request: m, Worker: bound.Name, Incarnation: bound.Incarnation, Version: bound.Version}
}

func decodeBound(m messenger.BoundRequest) placer.Request {
	r := decodeRequest(m.Request)
	r.Resumed = true
	r.Bound = &resumer.Worker{Service: r.Service, Name: m.Worker, Incarnation: m.Incarnation, Version: m.Version}
	return r
}

func (boundRequested) event() {}
