// Package rest is a client for JSON APIs over HTTP on pooled connections. It
// never retries a call. Responses with a status other than 2xx have an
// ErrorResponse as their body.
package rest
