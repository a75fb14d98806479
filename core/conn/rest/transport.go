package rest

import (
	"io"
	"net/http"

	"github.com/gravitational/trace"
)

// LimitedTransport is an http.RoundTripper that bounds the size of response bodies,
// for clients that read them whole. A faulty peer may send a body without end.
type LimitedTransport struct {
	// Transport makes the calls. It is required.
	Transport http.RoundTripper
	// MaxBody is the maximum size of a body in bytes; zero means 8 MB.
	MaxBody int64
}

// RoundTrip implements http.RoundTripper. Reading more than MaxBody bytes of the
// response's body fails with trace.LimitExceeded.
func (t *LimitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	limit := t.MaxBody
	if limit == 0 {
		limit = maxResponseBody
	}
	resp.Body = &limitedBody{ReadCloser: resp.Body, remaining: limit}
	return resp, nil
}

type limitedBody struct {
	io.ReadCloser
	remaining int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		return 0, trace.LimitExceeded("the response body exceeds the limit")
	}
	return n, err
}
