package server

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"
)

// probeInterval is the interval at which the host measures how long it takes until it reads what has
// arrived.
const probeInterval = 25 * time.Millisecond

// probeLag measures the time until the host reads what has arrived, through a pipe to itself, until
// ctx ends.
func (s *Server) probeLag(ctx context.Context) {
	r, w, err := os.Pipe()
	if err != nil {
		s.log.Warn("lag is not measured", zap.Error(err))
		return
	}
	defer r.Close()
	sent := make(chan time.Time, 1)
	go func() {
		defer w.Close()
		ticks := time.NewTicker(probeInterval)
		defer ticks.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticks.C:
			}
			select {
			case sent <- time.Now():
				_, _ = w.Write([]byte{0}) // a full pipe can't be: one byte is on its way at most
			default: // the last one was not read yet
			}
		}
	}()
	var b [1]byte
	for {
		if _, err := r.Read(b[:]); err != nil {
			return
		}
		now := time.Now()
		s.connections.Gate.Measure(now, now.Sub(<-sent))
	}
}
