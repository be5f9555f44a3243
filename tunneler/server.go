package tunneler

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/reacher"
)

// Serve helps the host at the other end of a connection whose preface was read. r has the
// bytes that follow. It returns when the tunnel has ended; the caller closes the connection.
func (d *Dialer) Serve(raw net.Conn, r io.Reader) {
	var o open
	if err := raw.SetDeadline(time.Now().Add(openTimeout)); err != nil {
		d.log.Debug("tunnel", zap.String("state", "closed"), zap.Error(err))
		return
	}
	if _, err := messenger.ReadFrame(r, &o); err != nil {
		d.log.Debug("tunnel", zap.String("state", "unreadable"), zap.Error(err))
		return
	}
	worker, answer := d.admit(o)
	if worker != nil {
		defer worker.Close()
		defer d.serving.Add(-1)
	}
	d.metrics.served(answer.Reason)
	if _, err := messenger.WriteFrame(raw, answer); err != nil || worker == nil {
		d.logServed(o, answer, spliced{}, err)
		return
	}
	_ = raw.SetDeadline(time.Time{})
	if t, ok := raw.(*net.TCPConn); ok {
		if err := connector.SetUserTimeout(t, userTimeout); err != nil {
			d.log.Debug("tunnel", zap.String("state", "no user timeout"), zap.Error(err))
		}
	}
	d.logServed(o, answer, splice(raw, r, worker), nil)
}

// admit connects to the worker for an opener, if this host may help.
func (d *Dialer) admit(o open) (net.Conn, reply) {
	if d.stopping.Load() {
		return nil, reply{Reason: reacher.Stopping}
	}
	if r, ok := d.declines(time.Now(), o.Address); ok {
		return nil, r
	}
	if d.serving.Add(1) > int64(d.maxServed) {
		d.serving.Add(-1)
		return nil, reply{Reason: reacher.Full}
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(o.Timeout, connector.DialTimeout))
	defer cancel()
	worker, err := d.dialDirect(ctx, connector.Target{Address: o.Address, Request: o.Request})
	if err != nil {
		d.serving.Add(-1)
		return nil, reply{Reason: reacher.Unreached, Witness: d.witness(o.Address)}
	}
	return worker, reply{}
}

// declines returns why this host does not help to connect to a worker, if it knows without
// trying.
func (d *Dialer) declines(now time.Time, address string) (reply, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !d.table.Known(address):
		return reply{Reason: reacher.Unknown}, true
	case now.Before(d.resting[address]):
		return reply{Reason: reacher.Resting, Wait: d.resting[address].Sub(now)}, true
	case d.table.Lost(address) || d.table.Blocked(now, address) > 0:
		return reply{Reason: reacher.Unreached}, true
	}
	return reply{}, false
}

// witness reports whether this host can show that a worker is down that it could not connect
// to. If it has not connected to another one lately, it tries to.
func (d *Dialer) witness(address string) bool {
	d.mu.Lock()
	known := d.table.Witness(time.Now(), address)
	other, ok := d.table.Comparison(address)
	d.mu.Unlock()
	if known || !ok {
		return known
	}
	ctx, cancel := context.WithTimeout(context.Background(), raceDelay)
	defer cancel()
	conn, err := d.dialDirect(ctx, connector.Target{Address: other})
	if err != nil {
		return false
	}
	_ = conn.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Witness(time.Now(), address)
}

func (d *Dialer) logServed(o open, answer reply, s spliced, err error) {
	fields := []zap.Field{
		zap.String("request", o.Request), zap.String("from", o.From), zap.String("address", o.Address), zap.String("declined", string(answer.Reason)),
		zap.Duration("took", s.took), zap.Int64("sent", s.sent), zap.Int64("received", s.received), zap.String("ended", s.ended),
	}
	if err != nil {
		fields = append(fields, zap.Error(err))
	}
	d.log.Info("tunnel", fields...)
	d.metrics.bytes(s.sent + s.received)
}

// spliced is how a tunnel went, at the helper.
type spliced struct {
	took           time.Duration
	sent, received int64  // bytes to and from the worker
	ended          string // which end closed it: opener or worker
}

// splice passes bytes on until either end closes. If the opener does, the connection to the
// worker is closed at once, so that the worker drops the request.
func splice(opener net.Conn, fromOpener io.Reader, worker net.Conn) spliced {
	s := spliced{ended: "worker"}
	started := time.Now()
	var sent atomic.Int64
	var openerEnded atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		if passBytes(worker, fromOpener, &sent) {
			openerEnded.Store(true)
			_ = worker.Close()
		}
	}()
	s.received = passChunks(opener, worker)
	if openerEnded.Load() {
		s.ended = "opener"
	}
	_ = opener.Close()
	<-done
	s.sent, s.took = sent.Load(), time.Since(started)
	return s
}

// passBytes passes the opener's bytes on. It returns whether it was the opener that ended:
// a worker that reads no more may still answer.
func passBytes(worker io.Writer, fromOpener io.Reader, sent *atomic.Int64) bool {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := fromOpener.Read(buffer)
		if n > 0 {
			if _, err := worker.Write(buffer[:n]); err != nil {
				return false
			}
			sent.Add(int64(n))
		}
		if err != nil {
			return true
		}
	}
}

// passChunks passes the worker's bytes on in chunks, until its connection ends, and returns
// their number.
func passChunks(opener, worker net.Conn) int64 {
	var total int64
	buffer := make([]byte, chunkHeadBytes+bufferBytes)
	for {
		_ = worker.SetReadDeadline(time.Now().Add(aliveInterval))
		n, err := worker.Read(buffer[chunkHeadBytes:])
		total += int64(n)
		if n > 0 && !writeChunk(opener, buffer, chunkData, n) {
			return total
		}
		kind, goesOn := afterRead(n, err)
		if kind != chunkData && !writeChunk(opener, buffer, kind, 0) || !goesOn {
			return total
		}
	}
}

// afterRead returns the chunk that follows a read of the worker's bytes, chunkData for none,
// and whether to go on.
func afterRead(n int, err error) (chunkKind, bool) {
	var t net.Error
	switch {
	case err == nil:
		return chunkData, true
	case errors.As(err, &t) && t.Timeout():
		if n > 0 {
			return chunkData, true
		}
		return chunkAlive, true
	case errors.Is(err, io.EOF):
		return chunkEnd, false
	}
	return chunkReset, false
}

// writeChunk writes a chunk of n bytes, which follow the room for its head in buffer.
func writeChunk(opener net.Conn, buffer []byte, k chunkKind, n int) bool {
	putChunkHead(buffer, k, n)
	_ = opener.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := opener.Write(buffer[:chunkHeadBytes+n])
	return err == nil
}
