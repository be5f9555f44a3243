package checker

import "net/http"

// Transport is a http.RoundTripper that returns no malformed answer.
type Transport struct {
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper. For a malformed answer the error wraps ErrMalformed: the request may
// have run.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Answer(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
