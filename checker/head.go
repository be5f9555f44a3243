package checker

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrMalformed means that the head of an answer can't be one of HTTP: neither what it states nor where its body
// ends can be believed.
var ErrMalformed = errors.New("malformed answer")

// Head checks the head of an answer for what net/http accepts though HTTP does not (RFC 9110).
func Head(r *http.Response) error {
	if r.StatusCode < http.StatusContinue {
		return fmt.Errorf("%w: status %03d", ErrMalformed, r.StatusCode)
	}
	return nil
}
