// Package grpsrv serves the model of a rank group over HTTP. docs/fakes.md
// lists the endpoints.
package grpsrv
