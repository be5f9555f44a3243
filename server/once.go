package server

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/http"
	"time"

	"github.com/cicadawood/cicadawood/forwarder"
	"github.com/cicadawood/cicadawood/keeper"
	"github.com/cicadawood/cicadawood/messenger"
)

// HeaderKey names an operation that must not be repeated. It is forwarded to the backend
// server unchanged.
const HeaderKey = "Idempotency-Key"

// RunYes means that the call ran. It is sent for a repeated key whose first answer is no
// longer stored.
const RunYes Run = "yes"

const maxKeyBytes = 255

// OnceRunner runs calls that must not be repeated.
type OnceRunner interface {
	// RunOnce returns the outcome of a call shortly after its deadline at the latest, or
	// an error if ctx ends first. The end of ctx does not affect the call.
	RunOnce(ctx context.Context, m messenger.Once) (messenger.OnceVerdict, error)
}

// SetOnce sets the runner of calls that must not be repeated. It must be called before
// Serve.
func (s *Server) SetOnce(o OnceRunner) { s.onceRunner = o }

// serveOnce passes a call that must not be repeated to its keeper. The answer is sent as
// a whole, even if the caller asked for a stream: only a whole answer can be sent again
// for a repeated key.
func (s *Server) serveOnce(ctx context.Context, d *delivery, q *request, c forwarder.Call) *failure {
	key, fail := callerKey(c.Header)
	if fail != nil {
		return fail
	}
	d.w.Header().Set(HeaderKey, key)
	if fail := s.quarantinedFailure(q); fail != nil {
		return fail
	}
	if limit := s.limits.Once.MaxBody; int64(len(c.Body)) > limit {
		return &failure{status: http.StatusRequestEntityTooLarge, code: "body_too_large", message: fmt.Sprintf("the body is over %d bytes, the bound of a call that must not be repeated", limit), run: RunNo}
	}
	id := keeper.NewID(q.organisation, q.service, key)
	hash := keeper.Hash([]byte(c.Method), []byte(c.Path), c.Body)
	v, err := s.onceRunner.RunOnce(ctx, messenger.Once{
		Request: q.id, ID: id[:], Hash: hash[:], KeyTime: keeper.KeyTimeOf(key), Service: q.service, Ask: q.ask(0, 0, nil), Tier: q.tier,
		Method: c.Method, Path: c.Path, Header: c.Header, Body: c.Body,
	})
	if err != nil { // the caller disconnected; its call continues
		return &failure{status: statusGone, code: codeCallerGone, message: "the caller went away", run: RunUnknown}
	}
	if keeper.Kind(v.Kind) == keeper.KindRan {
		// A caller that has disconnected gets its answer when it repeats the key.
		_ = writeWhole(d, &forwarder.Answer{Status: v.Status, Header: v.Header, Length: -1}, v.Body)
		return nil
	}
	return verdictFailure(v)
}

// hasKey reports whether the caller sent a key.
func hasKey(h http.Header) bool { return len(h.Values(HeaderKey)) > 0 }

// assignKey sets a generated key on a call without one. As no other party knows the key,
// the call can't be repeated by its caller and needs no keeper and no record: this host
// sends it once and never again, even during an outage of the platform. The key is not
// returned to the caller, because repeating it would run the call again.
func assignKey(h http.Header) { h.Set(HeaderKey, newKey(time.Now())) }

// callerKey returns the caller's key.
func callerKey(h http.Header) (string, *failure) {
	keys := h.Values(HeaderKey)
	if len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxKeyBytes {
		return "", &failure{status: http.StatusBadRequest, code: "bad_key", message: fmt.Sprintf("%s is empty, given twice or over %d bytes", HeaderKey, maxKeyBytes), run: RunNo}
	}
	return keys[0], nil
}

// newKey returns a UUID of version 7 (RFC 9562).
func newKey(now time.Time) string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	binary.BigEndian.PutUint64(b[:8], uint64(now.UnixMilli())<<16|uint64(b[6])<<8|uint64(b[7]))
	b[6] = b[6]&0x0f | 0x70
	b[8] = b[8]&0x3f | 0x80
	x := hex.EncodeToString(b[:])
	return x[:8] + "-" + x[8:12] + "-" + x[12:16] + "-" + x[16:20] + "-" + x[20:]
}

// verdictFailure returns the response for a call without an answer. It distinguishes
// three outcomes: ran, not run, and may have run.
func verdictFailure(v messenger.OnceVerdict) *failure {
	f := &failure{status: http.StatusBadGateway, code: v.Reason, run: RunUnknown}
	switch keeper.Kind(v.Kind) {
	case keeper.KindGone:
		f.status, f.code, f.run = http.StatusConflict, "answer_not_kept", RunYes
		f.message = "the call with this key ran; its answer is not kept: ask the service"
	case keeper.KindReused:
		f.status, f.code, f.run = http.StatusUnprocessableEntity, "key_reused", RunNo
		f.message = "the key belongs to another call; this one was not run"
	case keeper.KindNotRun, keeper.KindMoved:
		f.status, f.run, f.retryAfter = http.StatusServiceUnavailable, RunNo, max(v.RetryAfter, time.Millisecond)
		f.message = "the request was not run: " + v.Reason
		if v.Reason == keeper.ReasonFuture {
			f.status, f.retryAfter = http.StatusBadRequest, 0
		}
	default:
		if f.code == "" {
			f.code = "may_have_run"
		}
		if v.Reason == keeper.ReasonDeadline {
			f.status = http.StatusGatewayTimeout
		}
		f.message = "the call may have run: ask the service, do not repeat it"
		if v.RetryAfter > 0 { // the keeper can't read its log now, but will be able to later
			f.status, f.retryAfter = http.StatusServiceUnavailable, v.RetryAfter
			f.message = "the call may have run before: ask again with the same key"
		}
	}
	return f
}
