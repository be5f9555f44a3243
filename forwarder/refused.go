package forwarder

import (
	"net/http"
	"time"

	"github.com/cicadawood/cicadawood/retrier"
)

// maxRetryAfter bounds the time for which a backend server may ask for no calls. After a
// restart it has the same name and address, and can't withdraw what it asked for before.
const maxRetryAfter = time.Minute

// OnRefused sets a function that is called with the address of each backend server that
// answers that it did not run a call, and the time for which it wants no others; 0 if it
// states none. It must be called before the first Do.
func (f *Forwarder) OnRefused(report func(address string, retryAfter time.Duration)) {
	f.onRefused = report
}

func (f *Forwarder) reportRefused(address string, h http.Header) {
	if f.onRefused != nil {
		f.onRefused(address, retryAfter(h))
	}
}

// retryAfter returns the time in a Retry-After header in seconds. Anything else counts as no
// time: the refusal itself keeps new calls away for a while.
func retryAfter(h http.Header) time.Duration {
	d, _ := retrier.ParseSeconds(h.Get("Retry-After"), maxRetryAfter) // 0 if it has none
	return d
}
