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

// HeaderKey names an operation that must not be repeated. It reaches the backend
// server as the caller sent it.
const HeaderKey = "Idempotency-Key"

// RunYes says that a call ran, on the answer to a repeated key whose first
// answer is not kept.
const RunYes Run = "yes"

const maxKey = 255 // bytes

// OnceRunner runs calls that must not be repeated.
type OnceRunner interface {
	// RunOnce returns what became of a call, at the latest shortly after its
	// deadline, or an error where ctx ends first. What ctx does changes nothing
	// about the call.
	RunOnce(ctx context.Context, m messenger.Once) (messenger.OnceVerdict, error)
}

// SetOnce sets what runs the calls that must not be repeated. It is called
// before Serve.
func (s *Server) SetOnce(o OnceRunner) { s.once = o }

// serveOnce hands a call that must not be repeated to its keeper. The whole
// answer comes back at once, also where the caller asked for a stream: only a
// whole answer can be given again to a repeated key.
func (s *Server) serveOnce(ctx context.Context, d *delivery, q *request, c forwarder.Call) *failure {
	key, fail := takeKey(c.Header)
	if fail != nil {
		return fail
	}
	d.w.Header().Set(HeaderKey, key)
	if fail := s.heldBack(q); fail != nil {
		return fail
	}
	if limit := s.limits.Once.Body; int64(len(c.Body)) > limit {
		return &failure{status: http.StatusRequestEntityTooLarge, code: "body_too_large", message: fmt.Sprintf("the body is over %d bytes, the bound of a call that must not be repeated", limit), run: RunNo}
	}
	id := keeper.NewID(q.organisation, q.service, key)
	hash := keeper.Hash([]byte(c.Method), []byte(c.Path), c.Body)
	v, err := s.once.RunOnce(ctx, messenger.Once{
		Request: q.id, ID: id[:], Hash: hash[:], Dated: keeper.KeyTimeOf(key), Service: q.service, Ask: q.ask(0, 0, nil), Tier: q.tier,
		Method: c.Method, Path: c.Path, Header: c.Header, Body: c.Body,
	})
	if err != nil { // the caller is gone; its call goes on
		return &failure{status: statusGone, code: codeGone, message: "the caller went away", run: RunUnknown}
	}
	if keeper.Kind(v.Kind) == keeper.KindRan {
		// A caller that is gone by now has its answer when it asks again.
		_ = giveWhole(d, &forwarder.Answer{Status: v.Status, Header: v.Header, Length: -1}, v.Body)
		return nil
	}
	return failureOf(v)
}

// keyed says whether the caller named its call.
func keyed(h http.Header) bool { return len(h.Values(HeaderKey)) > 0 }

// giveKey names a call whose caller did not. Nobody else knows the key, so the
// call can't be asked for a second time, and needs no keeper and no record: this
// host sends it once and never again. It works in an outage of the platform too.
// The caller is not told the key: to repeat it would run the call again.
func giveKey(h http.Header) { h.Set(HeaderKey, newKey(time.Now())) }

// takeKey is the caller's key.
func takeKey(h http.Header) (string, *failure) {
	keys := h.Values(HeaderKey)
	if len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxKey {
		return "", &failure{status: http.StatusBadRequest, code: "bad_key", message: fmt.Sprintf("%s is empty, given twice or over %d bytes", HeaderKey, maxKey), run: RunNo}
	}
	return keys[0], nil
}

// newKey is a UUID of version 7 (RFC 9562).
func newKey(now time.Time) string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	binary.BigEndian.PutUint64(b[:8], uint64(now.UnixMilli())<<16|uint64(b[6])<<8|uint64(b[7]))
	b[6] = b[6]&0x0f | 0x70
	b[8] = b[8]&0x3f | 0x80
	x := hex.EncodeToString(b[:])
	return x[:8] + "-" + x[8:12] + "-" + x[12:16] + "-" + x[16:20] + "-" + x[20:]
}

// failureOf is the answer to a call whose answer is not there. The three
// outcomes stay apart: ran, not run, and may have run.
func failureOf(v messenger.OnceVerdict) *failure {
	f := &failure{status: http.StatusBadGateway, code: v.Reason, run: RunUnknown}
	switch keeper.Kind(v.Kind) {
	case keeper.KindGone:
		f.status, f.code, f.run = http.StatusConflict, "answer_not_kept", RunYes
		f.message = "the call with this key ran; its answer is not kept: ask the service"
	case keeper.KindReused:
		f.status, f.code, f.run = http.StatusUnprocessableEntity, "key_reused", RunNo
		f.message = "the key belongs to another call; this one was not run"
	case keeper.KindNotRun, keeper.KindMoved:
		f.status, f.run, f.after = http.StatusServiceUnavailable, RunNo, max(v.After, time.Millisecond)
		f.message = "the request was not run: " + v.Reason
		if v.Reason == keeper.ReasonFuture {
			f.status, f.after = http.StatusBadRequest, 0
		}
	default:
		if f.code == "" {
			f.code = "may_have_run"
		}
		if v.Reason == keeper.ReasonDeadline {
			f.status = http.StatusGatewayTimeout
		}
		f.message = "the call may have run: ask the service, do not repeat it"
		if v.After > 0 { // the keeper can't read its log: later it will know
			f.status, f.after = http.StatusServiceUnavailable, v.After
			f.message = "the call may have run before: ask again with the same key"
		}
	}
	return f
}
