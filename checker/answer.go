package checker

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that the head or the trailer of an answer can't be one of HTTP: neither what it states nor
// where its body ends can be believed.
var ErrMalformed = errors.New("invalid head or trailer")

// maxShownBytes is how much of a name an error shows.
const maxShownBytes = 64

// Answer checks an answer for what net/http accepts though HTTP does not (RFC 9110): its head at once, and its
// trailer when its body is read to the end. After an error, the caller closes the connection.
func Answer(r *http.Response) error {
	if r.StatusCode < http.StatusContinue {
		return fmt.Errorf("%w: status %03d", ErrMalformed, r.StatusCode)
	}
	if err := checkNames(r.Header); err != nil {
		return err
	}
	if len(r.TransferEncoding) > 0 {
		r.Body = trailedBody{ReadCloser: r.Body, answer: r}
	}
	return nil
}

// checkNames checks the names of fields. Where one holds a blank, net/http passes over what the field would state.
func checkNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field %.*q", ErrMalformed, maxShownBytes, name)
		}
	}
	return nil
}

// trailedBody is a body whose trailer is checked at its end.
type trailedBody struct {
	io.ReadCloser
	answer *http.Response
}

// Read implements io.Reader.
func (b trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if malformed := checkNames(b.answer.Trailer); malformed != nil {
		return n, malformed
	}
	return n, err
}
