package rest

import (
	"io"
	"net/http"

	"github.com/gravitational/trace"

	"parsleyroute.example/core/conn/strict"
)

// LimitedTransport is an http.RoundTripper that bounds the size of response bodies,
// for clients that read them whole. A faulty peer may send a body without end. It refuses
// responses that package net/http returns although they are none: with a status out of
// range, or with blanks in a field name.
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
	if err := strict.CheckResponse(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	limit := t.MaxBody
	if limit == 0 {
		limit = maxResponseBody
	}
	resp.Body = &limitedBody{ReadCloser: resp.Body, remaining: limit}
	return resp, nil
}

// CloseIdleConnections closes the unused connections, for http.Client.
func (t *LimitedTransport) CloseIdleConnections() {
	if c, ok := t.Transport.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
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
