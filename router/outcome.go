package router

import (
	"context"
	"errors"
	"net/http"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/placer"
)

// outcome returns the outcome of a send, from which the placer assesses the worker.
func (t *transaction) outcome(caller context.Context, p Placement, err error) placer.Outcome {
	switch {
	case err == nil && t.ranToEnd():
		return placer.Answered
	case err == nil:
		return placer.Unproven
	case t.pathFailed(p, err), errors.Is(err, errOtherStart), errors.Is(err, errHostFull):
		return placer.Canceled
	case caller.Err() != nil, errors.Is(err, errCallerWrite):
		return placer.Canceled
	case errors.Is(err, errOtherWorker):
		return placer.WrongWorker
	case errors.Is(err, errNotRun):
		return placer.Refused
	case errors.Is(err, errWorkerFailed):
		return placer.Errored
	case errors.Is(err, connector.ErrClosedByPeer):
		return placer.Disconnected
	case errors.Is(err, errSilent), errors.Is(err, connector.ErrUnanswered), errors.Is(err, context.DeadlineExceeded):
		return placer.Silent
	}
	return placer.Broken
}

// ranToEnd reports whether the answer passed on shows that the worker ran the request to its end.
// A worker may reject a request without running it, and its crash may look like the end of an
// answer that ends with its connection.
func (t *transaction) ranToEnd() bool {
	ok := t.delivery.status >= http.StatusOK && t.delivery.status < http.StatusMultipleChoices
	return ok && t.framed && (!t.q.Stream || t.timeToFirst > 0)
}

// errOtherWorker accompanies errNotRun: the address now belongs to another worker.
var errOtherWorker = errors.New("another worker has the address")
