// Package rest makes JSON calls over HTTP on pooled connections. It never
// repeats a call. Answers other than 2xx carry an Error.
package rest
